package flow

import (
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/share/models/site"
)

// mayRetry takes one retry from this ingress's part of the service's retry budget. It returns false
// if the budget is exhausted.
func (x *exchange) mayRetry(reason string) bool {
	d := x.server.options.Retries.TakeRetry(x.service)
	ledger.LogDecision(x.log, reason, d)
	if d.Granted {
		x.retryGrantedAt = time.Now()
		x.server.options.Meter.CountRetry(x.service, reason)
	}
	return d.Granted
}

// recordSend counts a granted retry that is sent now, if this is one.
func (x *exchange) recordSend(server *site.Server) {
	if x.retryGrantedAt.IsZero() {
		return
	}
	x.log.Info("repeat-sent", zap.String("server", server.ID), zap.Duration("granted-ago", time.Since(x.retryGrantedAt)))
	x.server.options.Retries.RecordSent(x.service)
	x.retryGrantedAt = time.Time{}
}

// returnRetry gives back a retry that was granted and not sent.
func (x *exchange) returnRetry() {
	if !x.retryGrantedAt.IsZero() {
		x.server.options.Retries.ReturnRetry(x.service)
		x.retryGrantedAt = time.Time{}
	}
}

func (x *exchange) countRequest() { x.server.options.Retries.CountRequest(x.service) }
