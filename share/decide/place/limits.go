package place

import (
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// Limiter limits the requests to servers that state a rate.
type Limiter interface {
	Find(server *site.Server) (perSecond float64, limited bool)
	Allows(now time.Time, server *site.Server) bool
	Reserve(now time.Time, server *site.Server)
	MarkSent(server *site.Server)
	Cancel(now time.Time, server *site.Server)
}

// SetLimiter replaces the limiter, which at first has no limits.
func (e *Engines) SetLimiter(limiter Limiter) { e.limiter = limiter }

// SetColdLimit sets the maximum number of requests per second to a cold engine. If limited is
// false, there is no limit.
func (e *Engines) SetColdLimit(limit int, limited bool) {
	e.coldLimit = nil
	if limited {
		e.coldLimit = &limit
	}
}

// isEligible reports whether the request may be placed at an engine.
func (e *Engines) isEligible(now time.Time, q Query, c *engine) bool {
	if !e.allows(q, c) {
		return false
	}
	if _, limited := e.limiter.Find(&c.Server); limited && (q.IsFallback || !e.limiter.Allows(now, &c.Server)) {
		return false
	}
	if e.coldLimit == nil || !c.IsCold(now) {
		return true
	}
	return !q.IsFallback && c.arrivals.Count(now) < *e.coldLimit
}

// ListAllowed returns the engines that the request may use once they have capacity: those that are not
// excluded and that its constraints allow.
func (e *Engines) ListAllowed(q Query) []*site.Server {
	allowed := []*site.Server{}
	for _, c := range e.accepting {
		if e.allows(q, c) {
			allowed = append(allowed, &c.Server)
		}
	}
	return allowed
}

func (e *Engines) allows(q Query, c *engine) bool {
	return !slices.Contains(q.Exclude, c.ID) && q.Constraints.Allow(&c.Server, e.regions[c.Domain])
}
