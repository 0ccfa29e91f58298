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

// Pauses holds the pauses that servers asked for.
type Pauses interface {
	// PausedUntil returns the end of the pause of a server; zero if it is not paused.
	PausedUntil(now time.Time, server *site.Server) time.Time
}

// SetPauses replaces the pauses, of which there are none at first.
func (p *Planner) SetPauses(pauses Pauses) { p.pauses = pauses }

// isPaused reports whether a server takes no calls now.
func (p *Planner) isPaused(now time.Time, w *worker) bool {
	return !p.pauses.PausedUntil(now, &w.server).IsZero()
}

// takesWork reports whether a server may produce the results of a job: it is in an allowed region, and a
// call after the end of its pause is not too late.
func (p *Planner) takesWork(now time.Time, j Job, w *worker) bool {
	return p.allows(j, w) && p.pauses.PausedUntil(now, &w.server).Add(p.pool.CallTime).Before(j.Expires)
}

// noServerWait returns how long the caller of a job that no server takes is to wait: until the first
// pause of a server ends that may produce its results.
func (p *Planner) noServerWait(now time.Time, j Job) time.Duration {
	wait := time.Duration(0)
	for _, w := range p.ready {
		if !p.allows(j, w) {
			continue
		}
		if left := p.pauses.PausedUntil(now, &w.server).Sub(now); left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	if wait == 0 {
		return noServerRetryAfter
	}
	return wait
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
