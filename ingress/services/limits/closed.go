package limits

import (
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
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
	r.countClosed(now)
	r.lock.Unlock()
	if leaves {
		r.log.Info("server-leaving", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID), zap.String("source", "answer"))
	}
	if paused {
		r.log.Info("server-paused", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID), zap.Int("status", a.Status), zap.Duration("for", a.RetryAfter))
	}
}

// countClosed updates the numbers of servers that leave and that are paused. The caller holds the lock.
func (r *Registry) countClosed(now time.Time) {
	leaving, paused := r.closed.Count(now)
	r.hasClosed.Store(leaving+paused > 0)
	r.meter.SetClosedServers(leaving, paused)
}

// logClosedSend logs a request that is sent to a server that leaves or is paused.
func (r *Registry) logClosedSend(server *site.Server, request string) {
	if !r.hasClosed.Load() {
		return
	}
	now := time.Now()
	r.lock.Lock()
	isLeaving, until := r.closed.IsLeaving(server), r.closed.PausedUntil(now, server)
	r.lock.Unlock()
	if isLeaving || !until.IsZero() {
		r.log.Info("closed-send", zap.String("server", server.ID), zap.String("service", server.Service), zap.String("request", request),
			zap.Bool("leaving", isLeaving), zap.Duration("pause-left", max(until.Sub(now), 0)))
	}
}
