package flow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/pauses"
)

// Stop reports whether and when the process stops.
type Stop interface {
	// EndsAt returns when the process cuts the answers that have not ended, or false while it is not stopping.
	EndsAt() (at time.Time, isStopping bool)
	// Serving returns a context that ends when the stop begins, Sends one that ends when requests are no longer sent
	// to backend servers, Answers one that ends when answers no longer begin, and Work one that ends when those that
	// have begun are cut.
	Serving() context.Context
	Sends() context.Context
	Answers() context.Context
	Work() context.Context
}

const (
	// stoppingRetryAfter is the Retry-After of a stopping ingress if another ingress takes new requests: that one can
	// take the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// aloneRetryAfter is the Retry-After of a stopping ingress if no other ingress takes new requests: a restart takes
	// seconds. Callers respect a Retry-After of up to a third of their remaining time.
	aloneRetryAfter = 2 * time.Second
)

// StoppingRetryAfter returns the Retry-After of a request that a stopping ingress refuses. The ingress is alone if no
// other one takes new requests.
func StoppingRetryAfter(isAlone bool) time.Duration {
	if isAlone {
		return aloneRetryAfter
	}
	return stoppingRetryAfter
}

// errStopping is the cause of the end of a request that the process no longer serves.
var errStopping = errors.New("the ingress stops")

// neverStops is the Stop of a server without one.
type neverStops struct{}

func (neverStops) EndsAt() (time.Time, bool) { return time.Time{}, false }
func (neverStops) Serving() context.Context  { return context.Background() }
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

// newUnsentLifetime returns a context for the stages of a request. It ends, with the cause errStopping, once the request is
// no longer sent to an engine because the process stops.
func (x *exchange) newUnsentLifetime(ctx context.Context) (context.Context, func()) {
	stop := x.server.options.Stop
	ctx, l := newLifetime(ctx, stop.Sends())
	leave := context.AfterFunc(stop.Serving(), func() { x.runUnsent(ctx, l) })
	return ctx, func() {
		leave()
		l.close()
	}
}

// runUnsent ends the context l once the request must have been sent.
func (x *exchange) runUnsent(ctx context.Context, l *lifetime) {
	by, _ := x.sendBy()
	if !pauses.Wait(ctx, time.Until(by)) {
		return
	}
	l.stop()
}

// beginAnswer lets the request go on until the answers that have begun are cut.
func (x *exchange) beginAnswer() { x.lifetime.endWith(x.server.options.Stop.Work()) }

// sendBy returns when the request must be sent to its engine, so that its answer ends before the process does; false: the
// process does not stop.
func (x *exchange) sendBy() (at time.Time, isStopping bool) {
	endsAt, isStopping := x.server.options.Stop.EndsAt()
	if !isStopping {
		return time.Time{}, false
	}
	return endsAt.Add(-x.server.estimateAnswer(x.route.Name)), true
}

// estimateAnswer returns the time in which most requests of a route that were sent to an engine are answered.
func (s *Server) estimateAnswer(route string) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.answers.Longest(route)
}

func (s *Server) observeAnswer(route string, took time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answers.Observe(route, took)
}

// refuseSend returns the refusal of a request that a stopping process does not send to a backend server any more, or nil:
// no request is sent shortly before the process exits, and none whose answer would probably be cut. A request that may have
// run is sent in any case.
func (x *exchange) refuseSend() *codes.Result {
	by, isStopping := x.sendBy()
	if !isStopping || x.runs > 0 {
		return nil
	}
	left := time.Until(by)
	if x.server.options.Stop.Sends().Err() == nil && left >= 0 {
		return nil
	}
	return x.refuseStopping(fmt.Sprintf("stopping; it should have been sent %v ago", -left.Round(time.Millisecond)))
}

// refuseStopping returns the refusal of a request because the process stops.
func (x *exchange) refuseStopping(detail string) *codes.Result {
	return codes.NewResult(codes.Draining, detail).WithRetryAfter(StoppingRetryAfter(x.server.options.Peers.IsAlone()))
}

// describeEnd returns the result of a request whose context was canceled: the caller left, or the process stops.
func (x *exchange) describeEnd(ctx context.Context) *codes.Result {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return codes.NewResult(codes.Canceled, "the caller left")
	}
	endsAt, _ := x.server.options.Stop.EndsAt()
	detail := fmt.Sprintf("stopping; it arrived %v before the end of the grace period", endsAt.Sub(x.Arrived).Round(time.Millisecond))
	return x.refuseStopping(detail)
}
