package claim

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// maxSwaps limits the compare-and-swaps of one submission while other submissions keep winning.
const maxSwaps = 4

// Choice is a new attempt and the agent process that the entry has chosen for it.
type Choice struct {
	// Attempt is new for every submission, even of the same key.
	Attempt     string
	Agent       string
	Incarnation string
}

// Request describes one submission of a key.
type Request struct {
	// Key is a key returned by the function Key.
	Key        string
	BodyDigest string
	Choice     Choice
	// Deadline is the time on the monotonic clock from which nothing is dispatched.
	Deadline time.Time
	// RetryAfter is the wait to suggest to the caller when it may retry.
	RetryAfter time.Duration
}

type phase string

// The phases. All but phaseNew and phaseSettled wait for the result of an action.
const (
	phaseNew      phase = "new"
	phaseSwapping phase = "swapping"
	phaseReading  phase = "reading"
	phaseAsking   phase = "asking"
	phaseRunning  phase = "running"
	phaseSettled  phase = "settled"
)

// Submission is the entry's state machine for one submission of a key.
type Submission struct {
	request Request
	phase   phase
	// ownClaim is the record that this submission wrote last, whether or not the write took effect.
	ownClaim Record
	// current is the record read last, or the own claim once it is known to hold the key.
	current Stored
	// heldByOther is set while current is an open claim of another submission.
	heldByOther bool
	// writeUnknown is set by a write without an answer. The submission then writes no further claim.
	writeUnknown bool
	// contended is set once a write lost, which means that the key has a record.
	contended bool
	// dispatched is never reset; a submission dispatches at most once.
	dispatched bool
	// lastReport is the agent's report on queriedAttempt if it did not settle the submission. The
	// record is then read a last time.
	lastReport ReportedState
	// queriedAttempt is the attempt of the last RequestTombstone.
	queriedAttempt string
	// runResult is the inconclusive result of the own dispatch. The caller gets it if the attempt
	// turns out not to have run.
	runResult codes.Result
	swaps     int
}

// NewSubmission returns a submission. Its first event must be Started.
func NewSubmission(r Request) *Submission {
	return &Submission{request: r, phase: phaseNew}
}

// Settled reports whether the caller has its answer.
func (s *Submission) Settled() bool {
	return s.phase == phaseSettled
}

// Step handles one event and returns the actions to carry out.
func (s *Submission) Step(now time.Time, e Event) []Action {
	if s.phase == phaseSettled {
		return s.handleSettled(now, e)
	}
	switch v := e.(type) {
	case Started:
		return s.handleStarted(now, v)
	case SwapResult:
		return s.handleSwapResult(now, v)
	case ReadResult:
		return s.handleReadResult(now, v)
	case AttemptReport:
		return s.handleReport(now, v)
	case DispatchEnded:
		return s.handleDispatchEnded(now, v)
	case DeadlinePassed:
		return s.handleDeadline()
	default:
		return nil
	}
}

// handleSettled frees a key whose claim took effect after the caller was answered.
//
// It covers a claim whose write succeeds after the caller was answered "not run". The phase never
// leaves phaseSettled, so the attempt is never dispatched and the answer stays true.
func (s *Submission) handleSettled(now time.Time, e Event) []Action {
	v, ok := e.(SwapResult)
	if !ok || s.dispatched || v.Outcome != SwapDone {
		return nil
	}
	return []Action{s.release(now, v.Index)}
}

func (s *Submission) handleStarted(now time.Time, e Started) []Action {
	if s.phase != phaseNew {
		return nil
	}
	if e.Released != nil {
		return s.handleRecord(now, *e.Released)
	}
	return s.claimKey(now, 0)
}

