package gate

import (
	"math"
	"time"
)

const (
	// quantile is the quantile of the service times that an estimate follows.
	quantile = 0.75
	// stepRatio scales the change of an estimate after each run, as a part of the estimate.
	stepRatio = 0.05
	// minRuns is the number of runs after which an estimate is used.
	minRuns = 8
	// maxBuckets limits the number of buckets; the runs of further buckets have no estimate.
	maxBuckets = 1024
	// freshFor is how long an estimate stays unchanged after its last run. After that it halves
	// every halfLife. Without this decay the estimates of a slow minute would last: calls would be
	// refused as too late to start, so no run would show that the backend server is fast again.
	freshFor = 2 * time.Second
	halfLife = 2 * time.Second
)

// serviceTimes estimates how long a run takes, from the time per cost unit of earlier runs in the
// same bucket.
type serviceTimes struct {
	buckets map[bucket]*estimate
}

// bucket groups runs by their stage and by the binary exponent of their cost. Time is not
// proportional to cost: a prompt token costs as much as a generated token but takes a hundredth of
// its time. With one estimate for all costs, after a minute of long prompts the estimate for short
// prompts would be a fraction of the time that they take.
type bucket struct {
	stage    string
	exponent int
}

func bucketOf(stage string, cost float64) bucket {
	_, exponent := math.Frexp(cost)
	return bucket{stage: stage, exponent: exponent}
}

// estimate follows a quantile of the time per cost unit. It rises after a run above it and falls
// after any other run; the ratio of the two steps makes it settle at the quantile.
type estimate struct {
	// timePerCost is in nanoseconds per cost unit.
	timePerCost float64
	runs        int
	updatedAt   time.Time
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{buckets: map[bucket]*estimate{}}
}

// observe updates the estimate of the run's bucket with the duration of the run.
func (s *serviceTimes) observe(now time.Time, stage string, cost float64, took time.Duration) {
	if cost <= 0 || took <= 0 {
		return
	}
	b := bucketOf(stage, cost)
	e := s.buckets[b]
	if e == nil {
		if len(s.buckets) >= maxBuckets {
			return
		}
		e = &estimate{timePerCost: float64(took) / cost}
		s.buckets[b] = e
	}
	if !e.updatedAt.IsZero() && now.Sub(e.updatedAt) > freshFor+halfLife {
		// The estimate is too old to continue from: a decayed value would need many runs to rise
		// again. It restarts from this run.
		*e = estimate{timePerCost: float64(took) / cost}
	}
	e.updatedAt = now
	e.runs++
	if float64(took)/cost > e.timePerCost {
		e.timePerCost *= 1 + stepRatio*quantile
		return
	}
	e.timePerCost *= 1 - stepRatio*(1-quantile)
}

// estimate returns the time that a run should be given, or 0 if its bucket has too few runs.
func (s *serviceTimes) estimate(now time.Time, stage string, cost float64) time.Duration {
	e := s.buckets[bucketOf(stage, cost)]
	if e == nil || e.runs < minRuns {
		return 0
	}
	return time.Duration(e.decayed(now) * cost)
}

// decayed returns the time per cost unit at the given time; see freshFor.
func (e *estimate) decayed(now time.Time) float64 {
	if e.updatedAt.IsZero() {
		return e.timePerCost
	}
	age := now.Sub(e.updatedAt) - freshFor
	if age <= 0 {
		return e.timePerCost
	}
	return e.timePerCost * math.Exp2(-float64(age)/float64(halfLife))
}
