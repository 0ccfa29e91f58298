// Package answer matches answers to the attempts of one stage of a request,
// so that exactly one whole answer is accepted.
package answer

import (
	"sort"

	"verbenaroad.example/share/modules/codes"
)

// ID names one attempt; two attempts never share one.
type ID struct {
	Request     string
	Stage       string
	Attempt     uint32
	Incarnation string
}

// Delivery says what happens to the parts of an answer before its end.
type Delivery string

// The deliveries.
const (
	// DeliveryWhole keeps the parts until the end proves the answer whole.
	DeliveryWhole Delivery = "whole"
	// DeliveryForward passes parts on at once; the first part decides which attempt wins.
	DeliveryForward Delivery = "forward"
)

// Event is what happened; each type below is one.
type Event interface{ event() }

// Action is what the caller of a decision must do; each type below is one.
type Action interface{ action() }

// Events of a Stage.
type (
	// Opened says that an attempt is about to be sent.
	Opened struct{ ID ID }
	// PartReceived is a piece of an answer.
	PartReceived struct {
		ID    ID
		Bytes uint64
	}
	// EndReceived is the end record of an answer.
	EndReceived struct {
		ID     ID
		Result codes.Result
		// Bytes is the sender's count over all parts.
		Bytes uint64
	}
	// StreamClosed says that nothing more comes for the attempt: closed, timed out or silent.
	StreamClosed struct{ ID ID }
	// GivenUp says that the request ended otherwise, such as by its deadline.
	GivenUp struct{}
)

// Actions of a Stage.
type (
	// Take keeps or passes on the part that the event brought.
	Take struct{ ID ID }
	// Win hands the attempt's answer to the next stage or the caller; it comes once at most.
	Win struct {
		ID     ID
		Result codes.Result
	}
	// Fail says that the attempt ended without an accepted answer.
	Fail struct {
		ID     ID
		Result codes.Result
	}
	// Cancel stops an attempt whose answer is no longer wanted.
	Cancel struct{ ID ID }
	// Drop discards what the event brought.
	Drop struct {
		ID     ID
		Reason Reason
	}
)

func (Opened) event()       {}
func (PartReceived) event() {}
func (EndReceived) event()  {}
func (StreamClosed) event() {}
func (GivenUp) event()      {}

func (Take) action()   {}
func (Win) action()    {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Drop) action()   {}

// Reason says why something was dropped.
type Reason string

// The reasons.
const (
	// ReasonCrossed names no attempt of this stage.
	ReasonCrossed Reason = "crossed"
	// ReasonLate names an attempt that was canceled or given up on.
	ReasonLate Reason = "late"
	// ReasonDuplicate names an attempt whose end was accepted already.
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

// Counts tells how many answers or parts were dropped.
type Counts struct {
	Crossed   uint64
	Late      uint64
	Duplicate uint64
}

// Stage holds the attempts of one stage of one request.
type Stage struct {
	request  string
	name     string
	delivery Delivery
	attempts map[ID]*attempt
	// chosen is the only attempt whose answer may still win; the zero ID: any open one.
	chosen ID
	// closed is set by Win, GivenUp or the end of a chosen attempt; nothing is accepted afterwards.
	closed bool
	counts Counts
}

// NewStage returns a stage without attempts.
func NewStage(request, name string, d Delivery) *Stage {
	return &Stage{request: request, name: name, delivery: d, attempts: map[ID]*attempt{}}
}

// Counts returns what was dropped so far.
func (s *Stage) Counts() Counts { return s.counts }

// Closed tells whether no answer can win any more.
func (s *Stage) Closed() bool { return s.closed }

// Open returns the number of attempts that may still end.
func (s *Stage) Open() int { return len(s.findOpen()) }

// Retryable tells whether another attempt may be opened: nothing was passed on yet.
func (s *Stage) Retryable() bool { return !s.closed && s.chosen == ID{} }

// Step takes one event and returns what is to be done.
func (s *Stage) Step(e Event) []Action {
	switch v := e.(type) {
	case Opened:
		return s.opened(v)
	case PartReceived:
		return s.part(v)
	case EndReceived:
		return s.end(v)
	case StreamClosed:
		return s.streamClosed(v)
	case GivenUp:
		s.closed = true
		return s.cancelOthers(ID{})
	}
	return nil
}

func (s *Stage) opened(e Opened) []Action {
	_, known := s.attempts[e.ID]
	foreign := e.ID.Request != s.request || e.ID.Stage != s.name
	if known || foreign || !s.Retryable() {
		return []Action{Cancel(e)}
	}
	s.attempts[e.ID] = &attempt{state: stateOpen}
	return nil
}

func (s *Stage) part(e PartReceived) []Action {
	a, drop := s.match(e.ID)
	if drop != nil {
		return drop
	}
	a.bytes += e.Bytes
	actions := []Action{Take{ID: e.ID}}
	if s.delivery == DeliveryForward && s.chosen == (ID{}) {
		s.chosen = e.ID
		actions = append(actions, s.cancelOthers(e.ID)...)
	}
	return actions
}

// end accepts a whole answer.
//
// Guards against a stream that was cut and looks finished: the sender's count
// of bytes in the end record differs from what arrived, or the end is missing.
func (s *Stage) end(e EndReceived) []Action {
	a, drop := s.match(e.ID)
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
	return append([]Action{Win{ID: e.ID, Result: e.Result}}, s.cancelOthers(e.ID)...)
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

// fail ends the stage too where parts of the attempt were passed on: another
// attempt's answer would not fit to them.
func (s *Stage) fail(id ID, r codes.Result) []Action {
	if s.chosen == id {
		s.closed = true
	}
	return []Action{Fail{ID: id, Result: r}}
}

// match finds the open attempt, or says why there is none.
//
// Guards against a late, duplicate or crossed answer entering a stage: it
// would be another request's, or a second one. Only an attempt that this
// stage opened, and that has not ended, is accepted.
func (s *Stage) match(id ID) (*attempt, []Action) {
	a, known := s.attempts[id]
	switch {
	case !known:
		s.counts.Crossed++
		return nil, []Action{Drop{ID: id, Reason: ReasonCrossed}}
	case a.state == stateEnded:
		s.counts.Duplicate++
		return nil, []Action{Drop{ID: id, Reason: ReasonDuplicate}}
	case a.state == stateCanceled:
		s.counts.Late++
		return nil, []Action{Drop{ID: id, Reason: ReasonLate}}
	}
	return a, nil
}

func (s *Stage) cancelOthers(winner ID) []Action {
	var actions []Action
	for _, id := range s.findOpen() {
		if id != winner {
			s.attempts[id].state = stateCanceled
			actions = append(actions, Cancel{ID: id})
		}
	}
	return actions
}

func (s *Stage) findOpen() []ID {
	var found []ID
	for id, a := range s.attempts {
		if a.state == stateOpen {
			found = append(found, id)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Attempt < found[j].Attempt })
	return found
}
