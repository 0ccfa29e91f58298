package engine

import "time"

// Load is what the engine reports about itself, some time late.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// CacheBlocks is the number of blocks in the prefix cache.
	CacheBlocks int `json:"cache-blocks"`
	// Tokens counts the tokens generated since the start.
	Tokens int64 `json:"tokens"`
}

// sample is the load from a moment on.
type sample struct {
	at   time.Time
	load Load
}

// history keeps what is needed to tell the load as it was lag ago.
type history struct {
	lag     time.Duration
	samples []sample
}

func (h *history) add(load Load, now time.Time) {
	h.prune(now)
	if n := len(h.samples); n > 0 && h.samples[n-1].load == load {
		return
	}
	h.samples = append(h.samples, sample{at: now, load: load})
}

// prune drops the samples that a later one, itself old enough to be told, has replaced.
func (h *history) prune(now time.Time) {
	told := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(told) {
		h.samples = h.samples[1:]
	}
}

func (h *history) get(now time.Time) Load {
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return Load{}
	}
	return h.samples[0].load
}
