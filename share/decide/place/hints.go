package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// CacheHint reports that a request with a prompt part was placed at an engine, which therefore
// has the part cached.
type CacheHint struct {
	// Part is the ID of the part.
	Part     string
	EngineID string
	// LastUsed is when a request with the part was last placed at the engine.
	LastUsed time.Time
}

const (
	// maxHints limits the hints that are reported at once, to about 20 KB.
	maxHints = 512
	// maxStored is the number of stored hints above which Record evicts old ones, at most once
	// per evictInterval, since each eviction scans all hints.
	maxStored     = 4 * maxHints
	evictInterval = time.Second
)

// Hints stores at which engines the prompt parts of one ingress's requests were placed. It is not
// safe for concurrent use.
//
// Guards against all prompt parts being prefilled again after a change of the placer. The new
// placer has observed no requests, so without hints it would assume that no part is cached
// anywhere and distribute all sessions anew. The hints of all ingresses together restore what the
// previous placer knew.
type Hints struct {
	// hints is keyed by part and engine because a document that many sessions share is cached
	// at many engines, and the part of a session counts as cached only if the document before
	// it does.
	hints map[hintKey]CacheHint
	// lastEviction is when old hints were last evicted.
	lastEviction time.Time
}

type hintKey struct{ part, engineID string }

// NewHints returns an empty store.
func NewHints() *Hints { return &Hints{hints: map[hintKey]CacheHint{}} }

// Record stores a hint for each prompt part of a request that is placed at an engine.
func (h *Hints) Record(now time.Time, parts []site.PromptPart, engineID string) {
	for _, p := range parts {
		h.hints[hintKey{part: p.ID, engineID: engineID}] = CacheHint{Part: p.ID, EngineID: engineID, LastUsed: now}
	}
	if len(h.hints) > maxStored && now.Sub(h.lastEviction) >= evictInterval {
		h.evict(now)
	}
}

// evict removes the hints that are older than reuseWindow.
func (h *Hints) evict(now time.Time) {
	h.lastEviction = now
	for key, hint := range h.hints {
		if now.Sub(hint.LastUsed) > reuseWindow {
			delete(h.hints, key)
		}
	}
}

// Recent returns the most recent hints, newest first: at most maxHints, and none that is older
// than reuseWindow.
func (h *Hints) Recent(now time.Time) []CacheHint {
	h.evict(now)
	list := make([]CacheHint, 0, len(h.hints))
	for _, hint := range h.hints {
		list = append(list, hint)
	}
	slices.SortFunc(list, func(a, b CacheHint) int {
		return cmp.Or(b.LastUsed.Compare(a.LastUsed), cmp.Compare(a.Part, b.Part), cmp.Compare(a.EngineID, b.EngineID))
	})
	return list[:min(len(list), maxHints)]
}

// MergeHints adds the hints of an ingress. Hints that are older than what is already known, and
// hints about unknown engines, have no effect.
func (e *Engines) MergeHints(hints []CacheHint) {
	for _, h := range hints {
		c := e.engines[h.EngineID]
		if c == nil {
			continue
		}
		if c.parts[h.Part].lastUsed.Before(h.LastUsed) {
			c.parts[h.Part] = cachedPart{lastUsed: h.LastUsed, prefilled: true}
		}
		if e.lastUsed[h.Part].Before(h.LastUsed) {
			e.lastUsed[h.Part] = h.LastUsed
		}
	}
}
