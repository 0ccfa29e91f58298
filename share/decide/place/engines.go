package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/pace"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

const (
	// prefillRate is roughly the number of prompt tokens that an engine prefills per second.
	// It converts queued and uncached tokens to time, so an error in it scales both alike.
	prefillRate = 30000.0
	// recomputeWeight is the additional weight of prompt tokens that were recently placed at
	// some engine but have to be prefilled again. Prefilling takes compute time from every
	// stream on the engine and is billed.
	recomputeWeight = 1.0
	// crossRegionCost and crossDomainCost account for the network latency to another region or
	// failure domain and the price of the transferred bytes.
	crossRegionCost = 80 * time.Millisecond
	crossDomainCost = 5 * time.Millisecond
	// streamCost is how much each request at an engine adds to the wait of a new one.
	streamCost = 2 * time.Millisecond
	// stagedCost is how much each request that waits for pool results in a failure domain
	// adds to the cost of that domain, if the domain has one pool server.
	stagedCost = 60 * time.Millisecond
	// fullCost ranks an engine without free memory or slots after all others, however many
	// tokens those have to prefill.
	fullCost = time.Minute
	// failureCost ranks a failing engine after those that answer. It is scaled by the failure
	// rate.
	failureCost = 2 * time.Second
	// maxMemoryFill is the fraction of an engine's memory up to which requests are placed
	// there before it counts as full.
	maxMemoryFill = 0.9
	// expectedOutput is the fraction of its maximum output that a request is expected to
	// generate.
	expectedOutput = 0.5
	// cacheLifetime is how long an unused part is expected to stay in an engine's memory.
	cacheLifetime = 30 * time.Second
	// reuseWindow is how long after its last use a part is worth reusing. After that, prefilling
	// it again has no additional cost, and it is left out of cache hints.
	reuseWindow = 12 * time.Second
	// minSlowdown and maxSlowdown limit the slowdown of an engine.
	minSlowdown, maxSlowdown = 0.5, 6.0
	// slowdownAlpha is the weight of a new answer in an engine's smoothed slowdown.
	slowdownAlpha = 0.15
	// minSlowdownSample is the shortest estimated wait from which a slowdown is derived.
	minSlowdownSample = 60 * time.Millisecond
)

// Engines tracks the engines of one service and places requests at them. It is not safe for
// concurrent use.
//
// A single instance, at the placer of the service, observes every request. Several instances
// that each observe only some of the requests would act on stale reports and send the same burst
// to the same engine.
type Engines struct {
	spec site.Engine
	// regions maps failure domains to their regions.
	regions map[string]string
	// engines maps IDs to the engines that accept new work; accepting lists them sorted by ID.
	engines   map[string]*engine
	accepting []*engine
	lastID    uint64
	// reservations maps placement IDs to the requests that have not ended.
	reservations map[uint64]*reservation
	// lastUsed maps the ID of each part to when it was last placed at any engine.
	lastUsed map[string]time.Time
	// poolServers counts the backend servers that produce stage results, by failure domain.
	poolServers map[string]int
	// staged counts the requests that wait for stage results, by failure domain.
	staged map[string]int
	// coldLimit is the maximum number of requests per second to a cold engine; nil if there is
	// no limit.
	coldLimit *int
	limiter   Limiter
}

type engine struct {
	site.Server
	// pendingPrefill counts the tokens to prefill of all reservations whose answer has not
	// begun, sentPrefill only those of requests that were already sent.
	pendingPrefill float64
	sentPrefill    float64
	reservations   int
	// memoryTokens is the expected memory of all reservations, in tokens.
	memoryTokens int
	// parts maps the IDs of prompt parts to their state in the engine's cache.
	parts map[string]cachedPart
	// slowdown is the smoothed ratio of the time until an answer began to the time that
	// prefillRate predicts at the engine's pace.
	slowdown float64
	pace     pace.Pace
	failures failureRate
	// connFailures counts the connection failures in a row. The engine is avoided until
	// backoffUntil.
	connFailures int
	backoffUntil time.Time
	// arrivals counts the requests that were recently sent to the engine or will be.
	arrivals cold.Window
}

