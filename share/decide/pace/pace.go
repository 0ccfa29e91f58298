// Package pace tracks how long work takes at a backend server at the moment, relative to the usual
// time, as the server states it in its answers.
//
// Servers share their machines with others, and what they state changes many times a second. A
// statement is therefore smoothed and loses its effect with its age. A server that stated to be slow
// and gets no work since is soon assumed to work as usual, and is tried again.
package pace

import "time"

const (
	// weight is the weight of a new statement against the current pace.
	weight = 0.5
	// lifetime is the time in which a statement loses its effect.
	lifetime = 1200 * time.Millisecond
	// lowest and highest limit the statements that are believed.
	lowest, highest = 0.25, 4.0
)

// Pace is the pace of one server. Its zero value is the usual pace. It is not safe for concurrent
// use.
type Pace struct {
	// deviation is the difference from the usual pace at the time of the last statement.
	deviation float64
	statedAt  time.Time
}

// Observe processes a statement; 0 or less is none.
func (p *Pace) Observe(now time.Time, stated float64) {
	if stated <= 0 {
		return
	}
	current := p.At(now)
	p.deviation = current + weight*(min(max(stated, lowest), highest)-current) - 1
	p.statedAt = now
}

// At returns how long work is expected to take now, relative to the usual time.
func (p *Pace) At(now time.Time) float64 {
	age := now.Sub(p.statedAt)
	if p.deviation == 0 || age >= lifetime {
		return 1
	}
	return 1 + p.deviation*(1-float64(max(age, 0))/float64(lifetime))
}
