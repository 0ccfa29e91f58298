// Package drain decides how an instance stops gracefully and which of its peers
// may receive new work while they stop or restart.
package drain

import (
	"sort"
	"time"
)

// State is the state of an instance's graceful stop.
type State string

// The states. An instance passes through them in this order and never goes back.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateStopped  State = "stopped"
)

// Event is the input of Instance.Step, one of the event types below.
type Event interface{ event() }

// Action is what the caller of Instance.Step must do, one of the action types below.
type Action interface{ action() }

// Events of an Instance.
type (
	// StopRequested reports a signal or an operator's request to stop. It may occur any number of
	// times.
	StopRequested struct{}
	// WorkOffered reports that a request or attempt arrived.
	WorkOffered struct{ ID string }
	// LastResortOffered reports work that no other instance takes and that ends within MaxDuration. It
	// is offered after WorkOffered was refused.
	LastResortOffered struct {
		ID          string
		MaxDuration time.Duration
	}
	// WorkEnded reports that the work's answer, including its end record, was handed to the network.
	WorkEnded struct{ ID string }
	// TimerFired reports that the time returned by NextTimer has come. One that occurs early has no
	// effect.
	TimerFired struct{}
)

// Actions of an Instance.
type (
	// Announce reports to all peers that the instance is leaving.
	Announce struct{}
	// Admit starts the work.
	Admit struct{ ID string }
	// Refuse answers the work with "not run, draining".
	Refuse struct{ ID string }
	// EndSends refuses the work that was not sent to a backend server. It occurs once, before EndAnswers.
	EndSends struct{}
	// EndAnswers ends the work whose answer has not begun, with an answer that says so. It occurs once, before Stop.
	EndAnswers struct{}
	// Stop ends the process. Unfinished lists the work that was still running, in sorted order.
	Stop struct{ Unfinished []string }
)

func (StopRequested) event()     {}
func (WorkOffered) event()       {}
func (LastResortOffered) event() {}
func (WorkEnded) event()         {}
func (TimerFired) event()        {}

func (Announce) action()   {}
func (Admit) action()      {}
func (Refuse) action()     {}
func (EndSends) action()   {}
func (EndAnswers) action() {}
func (Stop) action()       {}

// Settings limit the phases of a graceful stop.
type Settings struct {
	// Grace is the longest time from the announcement to the stop, for running work to end.
	Grace time.Duration
	// Linger is the shortest time from the announcement to the stop. It must be at most Grace and
	// longer than a round trip: the announcement travels to a peer, and work that the peer sent
	// just before receiving it travels back.
	//
	// It guards against work from a peer that has not received the announcement yet: such work would
	// find the connection closed and count as "outcome unknown" instead of "not run".
	Linger time.Duration
	// AdmitPeriod is how long new work is still admitted after the announcement; 0 admits none.
	//
	// It guards against refusing callers that a load balancer still sends here: the balancer notices
	// the announcement only after some failed readiness checks, and a caller whose connection was
	// opened before that has no other instance to use.
	AdmitPeriod time.Duration
	// SendReserve is how long before the end of the grace period EndSends occurs, AnswerReserve the same for EndAnswers.
	// AnswerReserve is at most SendReserve.
	//
	// They guard against closing the connection of work that waits: its caller would get neither an answer nor a
	// refusal, although both were possible until then.
	SendReserve   time.Duration
	AnswerReserve time.Duration
}

// Instance decides the graceful stop of the process it runs in.
type Instance struct {
	settings Settings
	state    State
	// drainStart is when draining began; it is set once.
	drainStart time.Time
	// sendsEnded and answersEnded are set once EndSends and EndAnswers have occurred.
	sendsEnded   bool
	answersEnded bool
	// running holds the admitted work that has not ended, by id. The value is false for work admitted
	// by LastResortOffered and true for all other work.
	running map[string]bool
}

// NewInstance returns a serving instance.
func NewInstance(s Settings) *Instance {
	return &Instance{settings: s, state: StateServing, running: map[string]bool{}}
}

// State returns the current state.
func (i *Instance) State() State { return i.state }

