// Package usual estimates how long work of a kind takes from how long it took before.
package usual

import (
	"time"
)

const (
	// gain and deviationGain are the weights of a new observation in the mean and in the mean deviation.
	gain          = 0.125
	deviationGain = 0.25
	// minObservations is how many observations an estimate needs.
	minObservations = 4
)

// Durations holds the estimates of all kinds of work. It is not safe for concurrent use.
type Durations struct {
	kinds map[string]*estimate
}

// estimate is smoothed over the last observations.
type estimate struct {
	mean, deviation float64
	observations    int
}

// NewDurations returns Durations without observations.
func NewDurations() *Durations { return &Durations{kinds: map[string]*estimate{}} }

// Observe records how long work of a kind took.
func (d *Durations) Observe(kind string, took time.Duration) {
	e := d.kinds[kind]
	if e == nil {
		e = &estimate{mean: float64(took), deviation: float64(took) / 2}
		d.kinds[kind] = e
	}
	difference := float64(took) - e.mean
	e.mean += gain * difference
	e.deviation += deviationGain * (max(difference, -difference) - e.deviation)
	e.observations++
}

// Longest returns a time in which most work of a kind ends; 0 if too little of it was observed.
func (d *Durations) Longest(kind string) time.Duration {
	e := d.kinds[kind]
	if e == nil || e.observations < minObservations {
		return 0
	}
	return time.Duration(e.mean + e.deviation)
}

// Keep drops the kinds of work for which keep returns false.
func (d *Durations) Keep(keep func(kind string) bool) {
	for kind := range d.kinds {
		if !keep(kind) {
			delete(d.kinds, kind)
		}
	}
}
