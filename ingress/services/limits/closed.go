package limits

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// observeClosure records what an answer states about whether its server takes further requests.
func (r *Registry) observeClosure(server *site.Server, a site.Answer) {
	if !a.Leaving && a.RetryAfter == 0 {
		return
	}
	now := time.Now()
	r.lock.Lock()
	leaves := a.Leaving && r.closed.MarkLeaving(now, server)
	paused := r.closed.Pause(now, server, now.Add(a.RetryAfter))
	if leaves || paused {
		r.countClosed(now)
	}
	r.lock.Unlock()
	if paused {
		r.log.Info("server-paused", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID), zap.Int("status", a.Status), zap.Duration("for", a.RetryAfter))
	}
	if leaves {
		r.log.Info("server-leaving", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID), zap.String("source", "answer"))
		r.onLeaving()
	}
}

// countClosed updates the numbers of servers that leave and that are paused. The caller holds the lock.
func (r *Registry) countClosed(now time.Time) {
	leaving, paused := r.closed.Count(now)
	r.hasClosed.Store(leaving+paused > 0)
	r.meter.SetClosedServers(leaving, paused)
}

// IsLeaving reports whether a server said that it leaves.
func (r *Registry) IsLeaving(server *site.Server) bool {
	if !r.hasClosed.Load() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.closed.IsLeaving(server)
}

// MaySend reports whether a request may be sent to a server now. Request is the ID of the attempt, or
// empty. If only the address of a server is known, the server is found by it.
func (r *Registry) MaySend(server site.Server, request string) bool {
	if !r.hasClosed.Load() {
		return true
	}
	now := time.Now()
	r.lock.Lock()
	isLeaving, until := r.closed.IsLeaving(&server), r.closed.PausedUntil(now, &server)
	r.lock.Unlock()
	if !isLeaving && until.IsZero() {
		return true
	}
	r.log.Info("send-withheld", zap.String("server", server.ID), zap.Stringer("address", server.Address), zap.String("service", server.Service),
		zap.String("request", request), zap.Bool("leaving", isLeaving), zap.Duration("pause-left", max(until.Sub(now), 0)))
	return false
}

// PausedUntil returns the end of the pause that a server asked this ingress for; zero if there is none
// now. If only the address of a server is known, the server is found by it.
func (r *Registry) PausedUntil(now time.Time, server *site.Server) time.Time {
	if !r.hasClosed.Load() {
		return time.Time{}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.closed.PausedUntil(now, server)
}

// ListPaused returns the IDs of the servers of a service that asked this ingress for a pause.
func (r *Registry) ListPaused(now time.Time, service string) []string {
	if !r.hasClosed.Load() {
		return nil
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.closed.ListPaused(now, service)
}

// LeavingServers returns what the heartbeats of this ingress report about servers that leave.
func (r *Registry) LeavingServers() []*wire.LeavingServer {
	r.lock.Lock()
	defer r.lock.Unlock()
	messages := make([]*wire.LeavingServer, 0, len(r.view.Leaving))
	for _, s := range r.view.Leaving {
		messages = append(messages, &wire.LeavingServer{ServerId: s.ID, Incarnation: s.Incarnation})
	}
	if len(messages) > maxStatements {
		rand.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
		messages = messages[:maxStatements]
	}
	return messages
}

// MergeLeaving records what a heartbeat of another ingress reports about servers that leave. Starts of
// servers that are not in the view are ignored.
func (r *Registry) MergeLeaving(ingress string, messages []*wire.LeavingServer) {
	now := time.Now()
	changed := false
	for _, m := range messages {
		r.lock.Lock()
		server, known := r.getServers()[m.GetServerId()]
		leaves := known && server.Incarnation == m.GetIncarnation() && r.closed.MarkLeaving(now, &server)
		if leaves {
			r.countClosed(now)
		}
		r.lock.Unlock()
		if leaves {
			changed = true
			r.log.Info("server-leaving", zap.String("server", server.ID), zap.String("service", server.Service), zap.String("source", ingress))
		}
	}
	if changed {
		r.onLeaving()
	}
}
