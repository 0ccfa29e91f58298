package claim

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// maxSwaps bounds the compare-and-swaps of one submission against others that keep winning.
const maxSwaps = 4

// Choice is the attempt an entry would dispatch.
type Choice struct {
	// Attempt is new for every submission, also for the same key.
	Attempt     string
	Agent       string
	Incarnation string
}

// Request describes one submission of a key.
type Request struct {
	// Key is the result of the function Key.
	Key        string
	BodyDigest string
	Choice     Choice
	// Deadline is the moment of the monotonic clock after which nothing is dispatched.
	Deadline time.Time
	// RetryAfter is what a caller is told to wait where it may ask again.
	RetryAfter time.Duration
}

type phase string

const (
	phaseNew      phase = "new"
	phaseSwapping phase = "swapping"
	phaseReading  phase = "reading"
	phaseAsking   phase = "asking"
	phaseRunning  phase = "running"
	phaseSettled  phase = "settled"
)

// Submission is the entry's side of one submission of a key.
type Submission struct {
	request Request
	phase   phase
	// claim is the record of the last own write.
	claim Record
	// held is the last record read, or the own claim once it is known to hold.
	held Stored
	// other is set while held is another submission's open claim.
	other bool
	// unsure is set by a write without an answer; the submission then writes no more.
	unsure bool
	// contended is set once a write lost: the key has a record.
	contended bool
	// dispatched never goes back to false; a submission dispatches once at most.
	dispatched bool
	// silence is what the agent told about the attempt asked before the record is read a last time.
	silence ToldState
	asked   string
	// cause is how the own run ended as far as known, for the answer if it proves not to have run.
	cause codes.Result
	swaps int
}

// NewSubmission returns a submission that waits for Started.
func NewSubmission(r Request) *Submission {
	return &Submission{request: r, phase: phaseNew}
}

// Settled tells whether the caller has its answer.
func (s *Submission) Settled() bool {
	return s.phase == phaseSettled
}

// Step takes one event and returns what is to be done.
func (s *Submission) Step(now time.Time, e Event) []Action {
	if s.phase == phaseSettled {
		return s.stepSettled(now, e)
	}
	switch v := e.(type) {
	case Started:
		return s.start(now, v)
	case SwapResult:
		return s.swapped(now, v)
	case ReadBack:
		return s.readBack(now, v)
	case Told:
		return s.told(now, v)
	case RunEnded:
		return s.runEnded(now, v)
	case DeadlinePassed:
		return s.deadline()
	default:
		return nil
	}
}

// stepSettled frees a key whose claim took effect after the answer was given.
//
// Guards against a claim write that outlives its submission: the caller was
// told "not run", then the write succeeds. The phase never leaves settled, so
// the attempt is never dispatched and the answer stays true.
func (s *Submission) stepSettled(now time.Time, e Event) []Action {
	v, ok := e.(SwapResult)
	if !ok || s.dispatched || v.Outcome != SwapDone {
		return nil
	}
	return []Action{s.release(now, v.Index)}
}

func (s *Submission) start(now time.Time, e Started) []Action {
	if s.phase != phaseNew {
		return nil
	}
	if e.Known != nil {
		return s.judge(now, *e.Known)
	}
	return s.swap(now, 0)
}

// swap claims the key over the record at index; 0 creates it.
func (s *Submission) swap(now time.Time, index uint64) []Action {
	if !now.Before(s.request.Deadline) {
		return s.refuse(codes.DeadlineExceeded, "the deadline passed before the claim")
	}
	if s.swaps == maxSwaps {
		return s.inProgress()
	}
	s.swaps++
	s.phase = phaseSwapping
	s.claim = Record{
		State:       StateClaimed,
		Attempt:     s.request.Choice.Attempt,
		Agent:       s.request.Choice.Agent,
		Incarnation: s.request.Choice.Incarnation,
		BodyDigest:  s.request.BodyDigest,
		ClaimedAt:   now,
	}
	return []Action{CompareAndSwap{Key: s.request.Key, Record: s.claim, Index: index}}
}

