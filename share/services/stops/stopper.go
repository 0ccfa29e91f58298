// Package stops runs the graceful stop of a process as package drain decides it. It reports the
// process's signals and the start and end of its work to a drain.Instance. When the process may
// exit, it lists the work that has not ended.
package stops

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/drain"
)

// checkInterval is the period of TimerFired events during a drain.
const checkInterval = 50 * time.Millisecond

// Stopper runs a drain.Instance. It is safe for concurrent use.
type Stopper struct {
	// serving, sends, answers and work end in this order.
	serving, sends, answers, work phase

	lock     sync.Mutex
	instance *drain.Instance
	// unfinished holds the ids of the work that had not ended when the process was allowed to exit.
	// It is set before the context of work ends.
	unfinished []string
}

// phase is a context that ends when a phase of the drain does.
type phase struct {
	context.Context
	end context.CancelFunc
}

func newPhase() phase {
	ctx, end := context.WithCancel(context.Background())
	return phase{Context: ctx, end: end}
}

// NewStopper returns a Stopper whose instance is serving.
func NewStopper(settings drain.Settings) *Stopper {
	return &Stopper{
		serving:  newPhase(),
		sends:    newPhase(),
		answers:  newPhase(),
		work:     newPhase(),
		instance: drain.NewInstance(settings),
	}
}

// AdmitWork reports whether the work may start. During a drain, work is admitted only within
// drain.Settings.AdmitPeriod.
func (s *Stopper) AdmitWork(id string) bool {
	return isAdmitted(s.step(drain.WorkOffered{ID: id}))
}

// AdmitLastResort reports whether work may start that AdmitWork refused and that no other instance
// takes. The work ends within maxDuration.
func (s *Stopper) AdmitLastResort(id string, maxDuration time.Duration) bool {
	return isAdmitted(s.step(drain.LastResortOffered{ID: id, MaxDuration: maxDuration}))
}

func isAdmitted(actions []drain.Action) bool {
	for _, action := range actions {
		if _, admitted := action.(drain.Admit); admitted {
			return true
		}
	}
	return false
}

// EndWork records that the work's answer was handed to the network.
func (s *Stopper) EndWork(id string) {
	s.step(drain.WorkEnded{ID: id})
}

// RequestStop begins the drain. Further requests have no effect.
func (s *Stopper) RequestStop(ctx context.Context) {
	for _, action := range s.step(drain.StopRequested{}) {
		if _, ok := action.(drain.Announce); ok {
			go s.loop(ctx)
		}
	}
}

// IsLeaving reports whether the drain has started.
func (s *Stopper) IsLeaving() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.instance.State() != drain.StateServing
}

// CountRunning returns the number of requests that were admitted and have not ended.
func (s *Stopper) CountRunning() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.instance.CountRunning()
}

// EndsAt returns when the process exits at the latest, or false while the drain has not begun.
func (s *Stopper) EndsAt() (time.Time, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.instance.GraceEnd()
}

// Serving returns a context that ends when the drain begins, Sends one that ends when work is no longer sent to backend
// servers, Answers one that ends when answers no longer begin, and Work one that ends when the process may exit.
func (s *Stopper) Serving() context.Context { return s.serving }

// Sends is described at Serving.
func (s *Stopper) Sends() context.Context { return s.sends }

// Answers is described at Serving.
func (s *Stopper) Answers() context.Context { return s.answers }

// Work is described at Serving.
func (s *Stopper) Work() context.Context { return s.work }

// FindUnfinished returns the ids of the work that was still running when the grace period ended. It
// returns nil until the context of Work has ended.
func (s *Stopper) FindUnfinished() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.unfinished
}

// step applies an event to the instance and carries out the actions that concern the whole process.
func (s *Stopper) step(e drain.Event) []drain.Action {
	s.lock.Lock()
	defer s.lock.Unlock()
	actions := s.instance.Step(time.Now(), e)
	for _, action := range actions {
		switch a := action.(type) {
		case drain.Announce:
			s.serving.end()
		case drain.EndSends:
			s.sends.end()
		case drain.EndAnswers:
			s.answers.end()
		case drain.Stop:
			s.unfinished = a.Unfinished
			s.work.end()
		}
	}
	return actions
}

// loop sends TimerFired events to the instance until it has stopped.
func (s *Stopper) loop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.work.Done():
			return
		case <-ticker.C:
			s.step(drain.TimerFired{})
		}
	}
}
