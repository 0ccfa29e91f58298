package claim

import (
	"sort"
	"time"

	"verbenaroad.example/share/modules/codes"
)

type attemptState string

const (
	attemptQueued     attemptState = "queued"
	attemptRunning    attemptState = "running"
	attemptTombstoned attemptState = "tombstoned"
	// attemptFinished means that the attempt ran and its answer may not be in the key-value service
	// yet.
	attemptFinished attemptState = "finished"
	// attemptWritten means that the key-value service holds the answer; the guard only caches it.
	attemptWritten attemptState = "written"
	// attemptUnknown means that the attempt may have run. Its claim stays open until an operator
	// resolves it.
	attemptUnknown attemptState = "unknown"
)

type attempt struct {
	key   string
	state attemptState
	// answer is set in attemptFinished, and in attemptWritten while it is cached.
	answer *Answer
}

// GuardLimits limits the memory of a Guard.
type GuardLimits struct {
	// Attempts is how many attempts one incarnation remembers, each in about 200 bytes.
	// None is ever forgotten: a forgotten attempt could run again or be reported as "not run".
	Attempts int
	// CachedAnswers is how many answers stay cached after AnswerWritten, each with a body of at
	// most MaxAnswerBytes. Answers not yet written are held in addition. Their number is limited
	// too, because no new key can be claimed while the key-value service is unavailable.
	CachedAnswers int
}

// Guard is the agent's state machine: it starts each attempt at most once within its incarnation.
type Guard struct {
	incarnation string
	limits      GuardLimits
	// attempts holds at most limits.Attempts entries and only grows during an incarnation.
	attempts map[string]*attempt
	// cached lists the attempts in attemptWritten that still have their answer, oldest first; at
	// most limits.CachedAnswers.
	cached []string
	// openCount is the number of attempts that are queued, running or finished.
	openCount int
}

// NewGuard returns the guard of a new incarnation.
func NewGuard(incarnation string, limits GuardLimits) *Guard {
	return &Guard{incarnation: incarnation, limits: limits, attempts: map[string]*attempt{}}
}

// Incarnation returns the current incarnation, which every dispatch must carry.
func (g *Guard) Incarnation() string { return g.incarnation }

// Full reports whether the limit of remembered attempts is reached. StartIncarnation makes room.
func (g *Guard) Full() bool { return len(g.attempts) >= g.limits.Attempts }

// StartIncarnation switches to a new incarnation without any remembered attempt and reports whether
// it did so.
//
// This frees the memory of tombstones safely: a dispatch that still arrives for the old incarnation
// is refused because its incarnation differs. It fails while attempts are open, because the guard
// no longer reports the state of the old incarnation's attempts after the switch.
func (g *Guard) StartIncarnation(incarnation string) bool {
	if g.openCount > 0 || incarnation == g.incarnation {
		return false
	}
	*g = *NewGuard(incarnation, g.limits)
	return true
}

// FindUnwritten returns the writes of all answers without AnswerWritten, sorted by attempt.
func (g *Guard) FindUnwritten() []WriteAnswer {
	var found []WriteAnswer
	for id, a := range g.attempts {
		if a.state == attemptFinished {
			found = append(found, WriteAnswer{Key: a.key, Attempt: id, Answer: *a.answer})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Attempt < found[j].Attempt })
	return found
}

// Step handles one event and returns the actions to carry out.
func (g *Guard) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case Dispatched:
		return g.handleDispatched(v)
	case Starting:
		return g.handleStarting(now, v)
	case Dropped:
		return g.handleDropped(v)
	case TombstoneRequested:
		return g.handleTombstoneRequested(v)
	case RunFinished:
		return g.handleRunFinished(v)
	case AnswerWritten:
		g.handleAnswerWritten(v)
	}
	return nil
}