// cachedPart is a prompt part that an engine has cached or is about to prefill.
type cachedPart struct {
	// lastUsed is when a request with the part was last placed at the engine or last began to
	// be answered there.
	lastUsed time.Time
	// prefilled is set once the engine has prefilled the part, so that others can fetch it.
	prefilled bool
}

// isCached reports whether a part is still expected in the engine's memory.
func (p cachedPart) isCached(now time.Time) bool {
	return !p.lastUsed.IsZero() && now.Sub(p.lastUsed) < cacheLifetime
}

// reservation is one request that is placed at an engine.
type reservation struct {
	engine   *engine
	parts    []site.PromptPart
	placedAt time.Time
	// prefill counts the prompt tokens that the engine has to prefill.
	prefill float64
	// memoryTokens is the expected memory of the request, in tokens.
	memoryTokens int
	sent         bool
	// prefillDone is set once the answer has begun or the request has ended.
	prefillDone bool
	// staged is set while the request waits for stage results.
	staged bool
	sentAt time.Time
	// predictedWait is the estimated time from sending the request until its answer begins.
	predictedWait time.Duration
}

// Placement is the engine chosen for a request.
type Placement struct {
	// ID identifies the placement in MarkSent, MarkAnswering and End.
	ID     uint64
	Server site.Server
	// Wait is the estimated time until the answer begins.
	Wait time.Duration
	// FetchFrom is the ID of the engine from which Server should fetch cached parts of the
	// prompt; empty if there is none.
	FetchFrom string
}

// NewEngines returns an instance without engines. Regions maps failure domains to their regions.
func NewEngines(regions map[string]string) *Engines {
	return &Engines{
		regions:      regions,
		engines:      map[string]*engine{},
		reservations: map[uint64]*reservation{},
		lastUsed:     map[string]time.Time{},
		poolServers:  map[string]int{},
		staged:       map[string]int{},
		limiter:      quota.NewLimiter(),
	}
}

// SetPoolServers sets the number of backend servers that produce stage results, by failure
// domain.
func (e *Engines) SetPoolServers(counts map[string]int) { e.poolServers = counts }

