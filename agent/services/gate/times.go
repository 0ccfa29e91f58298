package gate

import (
	"math"
	"time"
)

const (
	// quantile of the service times that a run is given.
	quantile = 0.75
	// step is the part of itself by which an estimate moves with a run.
	step = 0.05
	// settled is the number of runs before an estimate counts.
	settled = 8
	// maxStages bounds the stages told apart.
	maxStages = 256
	// fresh is the age up to which an estimate stands; halfLife halves an older one. Without it a slow
	// minute would last: calls would be refused as too late to start, and no
	// run would tell that the backend server is fast again.
	fresh    = 2 * time.Second
	halfLife = 2 * time.Second
)

// times estimates how long a run of each stage takes, in time per cost unit.
type times struct {
	stages map[string]*estimate
}

// estimate follows a quantile: it rises with runs above it and falls with
// those below, in steps whose ratio makes the quantile its resting point.
type estimate struct {
	unit float64
	runs int
	at   time.Time
}

func newTimes() *times {
	return &times{stages: map[string]*estimate{}}
}

// add takes a run's time.
func (t *times) add(now time.Time, stage string, cost float64, took time.Duration) {
	if cost <= 0 || took <= 0 {
		return
	}
	e := t.stages[stage]
	if e == nil {
		if len(t.stages) >= maxStages {
			return
		}
		e = &estimate{unit: float64(took) / cost}
		t.stages[stage] = e
	}
	e.unit = e.faded(now)
	e.at = now
	e.runs++
	if float64(took)/cost > e.unit {
		e.unit *= 1 + step*quantile
		return
	}
	e.unit *= 1 - step*(1-quantile)
}

// expect returns the time that a run should be given; 0 while too little is known.
func (t *times) expect(now time.Time, stage string, cost float64) time.Duration {
	e := t.stages[stage]
	if e == nil || e.runs < settled {
		return 0
	}
	return time.Duration(e.faded(now) * cost)
}

func (e *estimate) faded(now time.Time) float64 {
	if e.at.IsZero() {
		return e.unit
	}
	age := now.Sub(e.at) - fresh
	if age <= 0 {
		return e.unit
	}
	return e.unit * math.Exp2(-float64(age)/float64(halfLife))
}
