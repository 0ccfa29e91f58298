package engine

import "time"

// Load is the engine's report of its load, as it was LoadLag ago.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// CacheBlocks is the number of blocks in the prefix cache.
	CacheBlocks int `json:"cache-blocks"`
	// Tokens is the number of tokens generated since the start.
	Tokens int64 `json:"tokens"`
}

// sample is a load and the time from which it holds.
type sample struct {
	at   time.Time
	load Load
}

// loadHistory keeps the samples needed to report the load as it was lag ago.
type loadHistory struct {
	lag     time.Duration
	samples []sample
}

// add appends a sample unless the load equals that of the last one.
func (h *loadHistory) add(load Load, now time.Time) {
	h.prune(now)
	if n := len(h.samples); n > 0 && h.samples[n-1].load == load {
		return
	}
	h.samples = append(h.samples, sample{at: now, load: load})
}

// prune drops the samples that are superseded by a later sample that is itself at least lag old.
func (h *loadHistory) prune(now time.Time) {
	latest := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(latest) {
		h.samples = h.samples[1:]
	}
}

// delayed returns the load as it was lag ago, or the zero Load if there is no sample from then.
func (h *loadHistory) delayed(now time.Time) Load {
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return Load{}
	}
	return h.samples[0].load
}
