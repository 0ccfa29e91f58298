// Package limits tracks the rate limits that backend servers state in their answers.
package limits

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// Meter records metrics of rate limits.
type Meter interface {
	// CountLimitedSend counts a request that is sent to a server with a rate limit.
	CountLimitedSend(service string)
}

// Registry holds the rate limits of the backend servers. It is safe for concurrent use.
type Registry struct {
	meter Meter
	log   *zap.Logger

	lock  sync.Mutex
	table *quota.Table
}

// NewRegistry returns a registry without limits.
func NewRegistry(meter Meter, log *zap.Logger) *Registry {
	return &Registry{meter: meter, log: log, table: quota.NewTable()}
}

// ObserveSend records that a request is sent to a server. Request is the ID of the attempt, or empty
// for a call that produces results of stages.
func (r *Registry) ObserveSend(server site.Server, request string) {
	r.lock.Lock()
	perSecond, limited := r.table.Find(server)
	r.lock.Unlock()
	if !limited {
		return
	}
	r.meter.CountLimitedSend(server.Service)
	r.log.Info("limited-send", zap.String("server", server.ID), zap.String("service", server.Service),
		zap.String("request", request), zap.Float64("per-second", perSecond))
}

// ObserveAnswer records what an answer of a server states about its rate.
func (r *Registry) ObserveAnswer(server site.Server, a site.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return // another server now has the address
	}
	// A refusal, or a failure without the server's signature, may come from something in front of the
	// server that does not know its limit.
	withdraws := !a.NotRun && (a.Signed || a.Status < http.StatusMultipleChoices)
	if a.RateLimit.State == site.RateUnlimited && !withdraws {
		return
	}
	r.lock.Lock()
	changed := r.table.Observe(time.Now(), server, a.RateLimit)
	r.lock.Unlock()
	if a.RateLimit.State == site.RateUnreadable {
		r.log.Warn("server-limit-unreadable", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID))
	}
	if changed {
		r.log.Info("server-limit", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.Stringer("per-second", a.RateLimit), zap.String("request", a.AttemptID), zap.String("source", "answer"))
	}
}
