package flow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Stop reports whether and when the process stops.
type Stop interface {
	// EndsAt returns when the process cuts the answers that have not ended, or false while it is not stopping.
	EndsAt() (at time.Time, isStopping bool)
	// Sends returns a context that ends when requests are no longer sent to backend servers, Answers one that ends
	// when answers no longer begin, and Work one that ends when those that have begun are cut.
	Sends() context.Context
	Answers() context.Context
	Work() context.Context
}

// stoppingRetryAfter is the Retry-After of a request that a stopping ingress has not sent: another one can
// take it at once.
const stoppingRetryAfter = 50 * time.Millisecond

// errStopping is the cause of the end of a request that the process no longer serves.
var errStopping = errors.New("the ingress stops")

// neverStops is the Stop of a server without one.
type neverStops struct{}

func (neverStops) EndsAt() (time.Time, bool) { return time.Time{}, false }
func (neverStops) Sends() context.Context    { return context.Background() }
func (neverStops) Answers() context.Context  { return context.Background() }
func (neverStops) Work() context.Context     { return context.Background() }

// lifetime ends the context of a request when a phase of the stop ends.
type lifetime struct {
	cancel context.CancelCauseFunc
	// leave releases the phase with which the context ends now; nil: none.
	leave func() bool
}

// newLifetime returns a context that ends with the given phase of a stop. The cause is then errStopping.
func newLifetime(ctx, phase context.Context) (context.Context, *lifetime) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &lifetime{cancel: cancel}
	l.endWith(phase)
	return ctx, l
}

// endWith lets the context end with the given phase, in place of the one before.
func (l *lifetime) endWith(phase context.Context) {
	if l.leave != nil {
		l.leave()
	}
	l.leave = context.AfterFunc(phase, l.stop)
}

func (l *lifetime) stop() { l.cancel(errStopping) }

func (l *lifetime) close() {
	l.leave()
	l.cancel(nil)
}

// beginAnswer lets the request go on until the answers that have begun are cut.
func (x *exchange) beginAnswer() { x.lifetime.endWith(x.server.options.Stop.Work()) }

// isStopping reports whether the process is stopping. Requests that would wait for their first stage go to another
// ingress.
func (s *Server) isStopping() bool {
	_, isStopping := s.options.Stop.EndsAt()
	return isStopping
}

// refuseSend returns the refusal of a request that was not sent to a backend server before the process exits, or nil.
func (x *exchange) refuseSend() *codes.Result {
	if x.runs > 0 || x.server.options.Stop.Sends().Err() == nil {
		return nil
	}
	return codes.NewResult(codes.Draining, "stopping").WithRetryAfter(stoppingRetryAfter)
}

// describeEnd returns the result of a request whose context was canceled: the caller left, or the process stops.
func (x *exchange) describeEnd(ctx context.Context) *codes.Result {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return codes.NewResult(codes.Canceled, "the caller left")
	}
	endsAt, _ := x.server.options.Stop.EndsAt()
	detail := fmt.Sprintf("stopping; it arrived %v before the end of the grace period", endsAt.Sub(x.Arrived).Round(time.Millisecond))
	return codes.NewResult(codes.Draining, detail).WithRetryAfter(stoppingRetryAfter)
}
