// Package answer matches answers to the attempts of one stage of a request and
// accepts at most one complete answer.
package answer

import (
	"sort"

	"verbenaroad.example/share/modules/codes"
)

// ID identifies one attempt. No two attempts have the same ID.
type ID struct {
	Request     string
	Stage       string
	Attempt     uint32
	Incarnation string
}

// Delivery selects what happens to the parts of an answer that arrive before its end record.
type Delivery string

// The delivery modes.
const (
	// DeliveryBuffered keeps the parts until the end record shows that the answer is complete.
	DeliveryBuffered Delivery = "whole"
	// DeliveryStreamed passes parts on as they arrive. The first attempt to deliver a part becomes the
	// only one whose answer can be accepted.
	DeliveryStreamed Delivery = "forward"
)

// Event is the input of Stage.Step, one of the event types below.
type Event interface{ event() }

// Action is what the caller of Stage.Step must do, one of the action types below.
type Action interface{ action() }

// Events of a Stage.
type (
	// AttemptOpened reports that an attempt is about to be sent.
	AttemptOpened struct{ ID ID }
	// PartReceived reports that a part of an answer arrived, with its size in bytes.
	PartReceived struct {
		ID    ID
		Bytes uint64
	}
	// EndReceived reports that the end record of an answer arrived.
	EndReceived struct {
		ID     ID
		Result codes.Result
		// Bytes is the total size of all parts as counted by the sender.
		Bytes uint64
	}
	// StreamClosed reports that nothing more will arrive for the attempt: its stream was closed, timed
	// out or stalled.
	StreamClosed struct{ ID ID }
	// Abandoned reports that the request ended without an answer of this stage, for instance because
	// its deadline passed.
	Abandoned struct{}
)

// Actions of a Stage.
type (
	// AcceptPart keeps the part of the event, or passes it on, according to the stage's Delivery.
	AcceptPart struct{ ID ID }
	// AcceptAnswer hands the attempt's answer to the next stage or the caller. A stage returns it at
	// most once.
	AcceptAnswer struct {
		ID     ID
		Result codes.Result
	}
	// FailAttempt reports that the attempt ended without an accepted answer.
	FailAttempt struct {
		ID     ID
		Result codes.Result
	}
	// CancelAttempt stops an attempt whose answer is no longer needed.
	CancelAttempt struct{ ID ID }
	// Drop discards the part or the end record of the event.
	Drop struct {
		ID     ID
		Reason Reason
	}
)

func (AttemptOpened) event() {}
func (PartReceived) event()  {}
func (EndReceived) event()   {}
func (StreamClosed) event()  {}
func (Abandoned) event()     {}

func (AcceptPart) action()    {}
func (AcceptAnswer) action()  {}
func (FailAttempt) action()   {}
func (CancelAttempt) action() {}
func (Drop) action()          {}

// Reason is why a part or an end record is dropped.
type Reason string

// The reasons.
const (
	// ReasonUnknownAttempt means that the ID belongs to no attempt of this stage.
	ReasonUnknownAttempt Reason = "crossed"
	// ReasonLate means that the attempt was canceled: another one was chosen, or the request
	// abandoned.
	ReasonLate Reason = "late"
	// ReasonDuplicate means that the attempt has already ended.
	ReasonDuplicate Reason = "duplicate"
)

type state string

const (
	stateOpen     state = "open"
	stateEnded    state = "ended"
	stateCanceled state = "canceled"
)

type attempt struct {
	state state
	bytes uint64
}

// Counts holds the numbers of dropped parts and end records by reason.
type Counts struct {
	UnknownAttempt uint64
	Late           uint64
	Duplicate      uint64
}

// Stage tracks the attempts of one stage of one request.
type Stage struct {
	request  string
	name     string
	delivery Delivery
	attempts map[ID]*attempt
	// chosen is the only attempt whose answer may still be accepted. While it is the zero ID, the
	// answer of any open attempt may be.
	chosen ID
	// closed is set when an answer is accepted, the request is abandoned, or the chosen attempt fails.
	// Nothing is accepted afterwards.
	closed bool
	counts Counts
}

// NewStage returns a stage without attempts.
func NewStage(request, name string, d Delivery) *Stage {
	return &Stage{request: request, name: name, delivery: d, attempts: map[ID]*attempt{}}
}

// Counts returns the numbers of parts and end records dropped so far.
func (s *Stage) Counts() Counts { return s.counts }

// Closed reports whether no answer can be accepted anymore.
func (s *Stage) Closed() bool { return s.closed }

