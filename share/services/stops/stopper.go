// Package stops runs a process's graceful shutdown by the decisions of
// share/decide/drain. In: signals, work that comes and ends. Out: the moment
// to leave, with the work that was cut.
package stops

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/drain"
)

const wakeEvery = 50 * time.Millisecond

// Stopper guards a drain.Instance with a lock.
type Stopper struct {
	// announced is closed when the drain begins, stopped when the process may leave.
	announced chan struct{}
	stopped   chan struct{}

	lock     sync.Mutex
	instance *drain.Instance
	// cut is set before stopped is closed.
	cut []string
}

// NewStopper returns a stopper of a serving instance.
func NewStopper(settings drain.Settings) *Stopper {
	return &Stopper{
		announced: make(chan struct{}),
		stopped:   make(chan struct{}),
		instance:  drain.NewInstance(settings),
	}
}

// AdmitWork says whether the work may run; false once the drain has begun.
func (s *Stopper) AdmitWork(id string) bool {
	return isAdmitted(s.step(drain.WorkOffered{ID: id}))
}

// AdmitLast says whether work may run that was not admitted, that no other instance
// takes, and that ends within a bound.
func (s *Stopper) AdmitLast(id string, bound time.Duration) bool {
	return isAdmitted(s.step(drain.LastResortOffered{ID: id, MaxDuration: bound}))
}

func isAdmitted(actions []drain.Action) bool {
	for _, action := range actions {
		if _, admitted := action.(drain.Admit); admitted {
			return true
		}
	}
	return false
}

// EndWork notes that the work's answer was handed to the network.
func (s *Stopper) EndWork(id string) {
	s.step(drain.WorkEnded{ID: id})
}

// RequestStop begins the drain; a second request changes nothing.
func (s *Stopper) RequestStop(ctx context.Context) {
	for _, action := range s.step(drain.StopRequested{}) {
		if _, ok := action.(drain.Announce); ok {
			go s.loop(ctx)
		}
	}
}

// IsLeaving tells whether the drain has begun.
func (s *Stopper) IsLeaving() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.instance.State() != drain.StateServing
}

// Announced is closed when the drain begins.
func (s *Stopper) Announced() <-chan struct{} { return s.announced }

// Stopped is closed when the process may leave.
func (s *Stopper) Stopped() <-chan struct{} { return s.stopped }

// FindCut lists the work that was still running when the grace period ended.
func (s *Stopper) FindCut() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.cut
}

func (s *Stopper) step(e drain.Event) []drain.Action {
	s.lock.Lock()
	defer s.lock.Unlock()
	actions := s.instance.Step(time.Now(), e)
	for _, action := range actions {
		switch a := action.(type) {
		case drain.Announce:
			close(s.announced)
		case drain.Stop:
			s.cut = a.Unfinished
			close(s.stopped)
		}
	}
	return actions
}

// loop lets the drain look at the time until it is over.
func (s *Stopper) loop(ctx context.Context) {
	ticker := time.NewTicker(wakeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stopped:
			return
		case <-ticker.C:
			s.step(drain.TimerFired{})
		}
	}
}