func (s *Submission) swapped(now time.Time, e SwapResult) []Action {
	if s.phase != phaseSwapping {
		return nil
	}
	switch e.Outcome {
	case SwapDone:
		return s.dispatch(now, Stored{Record: s.claim, Index: e.Index})
	case SwapLost:
		s.contended = true
	default:
		s.unsure = true
	}
	return s.read()
}

func (s *Submission) read() []Action {
	s.phase = phaseReading
	return []Action{Read{Key: s.request.Key}}
}

// dispatch sends the own claimed attempt.
//
// Guards against an entry that was frozen between the claim and here: its
// caller has given up. The clock is read after the claim is known to hold.
func (s *Submission) dispatch(now time.Time, own Stored) []Action {
	s.held = own
	s.other = false
	if !now.Before(s.request.Deadline) {
		actions := s.refuse(codes.DeadlineExceeded, "the deadline passed during the claim")
		return append(actions, s.release(now, own.Index))
	}
	s.dispatched = true
	s.phase = phaseRunning
	return []Action{Dispatch{Choice: s.request.Choice}}
}

func (s *Submission) readBack(now time.Time, e ReadBack) []Action {
	if s.phase != phaseReading {
		return nil
	}
	if e.Failed {
		return s.readFailed()
	}
	if e.Stored != nil {
		return s.judge(now, *e.Stored)
	}
	return s.readAbsent(now)
}

func (s *Submission) readFailed() []Action {
	if s.dispatched || s.other {
		return s.unknown()
	}
	result := codes.NewResult(codes.ClaimsUnavailable, "the claim could not be read").WithRetryAfter(s.request.RetryAfter)
	if s.contended {
		// The key has a record, so an earlier submission may have run.
		result = result.WithOutcome(codes.OutcomeUnknown)
	}
	return s.reply(*result)
}

// readAbsent decides where the key has no record.
//
// Guards against a claim write that timed out, reads back absent and takes
// effect afterwards: the submission ends here and never dispatches, so "not
// run" stays true; the orphaned claim is tombstoned by the next submission.
func (s *Submission) readAbsent(now time.Time) []Action {
	if s.dispatched {
		return s.unknown()
	}
	if s.unsure {
		return s.refuse(codes.ClaimsUnavailable, "the claim's write gave no answer")
	}
	return s.swap(now, 0)
}

// judge decides by the record that holds the key.
func (s *Submission) judge(now time.Time, stored Stored) []Action {
	r := stored.Record
	if r.BodyDigest != s.request.BodyDigest {
		return s.reply(*codes.NewResult(codes.KeyConflict, "the key is held with another body"))
	}
	s.held = stored
	s.other = r.State == StateClaimed && r.Attempt != s.request.Choice.Attempt
	switch r.State {
	case StateDone:
		return s.replyAnswer(r.Answer)
	case StateClaimed:
		return s.judgeClaimed(now, stored)
	case StateResolved:
		if r.Outcome == codes.OutcomeRan {
			result := codes.NewResult(codes.OutcomeNotKnown, "settled as run by "+r.ResolvedBy).WithOutcome(codes.OutcomeRan)
			return s.reply(*result)
		}
	case StateTombstoned:
	}
	return s.reclaim(now, stored.Index)
}

func (s *Submission) judgeClaimed(now time.Time, stored Stored) []Action {
	switch {
	case !s.other && !s.dispatched:
		return s.dispatch(now, stored)
	case s.silence != "" && s.asked == stored.Record.Attempt:
		return s.unknown()
	case s.silence != "" || s.dispatched || s.unsure:
		return s.inProgress()
	default:
		return s.ask(stored.Record)
	}
}

// reclaim takes over a key whose attempt can never run.
func (s *Submission) reclaim(now time.Time, index uint64) []Action {
	switch {
	case s.dispatched:
		return s.refuse(codes.Tombstoned, "the attempt was given up on before it started")
	case s.unsure:
		return s.refuse(codes.ClaimsUnavailable, "the claim's write gave no answer")
	default:
		return s.swap(now, index)
	}
}

