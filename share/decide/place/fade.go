package place

import (
	"math"
	"time"
)

const (
	// fadeHalfLife is the time without an outcome after which what is believed of a server has faded to
	// half. A server that was slow or failed would otherwise never be tried again while the others have
	// room, since only its own answers show that it has recovered.
	fadeHalfLife = 5 * time.Second
	// forgetAfter is the time without an outcome after which nothing of it is left.
	forgetAfter = 30 * time.Second
)

// fade returns the part of a belief that is left after some time without an outcome.
func fade(idle time.Duration) float64 {
	if idle > forgetAfter {
		return 0
	}
	return math.Exp2(-idle.Seconds() / fadeHalfLife.Seconds())
}

// failureRate is a smoothed rate of failures, from 0 to 1, that fades.
type failureRate struct {
	value     float64
	updatedAt time.Time
}

// at returns the rate at a time.
func (f *failureRate) at(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * fade(now.Sub(f.updatedAt))
}

// record records the outcome of a request.
func (f *failureRate) record(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	value := f.at(now)
	f.value, f.updatedAt = value+failureAlpha*(outcome-value), now
}