// NextTimer returns when TimerFired is due, or false while the instance is not draining.
func (i *Instance) NextTimer() (time.Time, bool) {
	if i.state != StateDraining {
		return time.Time{}, false
	}
	graceEnd := i.drainStart.Add(i.settings.Grace)
	switch {
	case len(i.running) == 0:
		return i.drainStart.Add(i.settings.Linger), true
	case !i.sendsEnded:
		return graceEnd.Add(-i.settings.SendReserve), true
	case !i.answersEnded:
		return graceEnd.Add(-i.settings.AnswerReserve), true
	}
	return graceEnd, true
}

// GraceEnd returns when the instance stops at the latest, or false while it is serving.
func (i *Instance) GraceEnd() (time.Time, bool) {
	if i.state == StateServing {
		return time.Time{}, false
	}
	return i.drainStart.Add(i.settings.Grace), true
}

// CountRunning returns how much of the admitted work has not ended.
func (i *Instance) CountRunning() int { return len(i.running) }

// Step processes one event and returns the actions that follow from it, in order.
func (i *Instance) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case StopRequested:
		return i.stopRequested(now)
	case WorkOffered:
		return i.workOffered(now, v)
	case LastResortOffered:
		return i.lastResortOffered(now, v)
	case WorkEnded:
		delete(i.running, v.ID)
		return i.advance(now)
	case TimerFired:
		return i.advance(now)
	}
	return nil
}

// stopRequested begins the drain of a serving instance and ignores the request
// otherwise.
//
// It guards against a second stop request that restarts or shortens the grace
// period, for instance when an operator and the platform stop an instance at
// the same time.
func (i *Instance) stopRequested(now time.Time) []Action {
	if i.state != StateServing {
		return nil
	}
	i.state = StateDraining
	i.drainStart = now
	return append([]Action{Announce{}}, i.advance(now)...)
}

func (i *Instance) workOffered(now time.Time, e WorkOffered) []Action {
	admitting := i.state == StateDraining && now.Before(i.drainStart.Add(i.settings.AdmitPeriod))
	if i.state != StateServing && !admitting {
		return []Action{Refuse(e)}
	}
	i.running[e.ID] = true
	return []Action{Admit(e)}
}

// lastResortOffered admits work that is certain to end within the grace period, and only while the
// instance keeps running for other work: admitting one item of last-resort work after the other
// would delay the restart of the instance by seconds.
//
// It guards against a rolling restart in which all instances stop at the same time: once
// AdmitPeriod has passed on each, no instance would take a request for seconds, not even one that
// ends in 60 ms.
func (i *Instance) lastResortOffered(now time.Time, e LastResortOffered) []Action {
	answersEnd := i.drainStart.Add(i.settings.Grace - i.settings.AnswerReserve)
	if i.state != StateDraining || !i.hasRegularWork() || now.Add(e.MaxDuration).After(answersEnd) {
		return []Action{Refuse{ID: e.ID}}
	}
	i.running[e.ID] = false
	return []Action{Admit{ID: e.ID}}
}

// hasRegularWork reports whether work is running that LastResortOffered did not admit.
func (i *Instance) hasRegularWork() bool {
	for _, regular := range i.running {
		if regular {
			return true
		}
	}
	return false
}

// advance returns the actions that are due, however late it is called, in their order. It stops the instance when the grace
// period has ended, or when no work is running and the linger period has ended.
func (i *Instance) advance(now time.Time) []Action {
	if i.state != StateDraining {
		return nil
	}
	graceEnd := i.drainStart.Add(i.settings.Grace)
	isIdle := len(i.running) == 0 && !now.Before(i.drainStart.Add(i.settings.Linger))
	var actions []Action
	if !i.sendsEnded && (isIdle || !now.Before(graceEnd.Add(-i.settings.SendReserve))) {
		i.sendsEnded = true
		actions = append(actions, EndSends{})
	}
	if !i.answersEnded && (isIdle || !now.Before(graceEnd.Add(-i.settings.AnswerReserve))) {
		i.answersEnded = true
		actions = append(actions, EndAnswers{})
	}
	if isIdle || !now.Before(graceEnd) {
		actions = append(actions, i.stop())
	}
	return actions
}

func (i *Instance) stop() Stop {
	i.state = StateStopped
	unfinished := make([]string, 0, len(i.running))
	for id := range i.running {
		unfinished = append(unfinished, id)
	}
	sort.Strings(unfinished)
	return Stop{Unfinished: unfinished}
}
