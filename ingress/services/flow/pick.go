package flow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// pick chooses the next backend server of a plain service and records that the request is sent to
// it. A server with a rate limit is used only if it is granted; otherwise the next best one is chosen.
// It returns false if there is none, or if the context has ended meanwhile.
func (x *exchange) pick(ctx context.Context) (site.Server, bool) {
	for {
		server, found := x.choose()
		if !found {
			return site.Server{}, false
		}
		if x.isGranted(ctx, server) {
			x.start(server)
			return server, true
		}
		if ctx.Err() != nil {
			return site.Server{}, false
		}
	}
}

// deferral is a server that is not asked for until a point in time, because its rate limit did not
// allow a request.
type deferral struct {
	server site.Server
	// perSecond is the rate limit. The deferral ends when the server states another one.
	perSecond float64
	until     time.Time
}

// choose returns the best server of a plain service that is not deferred.
func (x *exchange) choose() (site.Server, bool) {
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	p := s.getService(x.service)
	now := time.Now()
	q := x.newQuery()
	q.Exclude = append(slices.Clone(q.Exclude), x.listDeferred(now, p)...)
	return p.chooser.Pick(now, q)
}

// listDeferred returns the IDs of the servers that are deferred, and sets limitWait to the time until
// the first of them may take the request. The caller holds the lock of the server.
func (x *exchange) listDeferred(now time.Time, p *serviceState) []string {
	x.limitWait = 0
	ids := []string{}
	for id, d := range p.deferred {
		perSecond, limited := x.server.options.Limits.Find(&d.server)
		if !limited || perSecond != d.perSecond || !now.Before(d.until) {
			delete(p.deferred, id)
			continue
		}
		ids = append(ids, id)
		if slices.Contains(x.tried, id) || !x.isAllowed(&d.server) {
			continue
		}
		if wait := d.until.Sub(now); x.limitWait == 0 || wait < x.limitWait {
			x.limitWait = wait
		}
	}
	return ids
}

// isGranted reports whether a request may be sent to a server now. A server whose rate limit does not
// allow it is deferred.
func (x *exchange) isGranted(ctx context.Context, server site.Server) bool {
	perSecond, limited := x.server.options.Limits.Find(&server)
	if !limited {
		return true
	}
	granted, retryAfter := x.server.options.Admitter.Admit(ctx, server)
	if ctx.Err() != nil {
		return false
	}
	if granted {
		return true
	}
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	s.getService(x.service).deferred[server.ID] = deferral{
		server: server, perSecond: perSecond, until: time.Now().Add(max(retryAfter, minDeferral)),
	}
	return false
}

// minDeferral is the shortest time for which a server is deferred.
const minDeferral = 50 * time.Millisecond

func (x *exchange) start(server site.Server) {
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	s.getService(x.service).chooser.Start(time.Now(), server.ID)
}

// listLimits returns the servers that state a rate, each with its requests per second.
func (x *exchange) listLimits(servers []site.Server) []string {
	limits := []string{}
	for _, s := range servers {
		if perSecond, limited := x.server.options.Limits.Find(&s); limited {
			limits = append(limits, fmt.Sprintf("%s=%g/s", s.ID, perSecond))
		}
	}
	return limits
}
