package batch

import (
	"time"

	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// Limiter limits the calls to servers that state a rate.
type Limiter interface {
	Find(server *site.Server) (perSecond float64, limited bool)
	Allows(now time.Time, server *site.Server) bool
	NextAt(now time.Time, server *site.Server) time.Time
	Reserve(now time.Time, server *site.Server)
	MarkSent(server *site.Server)
}

// SetLimiter replaces the limiter, which at first has no limits.
func (p *Planner) SetLimiter(limiter Limiter) { p.limiter = limiter }

// callRate returns how many full calls per second a server processes.
func (p *Planner) callRate(w *worker) float64 {
	calls := 1 / (p.fullCallTime().Seconds() * w.slowdown)
	if perSecond, limited := p.limiter.Find(&w.server); limited {
		return min(calls, max(perSecond, quota.MinRate))
	}
	return calls
}

// countLimited returns the number of servers that state a rate limit.
func (p *Planner) countLimited() int {
	n := 0
	for _, w := range p.ready {
		if _, limited := p.limiter.Find(&w.server); limited {
			n++
		}
	}
	return n
}