func (s *Submission) ask(r Record) []Action {
	s.phase = phaseAsking
	s.asked = r.Attempt
	return []Action{AskAgent{
		Key:         s.request.Key,
		Agent:       r.Agent,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
	}}
}

func (s *Submission) told(now time.Time, e Told) []Action {
	if s.phase != phaseAsking || e.Attempt != s.asked {
		return nil
	}
	switch e.State {
	case ToldTombstoned:
		return s.toldTombstoned(now)
	case ToldRunning:
		return s.inProgress()
	case ToldDone:
		if e.Answer != nil {
			return s.replyAnswer(e.Answer)
		}
	default:
	}
	// Done may have been written since the record was read, so it is read once more.
	s.silence = e.State
	return s.read()
}

func (s *Submission) toldTombstoned(now time.Time) []Action {
	if !s.dispatched {
		return s.swap(now, s.held.Index)
	}
	actions := s.reply(*s.cause.WithOutcome(codes.OutcomeNotRun))
	return append(actions, s.release(now, s.held.Index))
}

func (s *Submission) runEnded(now time.Time, e RunEnded) []Action {
	if !s.dispatched || e.Attempt != s.request.Choice.Attempt {
		return nil
	}
	switch {
	case e.Result.Outcome == codes.OutcomeRan && e.Answer != nil:
		return s.replyAnswer(e.Answer)
	case e.Result.Outcome == codes.OutcomeRan:
		return s.reply(e.Result)
	case e.Result.Outcome == codes.OutcomeNotRun:
		return append(s.reply(e.Result), s.release(now, s.held.Index))
	case s.phase != phaseRunning:
		return nil
	default:
		s.cause = e.Result
		return s.ask(s.held.Record)
	}
}

func (s *Submission) deadline() []Action {
	passed := codes.NewResult(codes.DeadlineExceeded, "the deadline passed").WithRetryAfter(s.request.RetryAfter)
	switch {
	case s.phase == phaseRunning:
		s.cause = *passed
		return s.ask(s.held.Record)
	case s.dispatched:
		return s.reply(*passed.WithOutcome(codes.OutcomeUnknown))
	case s.other || s.contended:
		return s.inProgress()
	default:
		return s.reply(*passed.WithOutcome(codes.OutcomeNotRun))
	}
}

func (s *Submission) inProgress() []Action {
	result := codes.NewResult(codes.InProgress, "the key is claimed by an attempt that has not ended")
	return s.reply(*result.WithRetryAfter(s.request.RetryAfter))
}

func (s *Submission) unknown() []Action {
	result := codes.NewResult(codes.OutcomeNotKnown, "the attempt may have run")
	switch s.silence {
	case ToldUnreachable, ToldBusy, ToldDone:
		result = result.WithRetryAfter(s.request.RetryAfter)
	}
	return s.reply(*result)
}

// refuse says "not run": either nothing was dispatched, and a settled
// submission never dispatches, or the attempt is tombstoned.
func (s *Submission) refuse(c codes.Code, detail string) []Action {
	result := codes.NewResult(c, detail).WithOutcome(codes.OutcomeNotRun)
	return s.reply(*result.WithRetryAfter(s.request.RetryAfter))
}

func (s *Submission) replyAnswer(a *Answer) []Action {
	s.phase = phaseSettled
	result := codes.NewResult(a.Code, "").WithOutcome(codes.OutcomeRan)
	return []Action{Reply{Result: *result, Answer: a}}
}

func (s *Submission) reply(r codes.Result) []Action {
	s.phase = phaseSettled
	return []Action{Reply{Result: r}}
}

func (s *Submission) release(now time.Time, index uint64) Action {
	freed := s.claim
	freed.State = StateTombstoned
	freed.SettledAt = now
	return Release{Key: s.request.Key, Stored: Stored{Record: freed, Index: index}}
}