// claimKey writes the own claim over the record at index; index 0 creates the record.
func (s *Submission) claimKey(now time.Time, index uint64) []Action {
	if !now.Before(s.request.Deadline) {
		return s.replyNotRun(codes.DeadlineExceeded, "the deadline passed before the claim")
	}
	if s.swaps == maxSwaps {
		return s.replyInProgress()
	}
	s.swaps++
	s.phase = phaseSwapping
	s.ownClaim = Record{
		State:       StateClaimed,
		Attempt:     s.request.Choice.Attempt,
		Agent:       s.request.Choice.Agent,
		Incarnation: s.request.Choice.Incarnation,
		BodyDigest:  s.request.BodyDigest,
		ClaimedAt:   now,
	}
	return []Action{CompareAndSwap{Key: s.request.Key, Record: s.ownClaim, Index: index}}
}

func (s *Submission) handleSwapResult(now time.Time, e SwapResult) []Action {
	if s.phase != phaseSwapping {
		return nil
	}
	switch e.Outcome {
	case SwapDone:
		return s.dispatch(now, Stored{Record: s.ownClaim, Index: e.Index})
	case SwapLost:
		s.contended = true
	default:
		s.writeUnknown = true
	}
	return s.read()
}

func (s *Submission) read() []Action {
	s.phase = phaseReading
	return []Action{Read{Key: s.request.Key}}
}

// dispatch sends the attempt of the own claim.
//
// It compares the deadline with the time after the claim is known to hold: an entry that was frozen
// since it wrote the claim would otherwise dispatch after its caller has timed out.
func (s *Submission) dispatch(now time.Time, own Stored) []Action {
	s.current = own
	s.heldByOther = false
	if !now.Before(s.request.Deadline) {
		actions := s.replyNotRun(codes.DeadlineExceeded, "the deadline passed during the claim")
		return append(actions, s.release(now, own.Index))
	}
	s.dispatched = true
	s.phase = phaseRunning
	return []Action{Dispatch{Choice: s.request.Choice}}
}

func (s *Submission) handleReadResult(now time.Time, e ReadResult) []Action {
	if s.phase != phaseReading {
		return nil
	}
	if e.Failed {
		return s.handleReadFailed()
	}
	if e.Stored != nil {
		return s.handleRecord(now, *e.Stored)
	}
	return s.handleAbsent(now)
}

func (s *Submission) handleReadFailed() []Action {
	if s.dispatched || s.heldByOther {
		return s.replyUnknown()
	}
	result := codes.NewResult(codes.ClaimsUnavailable, "the claim could not be read").WithRetryAfter(s.request.RetryAfter)
	if s.contended {
		// The key has a record, so the attempt of another submission may have run.
		result = result.WithOutcome(codes.OutcomeUnknown)
	}
	return s.reply(*result)
}

// handleAbsent decides when the key has no record.
//
// A claim write that timed out may take effect after this read. After such a write the submission
// ends here and never dispatches, so the answer "not run" stays true. The next submission has the
// orphaned claim tombstoned.
func (s *Submission) handleAbsent(now time.Time) []Action {
	if s.dispatched {
		return s.replyUnknown()
	}
	if s.writeUnknown {
		return s.replyNotRun(codes.ClaimsUnavailable, "the claim's write gave no answer")
	}
	return s.claimKey(now, 0)
}

// handleRecord decides on the record of the key.
func (s *Submission) handleRecord(now time.Time, stored Stored) []Action {
	r := stored.Record
	if r.BodyDigest != s.request.BodyDigest {
		return s.reply(*codes.NewResult(codes.KeyConflict, "the key is held with another body"))
	}
	s.current = stored
	s.heldByOther = r.State == StateClaimed && r.Attempt != s.request.Choice.Attempt
	switch r.State {
	case StateDone:
		return s.replyAnswer(r.Answer)
	case StateClaimed:
		return s.handleClaimed(now, stored)
	case StateResolved:
		if r.Outcome == codes.OutcomeRan {
			result := codes.NewResult(codes.OutcomeNotKnown, "settled as run by "+r.ResolvedBy).WithOutcome(codes.OutcomeRan)
			return s.reply(*result)
		}
	case StateTombstoned:
	}
	return s.reclaim(now, stored.Index)
}

func (s *Submission) handleClaimed(now time.Time, stored Stored) []Action {
	switch {
	case !s.heldByOther && !s.dispatched:
		return s.dispatch(now, stored)
	case s.lastReport != "" && s.queriedAttempt == stored.Record.Attempt:
		return s.replyUnknown()
	case s.lastReport != "" || s.dispatched || s.writeUnknown:
		return s.replyInProgress()
	default:
		return s.requestTombstone(stored.Record)
	}
}

