package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Stop reports whether the process is stopping.
type Stop interface {
	// EndsAt returns when the process exits at the latest, or false while it is not stopping.
	EndsAt() (at time.Time, isStopping bool)
	// Announced returns a channel that is closed when the stop begins.
	Announced() <-chan struct{}
}

const (
	// sendReserve is how long before the process exits requests are no longer sent to an engine. A stream
	// that began later would be cut.
	sendReserve = time.Second
	// stoppingRetryAfter is the Retry-After of a request that a stopping ingress has not sent: another one can
	// take it at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// errStopping is the cause of the end of a request that was not sent before the process exits.
var errStopping = errors.New("the ingress stops")

// neverStops is the Stop of a server without one.
type neverStops struct{}

func (neverStops) EndsAt() (time.Time, bool)  { return time.Time{}, false }
func (neverStops) Announced() <-chan struct{} { return nil }

// unsent holds the functions that end the requests which were not sent to an engine yet. It is safe for concurrent
// use.
type unsent struct {
	lock    sync.Mutex
	cancels map[*context.CancelCauseFunc]bool
	// isOver is set once requests are no longer sent.
	isOver bool
}

// track returns a context that ends with errStopping once requests are no longer sent, until release is called.
func (u *unsent) track(ctx context.Context) (tracked context.Context, release func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.isOver {
		cancel(errStopping)
	}
	u.cancels[&cancel] = true
	return tracked, func() {
		u.lock.Lock()
		delete(u.cancels, &cancel)
		u.lock.Unlock()
		cancel(nil)
	}
}

func (u *unsent) end() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.isOver = true
	for cancel := range u.cancels {
		(*cancel)(errStopping)
	}
}

// Start ends the requests that were not sent when the process is about to exit. It runs until the context ends.
func (s *Server) Start(ctx context.Context) { go s.runStop(ctx) }

func (s *Server) runStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.options.Stop.Announced():
	}
	endsAt, _ := s.options.Stop.EndsAt()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(endsAt) - sendReserve):
		s.unsent.end()
	}
}

// isStopping reports whether the process is stopping. Requests that would wait for their first stage go to another
// ingress.
func (s *Server) isStopping() bool {
	_, isStopping := s.options.Stop.EndsAt()
	return isStopping
}

// refuseStopping returns the refusal of a request that was not sent before the process exits, or nil.
func (x *exchange) refuseStopping(ctx context.Context) *codes.Result {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return nil
	}
	return codes.NewResult(codes.Draining, "stopping").WithRetryAfter(stoppingRetryAfter)
}
