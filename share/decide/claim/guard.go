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
	// attemptFinished has an answer that the key-value service may not hold yet.
	attemptFinished attemptState = "finished"
	// attemptWritten has its answer in the key-value service, and here only while cached.
	attemptWritten attemptState = "written"
	// attemptUnknown may have run; it stays an open claim until an operator resolves it.
	attemptUnknown attemptState = "unknown"
)

type attempt struct {
	key   string
	state attemptState
	// answer is set for attemptFinished, and for attemptWritten while cached.
	answer *Answer
}

// GuardLimits bounds the memory of a Guard.
type GuardLimits struct {
	// Attempts is how many attempts one incarnation remembers, each in about 200 bytes.
	// None is forgotten: a forgotten one could run again or be called "not run".
	Attempts int
	// Answers is how many confirmed answers stay cached, each at most MaxAnswerBytes.
	// Unconfirmed ones come on top; they are bounded because without the
	// key-value service no new claim is made.
	Answers int
}

// Guard is the agent's side: it starts each attempt at most once within its incarnation.
type Guard struct {
	incarnation string
	limits      GuardLimits
	// attempts only grows while the incarnation lasts; at most limits.Attempts.
	attempts map[string]*attempt
	// cached lists attempts in attemptWritten with an answer, oldest first; at most limits.Answers.
	cached []string
	// open counts attempts queued, running or finished.
	open int
}

// NewGuard returns the guard of a new incarnation.
func NewGuard(incarnation string, limits GuardLimits) *Guard {
	return &Guard{incarnation: incarnation, limits: limits, attempts: map[string]*attempt{}}
}

// Incarnation returns the one that dispatches must name.
func (g *Guard) Incarnation() string { return g.incarnation }

// Full tells whether no further attempt can be remembered; Renew makes room.
func (g *Guard) Full() bool { return len(g.attempts) >= g.limits.Attempts }

// Renew takes a new incarnation with an empty memory and reports whether it could.
//
// Guards against running out of tombstones without forgetting one: whatever
// still arrives for the old incarnation is refused by its name. It waits for
// open attempts, since askers are sent away from then on.
func (g *Guard) Renew(incarnation string) bool {
	if g.open > 0 || incarnation == g.incarnation {
		return false
	}
	*g = *NewGuard(incarnation, g.limits)
	return true
}

// FindUnwritten lists the answers that the key-value service has not confirmed, sorted by attempt.
func (g *Guard) FindUnwritten() []WriteDone {
	var found []WriteDone
	for id, a := range g.attempts {
		if a.state == attemptFinished {
			found = append(found, WriteDone{Key: a.key, Attempt: id, Answer: *a.answer})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Attempt < found[j].Attempt })
	return found
}

// Step takes one event and returns what is to be done.
func (g *Guard) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case Dispatched:
		return g.dispatched(v)
	case Starting:
		return g.starting(now, v)
	case Dropped:
		return g.dropped(v)
	case Asked:
		return g.asked(v)
	case RunFinished:
		return g.finished(v)
	case DoneWritten:
		g.written(v)
	}
	return nil
}

// dispatched admits an attempt.
//
// Guards against a dispatch that arrives late from a buffer: after an agent's
// restart the incarnation differs; after a tombstone the attempt is known; a
// second copy finds the first. In each case nothing is queued.
func (g *Guard) dispatched(e Dispatched) []Action {
	if e.Incarnation != g.incarnation {
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.OtherIncarnation}}
	}
	a, known := g.attempts[e.Attempt]
	switch {
	case known && a.state == attemptTombstoned:
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.Tombstoned}}
	case known:
		return []Action{Tell{Told: tell(e.Attempt, a)}}
	case g.Full():
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.Overloaded}}
	}
	g.attempts[e.Attempt] = &attempt{key: e.Key, state: attemptQueued}
	g.open++
	return []Action{Enqueue{Attempt: e.Attempt}}
}

// starting lets a queued attempt run.
//
// Guards against an agent that was frozen with the attempt in its queue: on
// waking it would run work that its caller gave up on. The clock is read after the wait.
func (g *Guard) starting(now time.Time, e Starting) []Action {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptQueued {
		return nil
	}
	if !now.Before(e.Until) {
		g.tombstone(a)
		return []Action{Refuse{Attempt: e.Attempt, Code: codes.DeadlineExceeded}}
	}
	a.state = attemptRunning
	return []Action{Run{Attempt: e.Attempt}}
}

func (g *Guard) dropped(e Dropped) []Action {
	a, known := g.attempts[e.Attempt]
	if known && a.state == attemptQueued {
		g.tombstone(a)
	}
	if !known && !g.Full() {
		g.attempts[e.Attempt] = &attempt{state: attemptTombstoned}
	}
	return nil
}

func (g *Guard) asked(e Asked) []Action {
	if e.Incarnation != g.incarnation {
		return []Action{Tell{Told: Told{Attempt: e.Attempt, State: ToldOtherIncarnation}}}
	}
	a, known := g.attempts[e.Attempt]
	switch {
	case known && a.state == attemptQueued:
		g.tombstone(a)
		return []Action{
			Refuse{Attempt: e.Attempt, Code: codes.Tombstoned},
			Tell{Told: tell(e.Attempt, a)},
		}
	case known:
		return []Action{Tell{Told: tell(e.Attempt, a)}}
	case g.Full():
		return []Action{Tell{Told: Told{Attempt: e.Attempt, State: ToldBusy}}}
	}
	a = &attempt{state: attemptTombstoned}
	g.attempts[e.Attempt] = a
	return []Action{Tell{Told: tell(e.Attempt, a)}}
}

func (g *Guard) finished(e RunFinished) []Action {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptRunning {
		return nil
	}
	switch e.Outcome {
	case codes.OutcomeRan:
		answer := e.Answer.Bound()
		a.state = attemptFinished
		a.answer = &answer
		return []Action{WriteDone{Key: a.key, Attempt: e.Attempt, Answer: answer}}
	case codes.OutcomeNotRun:
		g.tombstone(a)
	default:
		a.state = attemptUnknown
		g.open--
	}
	return nil
}

func (g *Guard) written(e DoneWritten) {
	a, known := g.attempts[e.Attempt]
	if !known || a.state != attemptFinished {
		return
	}
	a.state = attemptWritten
	g.open--
	g.cached = append(g.cached, e.Attempt)
	if len(g.cached) > g.limits.Answers {
		g.attempts[g.cached[0]].answer = nil
		g.cached = g.cached[1:]
	}
}

func (g *Guard) tombstone(a *attempt) {
	a.state = attemptTombstoned
	g.open--
}

func tell(id string, a *attempt) Told {
	switch a.state {
	case attemptTombstoned:
		return Told{Attempt: id, State: ToldTombstoned}
	case attemptFinished, attemptWritten:
		return Told{Attempt: id, State: ToldDone, Answer: a.answer}
	case attemptUnknown:
		return Told{Attempt: id, State: ToldOutcomeUnknown}
	default:
		return Told{Attempt: id, State: ToldRunning}
	}
}