// SetServers replaces the set of engines that accept new work; spec describes each of them. An
// engine that has restarted or has a new address starts without history.
func (e *Engines) SetServers(servers []site.Server, spec site.Engine) {
	e.spec = spec
	e.accepting = e.accepting[:0]
	live := map[string]bool{}
	for _, s := range servers {
		live[s.ID] = true
		known := e.engines[s.ID]
		if known == nil || !isSameProcess(&known.Server, &s) {
			known = &engine{parts: map[string]cachedPart{}, slowdown: 1}
			e.engines[s.ID] = known
		}
		known.Server = s
		e.accepting = append(e.accepting, known)
	}
	for id := range e.engines {
		if !live[id] {
			delete(e.engines, id)
		}
	}
	slices.SortFunc(e.accepting, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// Place reserves the engine with the lowest cost for a request. The cost includes the wait of
// the request itself and the delay that it causes for others. An engine in backoff is chosen only
// if no other engine is eligible. Place returns false if no engine is.
func (e *Engines) Place(now time.Time, q Query) (Placement, bool) {
	sources := e.findSources(now, q)
	var best *engine
	lowest := time.Duration(0)
	bestInBackoff := true
	for _, c := range e.accepting {
		if !e.isEligible(now, q, c) {
			continue
		}
		inBackoff := now.Before(c.backoffUntil)
		if inBackoff && !bestInBackoff {
			continue
		}
		cost := e.cost(now, q, c, sources)
		if best == nil || bestInBackoff && !inBackoff || cost < lowest {
			best, lowest, bestInBackoff = c, cost, inBackoff
		}
	}
	if best == nil {
		return Placement{}, false
	}
	return e.reserve(now, q, best, sources), true
}

// cost returns the cost of placing a request at an engine, as a duration.
func (e *Engines) cost(now time.Time, q Query, c *engine, sources []source) time.Duration {
	plan := e.planPrefill(now, q.Generation, c, sources)
	cost := seconds(c.slowdownAt(now)*(c.pendingPrefill+plan.prefill+recomputeWeight*plan.recomputed)/prefillRate) + e.fetchCost(plan.fetched)
	cost += time.Duration(c.reservations) * streamCost
	cost += e.networkCost(q, c)
	cost += e.stageCost(q, c)
	if e.isFull(q, c) {
		cost += fullCost
	}
	return cost + time.Duration(c.failures.at(now)*float64(failureCost))
}

// slowdownAt returns the slowdown of the engine at the pace that it has now.
func (c *engine) slowdownAt(now time.Time) float64 { return c.slowdown * c.pace.At(now) }

// networkCost returns the cost of the network path from the caller's ingress to an engine.
func (e *Engines) networkCost(q Query, c *engine) time.Duration {
	switch {
	case c.Domain == q.Domain:
		return 0
	case e.regions[c.Domain] == q.Region:
		return crossDomainCost
	default:
		return crossRegionCost
	}
}

// stageCost distributes staged requests over the failure domains in proportion to their pool
// servers. Results are produced in the failure domain of the engine, and a domain with one pool
// server produces half as many as a domain with two.
func (e *Engines) stageCost(q Query, c *engine) time.Duration {
	if q.Generation == nil || !q.Generation.Staged || e.poolServers[c.Domain] == 0 {
		return 0
	}
	return time.Duration(float64(e.staged[c.Domain]) / float64(e.poolServers[c.Domain]) * float64(stagedCost))
}

// isFull reports whether an engine lacks the slot or the memory for a request.
func (e *Engines) isFull(q Query, c *engine) bool {
	if e.spec.Slots > 0 && c.reservations >= e.spec.Slots {
		return true
	}
	needed := estimateMemory(q.Generation)
	return e.spec.CacheTokens > 0 && float64(c.memoryTokens+needed) > maxMemoryFill*float64(e.spec.CacheTokens)
}

// estimateMemory returns the expected memory of a request, in tokens.
func estimateMemory(g *Generation) int {
	if g == nil {
		return 0
	}
	return g.PromptTokens + int(expectedOutput*float64(g.MaxOutputTokens))
}

// reserve reserves an engine for a request.
func (e *Engines) reserve(now time.Time, q Query, c *engine, sources []source) Placement {
	plan := e.planPrefill(now, q.Generation, c, sources)
	wait := seconds(c.slowdownAt(now)*(c.pendingPrefill+plan.prefill)/prefillRate) + e.spec.FetchTime(plan.fetched)
	e.lastID++
	r := &reservation{engine: c, placedAt: now, prefill: plan.prefill, memoryTokens: estimateMemory(q.Generation)}
	e.reservations[e.lastID] = r
	c.pendingPrefill += plan.prefill
	c.reservations++
	c.arrivals.Reserve()
	e.limiter.Reserve(now, &c.Server)
	c.memoryTokens += r.memoryTokens
	if q.Generation != nil {
		r.staged = q.Generation.Staged
		if r.staged {
			e.staged[c.Domain]++
		}
		r.parts = q.Generation.Parts
		for _, p := range q.Generation.Parts {
			c.parts[p.ID] = cachedPart{lastUsed: now, prefilled: c.parts[p.ID].prefilled}
			e.lastUsed[p.ID] = now
		}
	}
	e.evictParts(now)
	return Placement{ID: e.lastID, Server: c.Server, Wait: wait, FetchFrom: plan.sourceID()}
}

// maxParts is the number of entries in Engines.lastUsed at which expired parts are evicted.
const maxParts = 20000

// evictParts removes the parts that are no longer expected to be reused or cached.
func (e *Engines) evictParts(now time.Time) {
	if len(e.lastUsed) < maxParts {
		return
	}
	for id, used := range e.lastUsed {
		if now.Sub(used) > reuseWindow {
			delete(e.lastUsed, id)
		}
	}
	for _, c := range e.accepting {
		for id, p := range c.parts {
			if !p.isCached(now) {
				delete(c.parts, id)
			}
		}
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
