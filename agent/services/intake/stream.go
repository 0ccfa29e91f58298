package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"verbenaroad.example/agent/services/target"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
)

// callStream is one call and the stream that its answer is written to.
type callStream struct {
	stream net.Conn
	call   *wire.Call
}

// sink writes an answer to the call's stream as it arrives. For the claim of a non-idempotent run
// it also keeps the answer.
type sink struct {
	callStream *callStream
	// keep is set for non-idempotent runs: their answer is needed even if the caller has
	// disconnected.
	keep bool
	// kept is the start of the answer, up to the first write that takes it beyond
	// claim.MaxAnswerBytes.
	kept bytes.Buffer
	// failed is set once a write to the stream has failed; nothing more is written to it.
	failed bool
	sent   uint64
}

func (c *callStream) newSink(keep bool) *sink {
	return &sink{callStream: c, keep: keep}
}

// Write sends one part of the answer to the entry.
func (s *sink) Write(p []byte) (int, error) {
	if s.keep && s.kept.Len() <= claim.MaxAnswerBytes {
		s.kept.Write(p)
	}
	if s.failed {
		return len(p), nil
	}
	err := wire.WriteFrame(s.callStream.stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: p}}})
	s.failed = err != nil
	if err == nil {
		s.sent += uint64(len(p))
		return len(p), nil
	}
	if s.keep {
		// The run continues without its caller, and its answer is kept for the claim.
		err = nil
	}
	return len(p), err
}

// finishAttempt records the end of a non-idempotent run and its answer for the claim.
func (i *Intake) finishAttempt(ctx context.Context, call *wire.Call, result target.CallResult, s *sink) {
	outcome := codes.OutcomeRan
	code := codes.OK
	if result.Failure != nil {
		outcome = result.Failure.Outcome
		code = result.Failure.Code
	}
	answer := claim.Answer{Code: code, Status: result.Status, ContentType: result.ContentType, Body: s.kept.Bytes()}
	i.options.Claims.FinishAttempt(context.WithoutCancel(ctx), call.GetClaimAttempt(), outcome, answer)
}

// preemptionCause replaces the result of a run that the gate preempted by the cause of the
// cancellation, with the outcome "ran". It returns any other result unchanged.
func preemptionCause(ctx context.Context, result *codes.Result) *codes.Result {
	var cause *codes.Result
	if result != nil && result.Code == codes.Canceled && errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(codes.OutcomeRan)
	}
	return result
}

// deadlineCause replaces the refusal of a call whose deadline passed while it waited for a slot.
// The gate only observes that the context ended and returns "canceled", which would be wrong for a
// caller that is still waiting. deadlineCause returns any other refusal unchanged.
func deadlineCause(ctx context.Context, refusal *codes.Result) *codes.Result {
	if refusal.Code == codes.Canceled && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		expired := codes.NewResult(codes.DeadlineExceeded, "the deadline passed while the call waited")
		return expired.WithOutcome(refusal.Outcome)
	}
	return refusal
}

func newEnd(result *codes.Result) *wire.End {
	if result == nil {
		return &wire.End{Code: uint32(codes.OK), Outcome: string(codes.OutcomeRan)}
	}
	return &wire.End{
		Code:            uint32(result.Code),
		Outcome:         string(result.Outcome),
		Detail:          result.Detail,
		RetryAfterNanos: int64(result.RetryAfter),
	}
}

func newItem(id string, call *wire.Call, deadline time.Time) queue.Item {
	priority := config.Priority(call.GetPriority())
	return queue.Item{
		ID:          id,
		Team:        call.GetTeam(),
		Priority:    priority,
		Weight:      call.GetWeight(),
		Cost:        call.GetCost(),
		Deadline:    deadline,
		Preemptible: call.GetIdempotent() && priority == config.PriorityBatch,
	}
}

// workID returns an id that is unique among the calls that this agent can have at the same time.
func workID(call *wire.Call) string {
	return fmt.Sprintf("%s/%s", call.GetRequestId(), attemptName(call))
}

func attemptName(call *wire.Call) string {
	return fmt.Sprintf("%s-%d", call.GetStage(), call.GetAttempt())
}

// counters count the calls of an intake by how they ended, and the tokens of their answers.
type counters struct {
	calls   atomic.Uint64
	ok      atomic.Uint64
	refused atomic.Uint64
	failed  atomic.Uint64
	tokens  atomic.Uint64
}

func (c *counters) count(end *wire.End) {
	c.tokens.Add(end.GetTokens())
	switch {
	case end.GetCode() == uint32(codes.OK):
		c.ok.Add(1)
	case end.GetOutcome() == string(codes.OutcomeNotRun):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// Counts are the numbers of calls and tokens since the start of an intake. Refused calls have not
// run; failed calls are all others that did not end with codes.OK.
type Counts struct {
	Calls, OK, Refused, Failed, Tokens uint64
}

// GetCounts returns the counts since the start.
func (i *Intake) GetCounts() Counts {
	return Counts{
		Calls:   i.counts.calls.Load(),
		OK:      i.counts.ok.Load(),
		Refused: i.counts.refused.Load(),
		Failed:  i.counts.failed.Load(),
		Tokens:  i.counts.tokens.Load(),
	}
}
