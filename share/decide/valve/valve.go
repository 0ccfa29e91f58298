// Package valve decides how many new connections an overloaded process takes. A process that reads more
// requests than its processor can handle answers none of them in time. A connection that is closed before its
// request is read costs little, and its caller goes to another instance.
package valve

import "time"

const (
	// lateAfter is the delay from which on a periodic check counts as late.
	lateAfter = 100 * time.Millisecond
	// minBusyShare is the least share of the processor time that the process may use which it has used if it
	// was late because it is overloaded, as opposed to not having been run.
	minBusyShare = 0.6
	// A late check multiplies the share of connections that are taken by lateAfter divided by its delay, but by
	// maxDecrease at least and minDecrease at most. One that is not late adds increase to the share. minShare is
	// the least share.
	maxDecrease, minDecrease = 0.1, 0.7
	increase                 = 0.05
	minShare                 = 0.02
)

// Check is one run of a periodic check of a process, or the state of one that has not run yet.
type Check struct {
	// Delay is how late the check ran, or is by now. Elapsed is the time since the check before.
	Delay   time.Duration
	Elapsed time.Duration
	// Used is the processor time that the process used in it.
	Used time.Duration
}

// Valve decides which new connections are taken. It is not safe for concurrent use.
type Valve struct {
	// cores is the processor capacity of the process.
	cores float64
	// share is the share of new connections that are taken, from minShare to 1.
	share float64
	// credit grows by share with each new connection. One is taken whenever it reaches 1.
	credit float64
}

// NewValve returns a valve that takes all connections. Cores is the processor capacity of the process.
func NewValve(cores float64) *Valve { return &Valve{cores: cores, share: 1} }

// Observe adjusts the share of connections that are taken.
func (v *Valve) Observe(c Check) {
	if !v.isOverloaded(c) {
		v.share = min(v.share+increase, 1)
		return
	}
	decrease := min(max(float64(lateAfter)/float64(c.Delay), maxDecrease), minDecrease)
	v.share = max(v.share*decrease, minShare)
}

// isOverloaded reports whether a check was late because the process had used up its processor.
func (v *Valve) isOverloaded(c Check) bool {
	return c.Delay >= lateAfter && c.Used.Seconds() >= minBusyShare*v.cores*c.Elapsed.Seconds()
}

// Take reports whether the next new connection is taken. Next is the state of the next check: once it is late,
// what is read would only wait longer.
func (v *Valve) Take(next Check) bool {
	share := v.share
	if v.isOverloaded(next) {
		share = minShare
	}
	v.credit += share
	if v.credit < 1 {
		return false
	}
	v.credit--
	return true
}

// Share returns the share of new connections that are taken.
func (v *Valve) Share() float64 { return v.share }