// reclaim claims a key whose recorded attempt did not run and never will.
func (s *Submission) reclaim(now time.Time, index uint64) []Action {
	switch {
	case s.dispatched:
		return s.replyNotRun(codes.Tombstoned, "the attempt was given up on before it started")
	case s.writeUnknown:
		return s.replyNotRun(codes.ClaimsUnavailable, "the claim's write gave no answer")
	default:
		return s.claimKey(now, index)
	}
}

func (s *Submission) requestTombstone(r Record) []Action {
	s.phase = phaseAsking
	s.queriedAttempt = r.Attempt
	return []Action{RequestTombstone{
		Key:         s.request.Key,
		Agent:       r.Agent,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
	}}
}

func (s *Submission) handleReport(now time.Time, e AttemptReport) []Action {
	if s.phase != phaseAsking || e.Attempt != s.queriedAttempt {
		return nil
	}
	switch e.State {
	case ReportedTombstoned:
		return s.handleTombstoned(now)
	case ReportedRunning:
		return s.replyInProgress()
	case ReportedDone:
		if e.Answer != nil {
			return s.replyAnswer(e.Answer)
		}
	default:
	}
	// The record is read again: the answer may have been written since the last read.
	s.lastReport = e.State
	return s.read()
}

func (s *Submission) handleTombstoned(now time.Time) []Action {
	if !s.dispatched {
		return s.claimKey(now, s.current.Index)
	}
	actions := s.reply(*s.runResult.WithOutcome(codes.OutcomeNotRun))
	return append(actions, s.release(now, s.current.Index))
}

func (s *Submission) handleDispatchEnded(now time.Time, e DispatchEnded) []Action {
	if !s.dispatched || e.Attempt != s.request.Choice.Attempt {
		return nil
	}
	switch {
	case e.Result.Outcome == codes.OutcomeRan && e.Answer != nil:
		return s.replyAnswer(e.Answer)
	case e.Result.Outcome == codes.OutcomeRan:
		return s.reply(e.Result)
	case e.Result.Outcome == codes.OutcomeNotRun:
		return append(s.reply(e.Result), s.release(now, s.current.Index))
	case s.phase != phaseRunning:
		return nil
	default:
		s.runResult = e.Result
		return s.requestTombstone(s.current.Record)
	}
}

func (s *Submission) handleDeadline() []Action {
	passed := codes.NewResult(codes.DeadlineExceeded, "the deadline passed").WithRetryAfter(s.request.RetryAfter)
	switch {
	case s.phase == phaseRunning:
		s.runResult = *passed
		return s.requestTombstone(s.current.Record)
	case s.dispatched:
		return s.reply(*passed.WithOutcome(codes.OutcomeUnknown))
	case s.heldByOther || s.contended:
		return s.replyInProgress()
	default:
		return s.reply(*passed.WithOutcome(codes.OutcomeNotRun))
	}
}

func (s *Submission) replyInProgress() []Action {
	result := codes.NewResult(codes.InProgress, "the key is claimed by an attempt that has not ended")
	return s.reply(*result.WithRetryAfter(s.request.RetryAfter))
}

func (s *Submission) replyUnknown() []Action {
	result := codes.NewResult(codes.OutcomeNotKnown, "the attempt may have run")
	switch s.lastReport {
	case ReportedUnreachable, ReportedBusy, ReportedDone:
		result = result.WithRetryAfter(s.request.RetryAfter)
	}
	return s.reply(*result)
}

// replyNotRun answers "not run". This is true because either nothing was dispatched, and a settled
// submission never dispatches, or the attempt is tombstoned.
func (s *Submission) replyNotRun(c codes.Code, detail string) []Action {
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
	freed := s.ownClaim
	freed.State = StateTombstoned
	freed.SettledAt = now
	return Release{Key: s.request.Key, Stored: Stored{Record: freed, Index: index}}
}
