package claim

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Event is what happened; each type below is one.
type Event interface{ event() }

// Action is what the caller of a decision must do; each type below is one.
type Action interface{ action() }

// SwapOutcome is the result of a compare-and-swap as its writer sees it.
type SwapOutcome string

// The outcomes of a compare-and-swap.
const (
	SwapDone SwapOutcome = "swapped"
	SwapLost SwapOutcome = "lost"
	// SwapUnknown means no answer: the write may have taken effect, or may yet.
	SwapUnknown SwapOutcome = "unknown"
)

// ToldState is what is known of an attempt at its agent.
type ToldState string

// The states that an agent tells, and the last for one that does not answer.
const (
	// ToldTombstoned means that the attempt has not run and never will.
	ToldTombstoned ToldState = "tombstoned"
	ToldRunning    ToldState = "running"
	// ToldDone comes with the answer, or without where the key-value service holds it.
	ToldDone             ToldState = "done"
	ToldOtherIncarnation ToldState = "other-incarnation"
	// ToldOutcomeUnknown means that the backend server may have run it and gave no answer.
	ToldOutcomeUnknown ToldState = "outcome-unknown"
	// ToldBusy means that the agent cannot remember another tombstone.
	ToldBusy        ToldState = "busy"
	ToldUnreachable ToldState = "unreachable"
)

// Events of a Submission.
type (
	// Started opens the submission.
	Started struct {
		// Known is the record an earlier submission of the same entry released; nil: none.
		Known *Stored
	}
	// ReadBack answers Read.
	ReadBack struct {
		// Stored is nil where the key is absent or Failed is set.
		Stored *Stored
		// Failed means that the service gave no answer.
		Failed bool
	}
	// SwapResult answers CompareAndSwap.
	SwapResult struct {
		Outcome SwapOutcome
		// Index is the new one, for SwapDone.
		Index uint64
	}
	// Told answers AskAgent.
	Told struct {
		Attempt string
		State   ToldState
		Answer  *Answer
	}
	// RunEnded reports how the dispatched attempt ended, as far as this entry knows.
	// Only the stream that carried the dispatch may bring it: to a second copy a
	// restarted agent answers "not run" although the first copy may have run.
	RunEnded struct {
		Attempt string
		Result  codes.Result
		// Answer is set where Result's outcome is codes.OutcomeRan and the answer is whole.
		Answer *Answer
	}
	// DeadlinePassed comes at the deadline, and again once the time for asking the agent is over.
	DeadlinePassed struct{}
)

// Actions of a Submission.
type (
	// Read asks the key-value service for the key.
	Read struct{ Key string }
	// CompareAndSwap writes Record if the key's index still is Index.
	CompareAndSwap struct {
		Key    string
		Record Record
		Index  uint64
	}
	// AskAgent asks the agent to tombstone the attempt unless it has started.
	AskAgent struct {
		Key         string
		Agent       string
		Incarnation string
		Attempt     string
	}
	// Dispatch sends the attempt, once, on one stream.
	Dispatch struct{ Choice Choice }
	// Reply answers the caller: Answer where it is set, else Result.
	Reply struct {
		Result codes.Result
		Answer *Answer
	}
	// Release frees the key by compare-and-swap; its result is not reported back.
	// An entry that submits again at once passes it to Started instead.
	Release struct {
		Key    string
		Stored Stored
	}
)

// Events of a Guard.
type (
	// Dispatched is the arrival of an attempt.
	Dispatched struct {
		Key         string
		Attempt     string
		Incarnation string
	}
	// Starting comes immediately before the call to the backend server.
	Starting struct {
		Attempt string
		// Until is the moment of the monotonic clock from which the run must not start.
		Until time.Time
	}
	// Dropped says that the agent refused the attempt, before or after Dispatched, or took it off its queue.
	// Each refusal outside the guard must be told, or a second copy of the dispatch could run.
	Dropped struct{ Attempt string }
	// Asked wants the attempt tombstoned unless it has started.
	Asked struct {
		Attempt     string
		Incarnation string
	}
	// RunFinished is the end of a run.
	RunFinished struct {
		Attempt string
		// Outcome is codes.OutcomeNotRun only where nothing was sent to the backend server.
		Outcome codes.Outcome
		// Answer is read for codes.OutcomeRan.
		Answer Answer
	}
	// DoneWritten confirms that the key-value service holds the answer.
	DoneWritten struct{ Attempt string }
)

// Actions of a Guard.
type (
	// Enqueue puts the attempt in the agent's queue.
	Enqueue struct{ Attempt string }
	// Run sends the request to the backend server, once.
	Run struct{ Attempt string }
	// Refuse ends the attempt as not run.
	Refuse struct {
		Attempt string
		Code    codes.Code
	}
	// Tell answers Asked, or a second dispatch of an attempt that has started.
	Tell struct{ Told Told }
	// WriteDone reads the key's record and writes what Finish returns; to be repeated until DoneWritten.
	WriteDone struct {
		Key     string
		Attempt string
		Answer  Answer
	}
)

func (Started) event()        {}
func (ReadBack) event()       {}
func (SwapResult) event()     {}
func (Told) event()           {}
func (RunEnded) event()       {}
func (DeadlinePassed) event() {}
func (Dispatched) event()     {}
func (Starting) event()       {}
func (Dropped) event()        {}
func (Asked) event()          {}
func (RunFinished) event()    {}
func (DoneWritten) event()    {}

func (Read) action()           {}
func (CompareAndSwap) action() {}
func (AskAgent) action()       {}
func (Dispatch) action()       {}
func (Reply) action()          {}
func (Release) action()        {}
func (Enqueue) action()        {}
func (Run) action()            {}
func (Refuse) action()         {}
func (Tell) action()           {}
func (WriteDone) action()      {}
