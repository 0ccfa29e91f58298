package assign

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// admitRetryAfter is the time until a server with a rate limit is asked for again if the ingress that
// counts its requests could not be reached or does not know the server.
const admitRetryAfter = 500 * time.Millisecond

// Admit asks for one request to a server with a rate limit, which is to be sent at once. The requests
// to such a server are counted by one ingress (rankCounters). If the request is not granted, Admit
// returns how long to wait before the server is asked for again.
func (d *Dispatcher) Admit(ctx context.Context, server site.Server) (granted bool, retryAfter time.Duration) {
	ranked := d.rankCounters(&server)
	if len(ranked) == 0 || ranked[0] == d.peers.Self() {
		return d.placer.limits.Take(time.Now(), &server, d.peers.Self())
	}
	askCtx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	assignment, err := d.peers.Assign(askCtx, ranked[0], &wire.Assign{
		Service: server.Service, ServerId: server.ID, RateLimit: d.placer.limits.Statement(&server), Ingress: d.peers.Self(),
	})
	if ctx.Err() != nil {
		return false, 0
	}
	if err != nil {
		d.log.Warn("placer-lost", zap.String("service", server.Service), zap.String("ingress", ranked[0]), logs.Err(err))
		return false, admitRetryAfter
	}
	assignment.Close()
	return assignment.Answer.GetServerId() == server.ID, time.Duration(assignment.Answer.GetRetryAfterNanos())
}

// serveAdmit answers another ingress that asks for one request to a server with a rate limit.
func (d *Dispatcher) serveAdmit(stream net.Conn, a *wire.Assign) {
	answer := &wire.Assigned{RetryAfterNanos: int64(admitRetryAfter)}
	if server, found := FindServer(d.views.View(), a.GetService(), a.GetServerId()); found {
		if a.GetRateLimit() != nil {
			d.placer.limits.Merge(a.GetIngress(), []*wire.RateLimit{a.GetRateLimit()})
		}
		granted, retryAfter := d.placer.limits.Take(time.Now(), &server, a.GetIngress())
		answer.RetryAfterNanos = int64(retryAfter)
		if granted {
			answer.ServerId = server.ID
		}
	}
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Assigned{Assigned: answer}}); err != nil {
		d.log.Info("answer-lost", logs.Err(err))
	}
}
