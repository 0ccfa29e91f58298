// Package drain decides the graceful stop of an instance and what its peers
// know of it.
package drain

import (
	"sort"
	"time"
)

// State is how far an instance's stop has come.
type State string

// The states; they are passed in this order and never backwards.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateStopped  State = "stopped"
)

// Event is what happened; each type below is one.
type Event interface{ event() }

// Action is what the caller of a decision must do; each type below is one.
type Action interface{ action() }

// Events of an Instance.
type (
	// StopRequested comes by a signal or from an operator, any number of times.
	StopRequested struct{}
	// WorkOffered is a request or attempt that arrived.
	WorkOffered struct{ ID string }
	// LastOffered is work that no other instance takes, and that ends within Bound.
	LastOffered struct {
		ID    string
		Bound time.Duration
	}
	// WorkEnded says that the work's answer, with its end, was handed to the network.
	WorkEnded struct{ ID string }
	// Woken comes at the time that Wake returns.
	Woken struct{}
)

// Actions of an Instance.
type (
	// Announce tells every peer that the instance is leaving.
	Announce struct{}
	// Admit lets the work run.
	Admit struct{ ID string }
	// Refuse answers "not run, draining".
	Refuse struct{ ID string }
	// Stop ends the process; Cut lists, sorted, the work that was still running.
	Stop struct{ Cut []string }
)

func (StopRequested) event() {}
func (WorkOffered) event()   {}
func (LastOffered) event()   {}
func (WorkEnded) event()     {}
func (Woken) event()         {}

func (Announce) action() {}
func (Admit) action()    {}
func (Refuse) action()   {}
func (Stop) action()     {}

// Settings bound a stop.
type Settings struct {
	// Grace is the longest time that running work gets.
	Grace time.Duration
	// Linger is the shortest time from announcing to stopping, at most Grace and more than a round trip:
	// the news travels one way and the last work, sent just before it came, the other.
	//
	// Guards against work sent by a peer that has not heard: it would meet a
	// closed connection and count as "outcome unknown" instead of "not run".
	Linger time.Duration
	// Admit is how long after announcing new work is still taken; 0: none is.
	//
	// Guards against refusing callers that a balancer still sends: it notices
	// the announcement only after some missed questions, and a caller whose
	// connection was opened before that has no other instance to go to.
	Admit time.Duration
}

// Instance is one process's own stop.
type Instance struct {
	settings Settings
	state    State
	// since is when draining began; it is set once.
	since time.Time
	// running holds the admitted work that has not ended; true but for the last offered.
	running map[string]bool
}

// NewInstance returns a serving instance.
func NewInstance(s Settings) *Instance {
	return &Instance{settings: s, state: StateServing, running: map[string]bool{}}
}

// State returns how far the stop has come.
func (i *Instance) State() State { return i.state }

// Wake returns when Woken is due, and false while nothing is.
func (i *Instance) Wake() (time.Time, bool) {
	if i.state != StateDraining {
		return time.Time{}, false
	}
	if len(i.running) == 0 {
		return i.since.Add(i.settings.Linger), true
	}
	return i.since.Add(i.settings.Grace), true
}

// Step takes one event and returns what is to be done.
func (i *Instance) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case StopRequested:
		return i.stopRequested(now)
	case WorkOffered:
		return i.offered(now, v)
	case LastOffered:
		return i.lastOffered(now, v)
	case WorkEnded:
		delete(i.running, v.ID)
		return i.stopIfDue(now)
	case Woken:
		return i.stopIfDue(now)
	}
	return nil
}

// stopRequested begins the drain.
//
// Guards against a second stop request that would restart or shorten the
// grace period, as when an operator and the platform stop an instance at the
// same time: only a serving instance takes it.
func (i *Instance) stopRequested(now time.Time) []Action {
	if i.state != StateServing {
		return nil
	}
	i.state = StateDraining
	i.since = now
	return append([]Action{Announce{}}, i.stopIfDue(now)...)
}

func (i *Instance) offered(now time.Time, e WorkOffered) []Action {
	admitting := i.state == StateDraining && now.Before(i.since.Add(i.settings.Admit))
	if i.state != StateServing && !admitting {
		return []Action{Refuse(e)}
	}
	i.running[e.ID] = true
	return []Action{Admit(e)}
}

// lastOffered takes work as long as it surely ends within the grace period, and only
// while the instance stays for other work: taking more and more of it would keep the
// instance from being back for seconds.
//
// Guards against a roll in which all instances are stopping at the same time: once each
// has passed Admit, nobody takes an order for seconds, though it would end in 60 ms.
func (i *Instance) lastOffered(now time.Time, e LastOffered) []Action {
	ends := i.since.Add(i.settings.Grace)
	if i.state != StateDraining || !i.staysAnyway() || now.Add(e.Bound).After(ends) {
		return []Action{Refuse{ID: e.ID}}
	}
	i.running[e.ID] = false
	return []Action{Admit{ID: e.ID}}
}

// staysAnyway tells whether work is running that was not the last offered.
func (i *Instance) staysAnyway() bool {
	for _, keeps := range i.running {
		if keeps {
			return true
		}
	}
	return false
}

func (i *Instance) stopIfDue(now time.Time) []Action {
	due, draining := i.Wake()
	if !draining || now.Before(due) {
		return nil
	}
	i.state = StateStopped
	cut := make([]string, 0, len(i.running))
	for id := range i.running {
		cut = append(cut, id)
	}
	sort.Strings(cut)
	return []Action{Stop{Cut: cut}}
}
