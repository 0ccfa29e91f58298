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

// line is one call and the stream that its answer goes to.
type line struct {
	stream net.Conn
	call   *wire.Call
}

// sink sends pieces on as they come and keeps those of a non-idempotent run for its claim.
type sink struct {
	line *line
	// keep is set for non-idempotent runs: the pieces then outlive a caller that went away.
	keep bool
	kept bytes.Buffer
	// broken is set once the entry is gone.
	broken bool
	sent   uint64
}

func (l *line) newSink(keep bool) *sink {
	return &sink{line: l, keep: keep}
}

// Write sends one piece.
func (s *sink) Write(p []byte) (int, error) {
	if s.keep && s.kept.Len() <= claim.MaxAnswerBytes {
		s.kept.Write(p)
	}
	if s.broken {
		return len(p), nil
	}
	err := wire.WriteFrame(s.line.stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: p}}})
	s.broken = err != nil
	if err == nil {
		s.sent += uint64(len(p))
		return len(p), nil
	}
	if s.keep {
		// The run goes on without its caller: its answer is kept for the claim.
		err = nil
	}
	return len(p), err
}

// finishAttempt hands the end of a non-idempotent run to the claim's keeper.
func (i *Intake) finishAttempt(ctx context.Context, call *wire.Call, ending target.Ending, s *sink) {
	outcome := codes.OutcomeRan
	code := codes.OK
	if ending.Result != nil {
		outcome = ending.Result.Outcome
		code = ending.Result.Code
	}
	answer := claim.Answer{Code: code, Status: ending.Status, ContentType: ending.ContentType, Body: s.kept.Bytes()}
	i.options.Keeper.FinishAttempt(context.WithoutCancel(ctx), call.GetClaimAttempt(), outcome, answer)
}

// preemptedOr names the gate's cancel as the cause where there was one.
func preemptedOr(ctx context.Context, result *codes.Result) *codes.Result {
	var cause *codes.Result
	if result != nil && result.Code == codes.Canceled && errors.As(context.Cause(ctx), &cause) {
		return cause.WithOutcome(codes.OutcomeRan)
	}
	return result
}

// lateOr names the passed deadline as the cause where it ended the wait. The
// gate sees only that the context ended, and would tell a caller that still
// waits that it went away itself.
func lateOr(ctx context.Context, refusal *codes.Result) *codes.Result {
	if refusal.Code == codes.Canceled && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		late := codes.NewResult(codes.DeadlineExceeded, "the deadline passed while the call waited")
		return late.WithOutcome(refusal.Outcome)
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

// workID is unique among the calls that may be here at once.
func workID(call *wire.Call) string {
	return fmt.Sprintf("%s/%s", call.GetRequestId(), attemptName(call))
}

func attemptName(call *wire.Call) string {
	return fmt.Sprintf("%s-%d", call.GetStage(), call.GetAttempt())
}

// counters are the figures of an intake.
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

// Counts are an intake's figures since its start.
type Counts struct {
	Calls, OK, Refused, Failed, Tokens uint64
}

// GetCounts returns the figures.
func (i *Intake) GetCounts() Counts {
	return Counts{
		Calls:   i.counts.calls.Load(),
		OK:      i.counts.ok.Load(),
		Refused: i.counts.refused.Load(),
		Failed:  i.counts.failed.Load(),
		Tokens:  i.counts.tokens.Load(),
	}
}
