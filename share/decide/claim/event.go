package claim

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Event is an input of Submission.Step or Guard.Step.
type Event interface{ event() }

// Action is an output of Submission.Step or Guard.Step that the caller must carry out.
type Action interface{ action() }

// SwapOutcome is the result of a compare-and-swap as the writer observes it.
type SwapOutcome string

// The outcomes of a compare-and-swap.
const (
	SwapDone SwapOutcome = "swapped"
	SwapLost SwapOutcome = "lost"
	// SwapUnknown means that no answer came: the write may have taken effect or may still do so.
	SwapUnknown SwapOutcome = "unknown"
)

// ReportedState is the state of an attempt as its agent reports it, or ReportedUnreachable.
type ReportedState string

// The reported states.
const (
	// ReportedTombstoned means that the attempt has not run and never will.
	ReportedTombstoned ReportedState = "tombstoned"
	// ReportedRunning is also reported of a queued attempt whose dispatch arrives a second time.
	ReportedRunning ReportedState = "running"
	// ReportedDone comes with the answer. The answer may be missing once the key-value service holds
	// it.
	ReportedDone ReportedState = "done"
	// ReportedOtherIncarnation means that the agent has another incarnation than the one in the
	// request, and no record of that one's attempts.
	ReportedOtherIncarnation ReportedState = "other-incarnation"
	// ReportedOutcomeUnknown means that the backend server may have run the attempt but did not
	// answer.
	ReportedOutcomeUnknown ReportedState = "outcome-unknown"
	// ReportedBusy means that the agent has no memory left for another tombstone.
	ReportedBusy ReportedState = "busy"
	// ReportedUnreachable means that the agent did not answer.
	ReportedUnreachable ReportedState = "unreachable"
)

// Events of a Submission.
type (
	// Started opens the submission.
	Started struct {
		// Released is the record that an earlier submission of the same entry released, nil if none.
		Released *Stored
	}
	// ReadResult answers Read.
	ReadResult struct {
		// Stored is nil if the key is absent or Failed is set.
		Stored *Stored
		// Failed means that the key-value service did not answer.
		Failed bool
	}
	// SwapResult answers CompareAndSwap.
	SwapResult struct {
		Outcome SwapOutcome
		// Index is the index of the written record; it is set for SwapDone only.
		Index uint64
	}
	// AttemptReport answers RequestTombstone.
	AttemptReport struct {
		Attempt string
		State   ReportedState
		Answer  *Answer
	}
	// DispatchEnded reports how the dispatched attempt ended, as far as this entry knows.
	// It must come only from the stream that carried the dispatch: a restarted agent answers a
	// duplicate of the dispatch with "not run" although the first copy may have run.
	DispatchEnded struct {
		Attempt string
		Result  codes.Result
		// Answer is set if the outcome of Result is codes.OutcomeRan and the answer is complete.
		Answer *Answer
	}
	// DeadlinePassed comes at the deadline, and again when RequestTombstone has timed out.
	DeadlinePassed struct{}
)

// Actions of a Submission.
type (
	// Read asks the key-value service for the key.
	Read struct{ Key string }
	// CompareAndSwap writes Record if the key's index is still Index.
	CompareAndSwap struct {
		Key    string
		Record Record
		Index  uint64
	}
	// RequestTombstone asks the agent to tombstone the attempt unless it has started, and to report
	// its state.
	RequestTombstone struct {
		Key         string
		Agent       string
		Incarnation string
		Attempt     string
	}
	// Dispatch sends the attempt to its agent, once, on one stream.
	Dispatch struct{ Choice Choice }
	// Reply answers the caller with Answer if it is set, else with Result.
	Reply struct {
		Result codes.Result
		Answer *Answer
	}
	// Release frees the key by compare-and-swap. Its result is not passed to Step. An entry that
	// resubmits the key immediately passes Stored to Started instead of writing it.
	Release struct {
		Key    string
		Stored Stored
	}
)

// Events of a Guard.
type (
	// Dispatched is the arrival of a dispatched attempt at the agent.
	Dispatched struct {
		Key         string
		Attempt     string
		Incarnation string
	}
	// Starting comes immediately before the request is sent to the backend server.
	Starting struct {
		Attempt string
		// Deadline is the time on the monotonic clock from which the run must not start.
		Deadline time.Time
	}
	// Dropped reports that the agent refused the attempt, before or after Dispatched, or removed it
	// from its queue. Every refusal that the guard did not decide must be reported; otherwise a
	// duplicate of the dispatch could run.
	Dropped struct{ Attempt string }
	// TombstoneRequested is the arrival of a RequestTombstone.
	TombstoneRequested struct {
		Attempt     string
		Incarnation string
	}
	// RunFinished reports the end of a run.
	RunFinished struct {
		Attempt string
		// Outcome is codes.OutcomeNotRun only if nothing was sent to the backend server.
		Outcome codes.Outcome
		// Answer is used for codes.OutcomeRan only.
		Answer Answer
	}
	// AnswerWritten confirms that the key-value service holds the answer or no longer needs it.
	AnswerWritten struct{ Attempt string }
)

// Actions of a Guard.
type (
	// Enqueue adds the attempt to the agent's queue.
	Enqueue struct{ Attempt string }
	// Run sends the request to the backend server, once.
	Run struct{ Attempt string }
	// Refuse ends the attempt as not run.
	Refuse struct {
		Attempt string
		Code    codes.Code
	}
	// ReportAttempt answers TombstoneRequested, or a duplicate dispatch of an attempt that is not
	// tombstoned.
	ReportAttempt struct{ Report AttemptReport }
	// WriteAnswer reads the key's record and writes the one that Finish returns. The caller retries
	// until it can report AnswerWritten.
	WriteAnswer struct {
		Key     string
		Attempt string
		Answer  Answer
	}
)

func (Started) event()            {}
func (ReadResult) event()         {}
func (SwapResult) event()         {}
func (AttemptReport) event()      {}
func (DispatchEnded) event()      {}
func (DeadlinePassed) event()     {}
func (Dispatched) event()         {}
func (Starting) event()           {}
func (Dropped) event()            {}
func (TombstoneRequested) event() {}
func (RunFinished) event()        {}
func (AnswerWritten) event()      {}

func (Read) action()             {}
func (CompareAndSwap) action()   {}
func (RequestTombstone) action() {}
func (Dispatch) action()         {}
func (Reply) action()            {}
func (Release) action()          {}
func (Enqueue) action()          {}
func (Run) action()              {}
func (Refuse) action()           {}
func (ReportAttempt) action()    {}
func (WriteAnswer) action()      {}
