package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minFetchTokens is the smallest number of tokens that is worth a transfer.
	minFetchTokens = 256
	// fetchCostPerGB is the cost of fetched memory in addition to its transfer time: the
	// transfer uses the links of both engines, and the parts are then cached twice.
	fetchCostPerGB = 600 * time.Millisecond
	gigabyte       = 1e9
)

// source is an engine from which prompt parts can be fetched.
type source struct {
	engine *engine
	// tokens is the length of the prompt prefix that the engine has prefilled and cached.
	tokens float64
}

// findSources returns the engines from which a prefix of the prompt can be fetched, the longest
// prefix first. Among engines with prefixes of the same length, the closest to the caller's
// ingress comes first.
func (e *Engines) findSources(now time.Time, q Query) []source {
	if q.Generation == nil || len(q.Generation.Parts) == 0 || !e.spec.CanFetch() {
		return nil
	}
	list := []source{}
	for _, c := range e.accepting {
		if slices.Contains(q.Exclude, c.ID) || !q.Constraints.Allow(&c.Server, e.regions[c.Domain]) || now.Before(c.backoffUntil) {
			continue
		}
		if cached := c.prefilledTokens(now, q.Generation); cached >= minFetchTokens {
			list = append(list, source{engine: c, tokens: cached})
		}
	}
	slices.SortFunc(list, func(a, b source) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens),
			cmp.Compare(e.networkCost(q, a.engine), e.networkCost(q, b.engine)), cmp.Compare(a.engine.ID, b.engine.ID))
	})
	return list
}

// prefilledTokens returns the length of the prompt prefix that the engine has prefilled and
// cached.
func (c *engine) prefilledTokens(now time.Time, g *Generation) float64 {
	tokens := 0
	for _, p := range g.Parts {
		part := c.parts[p.ID]
		if !part.prefilled || !part.isCached(now) {
			break
		}
		tokens += p.Tokens
	}
	return float64(tokens)
}

// prefillPlan is how an engine processes a prompt before its answer begins. All counts are in
// tokens.
type prefillPlan struct {
	// prefill counts the tokens to prefill. Of these, recomputed counts those that were recently
	// placed at some engine. Fetched counts the tokens to fetch from another engine.
	prefill    float64
	recomputed float64
	fetched    float64
	// source is the engine to fetch from; nil if nothing is fetched.
	source *engine
}

// sourceID returns the ID of the engine to fetch from, or an empty string.
func (p prefillPlan) sourceID() string {
	if p.source == nil {
		return ""
	}
	return p.source.ID
}

// planPrefill determines how an engine processes a prompt. A part counts as cached only if all
// parts before it are cached, and as fetched only if all parts before it are cached or fetched.
// Nothing is fetched from an engine of another software version.
func (e *Engines) planPrefill(now time.Time, g *Generation, c *engine, sources []source) prefillPlan {
	if g == nil {
		return prefillPlan{}
	}
	cached := 0.0
	for _, p := range g.Parts {
		if !c.parts[p.ID].isCached(now) {
			break
		}
		cached += float64(p.Tokens)
	}
	plan := prefillPlan{}
	for _, s := range sources {
		if s.engine != c && s.engine.Software() == c.Software() && s.tokens-cached >= minFetchTokens {
			plan.fetched = s.tokens - cached
			plan.source = s.engine
			break
		}
	}
	plan.prefill = max(float64(g.PromptTokens)-cached-plan.fetched, 0)
	plan.recomputed = e.countRecomputed(now, g, cached+plan.fetched)
	return plan
}

// countRecomputed counts the prompt tokens after the first skip tokens whose part was placed at
// any engine within reuseWindow.
func (e *Engines) countRecomputed(now time.Time, g *Generation, skip float64) float64 {
	recomputed, offset := 0.0, 0.0
	for _, p := range g.Parts {
		if used, known := e.lastUsed[p.ID]; known && now.Sub(used) < reuseWindow && offset >= skip {
			recomputed += float64(p.Tokens)
		}
		offset += float64(p.Tokens)
	}
	return recomputed
}

// fetchCost returns the cost of fetching tokens from another engine, comparable to the time to
// prefill them.
func (e *Engines) fetchCost(tokens float64) time.Duration {
	gigabytes := tokens * float64(e.spec.TokenBytes) / gigabyte
	return e.spec.FetchTime(tokens) + time.Duration(gigabytes*float64(fetchCostPerGB))
}
