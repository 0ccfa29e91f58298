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
	// maxKinds bounds the kinds told apart.
	maxKinds = 1024
	// fresh is the age up to which an estimate stands; halfLife halves an older one. Without it a slow
	// minute would last: calls would be refused as too late to start, and no
	// run would tell that the backend server is fast again.
	fresh    = 2 * time.Second
	halfLife = 2 * time.Second
)

// times estimates how long a run of each kind takes, in time per cost unit.
type times struct {
	kinds map[kind]*estimate
}

// kind tells runs apart by stage and by the power of two of their cost. Time
// does not grow with cost: a prompt token costs as much as a generated one and
// takes a hundredth of its time. One estimate for all would tell short prompts'
// runs a fraction of their time after a minute of long ones.
type kind struct {
	stage  string
	octave int
}

func kindOf(stage string, cost float64) kind {
	_, octave := math.Frexp(cost)
	return kind{stage: stage, octave: octave}
}

// estimate follows a quantile: it rises with runs above it and falls with
// those below, in steps whose ratio makes the quantile its resting point.
type estimate struct {
	unit float64
	runs int
	at   time.Time
}

func newTimes() *times {
	return &times{kinds: map[kind]*estimate{}}
}

// add takes a run's time.
func (t *times) add(now time.Time, stage string, cost float64, took time.Duration) {
	if cost <= 0 || took <= 0 {
		return
	}
	k := kindOf(stage, cost)
	e := t.kinds[k]
	if e == nil {
		if len(t.kinds) >= maxKinds {
			return
		}
		e = &estimate{unit: float64(took) / cost}
		t.kinds[k] = e
	}
	if !e.at.IsZero() && now.Sub(e.at) > fresh+halfLife {
		// Too old to follow from: a faded value would need many runs to climb back.
		*e = estimate{unit: float64(took) / cost}
	}
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
	e := t.kinds[kindOf(stage, cost)]
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