// handleDispatched admits a new attempt.
//
// It queues nothing for a dispatch that was delayed in a buffer: after a restart of the agent the
// incarnation differs, after a tombstone the attempt is known, and a duplicate finds the attempt of
// the first copy.
func (g *Guard) handleDispatched(e Dispatched) []Action {
	if e.Incarnation != g.incarnation {
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.OtherIncarnation}}
	}
	a, known := g.attempts[e.Attempt]
	switch {
	case known && a.state == attemptTombstoned:
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.Tombstoned}}
	case known:
		return []Action{ReportAttempt{Report: newReport(e.Attempt, a)}}
	case g.Full():
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.Overloaded}}
	}
	g.attempts[e.Attempt] = &attempt{key: e.Key, state: attemptQueued}
	g.openCount++
	return []Action{Enqueue{Attempt: e.Attempt}}
}

// handleStarting starts a queued attempt.
//
// It compares the deadline with the time after the wait in the queue: an agent that was frozen
// would otherwise run work after its caller has timed out.
func (g *Guard) handleStarting(now time.Time, e Starting) []Action {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptQueued {
		return nil
	}
	if !now.Before(e.Deadline) {
		g.tombstone(a)
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.DeadlineExceeded}}
	}
	a.state = attemptRunning
	return []Action{Run{Attempt: e.Attempt}}
}

func (g *Guard) handleDropped(e Dropped) []Action {
	a, known := g.attempts[e.Attempt]
	if known && a.state == attemptQueued {
		g.tombstone(a)
	}
	if !known && !g.Full() {
		g.attempts[e.Attempt] = &attempt{state: attemptTombstoned}
	}
	return nil
}

func (g *Guard) handleTombstoneRequested(e TombstoneRequested) []Action {
	if e.Incarnation != g.incarnation {
		return []Action{ReportAttempt{Report: AttemptReport{Attempt: e.Attempt, State: ReportedOtherIncarnation}}}
	}
	a, known := g.attempts[e.Attempt]
	switch {
	case known && a.state == attemptQueued:
		g.tombstone(a)
		return []Action{
			Refuse{Attempt: e.Attempt, Code: codes.Tombstoned},
			ReportAttempt{Report: newReport(e.Attempt, a)},
		}
	case known:
		return []Action{ReportAttempt{Report: newReport(e.Attempt, a)}}
	case g.Full():
		return []Action{ReportAttempt{Report: AttemptReport{Attempt: e.Attempt, State: ReportedBusy}}}
	}
	a = &attempt{state: attemptTombstoned}
	g.attempts[e.Attempt] = a
	return []Action{ReportAttempt{Report: newReport(e.Attempt, a)}}
}

func (g *Guard) handleRunFinished(e RunFinished) []Action {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptRunning {
		return nil
	}
	switch e.Outcome {
	case codes.OutcomeRan:
		answer := e.Answer.WithoutOversizedBody()
		a.state = attemptFinished
		a.answer = &answer
		return []Action{WriteAnswer{Key: a.key, Attempt: e.Attempt, Answer: answer}}
	case codes.OutcomeNotRun:
		g.tombstone(a)
	default:
		a.state = attemptUnknown
		g.openCount--
	}
	return nil
}

func (g *Guard) handleAnswerWritten(e AnswerWritten) {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptFinished {
		return
	}
	a.state = attemptWritten
	g.openCount--
	g.cached = append(g.cached, e.Attempt)
	if len(g.cached) > g.limits.CachedAnswers {
		g.attempts[g.cached[0]].answer = nil
		g.cached = g.cached[1:]
	}
}

func (g *Guard) tombstone(a *attempt) {
	a.state = attemptTombstoned
	g.openCount--
}

// newReport returns the report on a remembered attempt.
func newReport(id string, a *attempt) AttemptReport {
	switch a.state {
	case attemptTombstoned:
		return AttemptReport{Attempt: id, State: ReportedTombstoned}
	case attemptFinished, attemptWritten:
		return AttemptReport{Attempt: id, State: ReportedDone, Answer: a.answer}
	case attemptUnknown:
		return AttemptReport{Attempt: id, State: ReportedOutcomeUnknown}
	default:
		return AttemptReport{Attempt: id, State: ReportedRunning}
	}
}