// CountOpen returns the number of attempts that have neither ended nor been canceled.
func (s *Stage) CountOpen() int { return len(s.listOpen()) }

// Retryable reports whether another attempt may be opened: the stage is not closed and, if its
// answer is streamed, no part has been passed on yet.
func (s *Stage) Retryable() bool { return !s.closed && s.chosen == ID{} }

// Step processes one event and returns the actions that follow from it, in order.
func (s *Stage) Step(e Event) []Action {
	switch v := e.(type) {
	case AttemptOpened:
		return s.attemptOpened(v)
	case PartReceived:
		return s.partReceived(v)
	case EndReceived:
		return s.endReceived(v)
	case StreamClosed:
		return s.streamClosed(v)
	case Abandoned:
		s.closed = true
		return s.cancelOthers(ID{})
	}
	return nil
}

func (s *Stage) attemptOpened(e AttemptOpened) []Action {
	_, known := s.attempts[e.ID]
	foreign := e.ID.Request != s.request || e.ID.Stage != s.name
	if known || foreign || !s.Retryable() {
		return []Action{CancelAttempt(e)}
	}
	s.attempts[e.ID] = &attempt{state: stateOpen}
	return nil
}

func (s *Stage) partReceived(e PartReceived) []Action {
	a, drop := s.findOpenAttempt(e.ID)
	if drop != nil {
		return drop
	}
	a.bytes += e.Bytes
	actions := []Action{AcceptPart{ID: e.ID}}
	if s.delivery == DeliveryStreamed && s.chosen == (ID{}) {
		s.chosen = e.ID
		actions = append(actions, s.cancelOthers(e.ID)...)
	}
	return actions
}

// endReceived accepts a complete answer.
//
// It guards against a truncated stream that looks complete: the bytes that
// arrived must add up to the sender's count in the end record. A stream that
// closes without an end record fails in streamClosed.
func (s *Stage) endReceived(e EndReceived) []Action {
	a, drop := s.findOpenAttempt(e.ID)
	if drop != nil {
		return drop
	}
	a.state = stateEnded
	switch {
	case e.Result.Code != codes.OK:
		return s.fail(e.ID, e.Result)
	case e.Bytes != a.bytes:
		return s.fail(e.ID, *codes.NewResult(codes.AnswerIncomplete, "bytes are missing"))
	}
	s.closed = true
	return append([]Action{AcceptAnswer{ID: e.ID, Result: e.Result}}, s.cancelOthers(e.ID)...)
}

func (s *Stage) streamClosed(e StreamClosed) []Action {
	a, known := s.attempts[e.ID]
	if !known || a.state != stateOpen {
		return nil
	}
	a.state = stateEnded
	result := codes.NewResult(codes.AnswerIncomplete, "the end is missing").WithOutcome(codes.OutcomeUnknown)
	return s.fail(e.ID, *result)
}

// fail reports a failed attempt. If its parts were passed on already, it also
// closes the stage, since another attempt's answer would not continue them.
func (s *Stage) fail(id ID, r codes.Result) []Action {
	if s.chosen == id {
		s.closed = true
	}
	return []Action{FailAttempt{ID: id, Result: r}}
}

// findOpenAttempt returns the open attempt with that ID, or a Drop action when
// there is none.
//
// It guards against accepting the answer of another request, or a second
// answer: only an attempt that this stage opened, and that has neither ended
// nor been canceled, may deliver.
func (s *Stage) findOpenAttempt(id ID) (*attempt, []Action) {
	a, known := s.attempts[id]
	switch {
	case !known:
		s.counts.UnknownAttempt++
		return nil, []Action{Drop{ID: id, Reason: ReasonUnknownAttempt}}
	case a.state == stateEnded:
		s.counts.Duplicate++
		return nil, []Action{Drop{ID: id, Reason: ReasonDuplicate}}
	case a.state == stateCanceled:
		s.counts.Late++
		return nil, []Action{Drop{ID: id, Reason: ReasonLate}}
	}
	return a, nil
}

// cancelOthers cancels all open attempts except the winner, or all of them for the zero ID.
func (s *Stage) cancelOthers(winner ID) []Action {
	var actions []Action
	for _, id := range s.listOpen() {
		if id != winner {
			s.attempts[id].state = stateCanceled
			actions = append(actions, CancelAttempt{ID: id})
		}
	}
	return actions
}

// listOpen returns the IDs of the open attempts, sorted by attempt number.
func (s *Stage) listOpen() []ID {
	var found []ID
	for id, a := range s.attempts {
		if a.state == stateOpen {
			found = append(found, id)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Attempt < found[j].Attempt })
	return found
}
