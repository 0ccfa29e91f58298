package calls

import (
	"bytes"
	"context"
	"errors"
	"time"

	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/decide/answer"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// attempt sends one attempt and takes its answer.
func (r *Runner) attempt(ctx context.Context, s *stageRun) (*Answer, *codes.Result) {
	snapshot, refusal := r.config.GetUsable(ctx)
	if refusal != nil {
		return nil, refusal
	}
	chosen := s.call.Chosen
	if chosen == nil {
		picked, refusal := r.fleet.ChooseAgent(time.Now(), fleet.ChooseOptions{
			Service:  s.call.Service,
			Snapshot: snapshot,
			Caller:   s.call.CallerLabels,
			Stage:    s.call.StageLabels,
			Budget:   s.call.budget(),
			Prefixes: s.call.Prefixes,
			Exclude:  s.excluded,
		})
		if refusal != nil {
			return nil, refusal.WithRetryAfter(retryHint)
		}
		chosen = &picked
	}
	s.sent++
	if s.sent == 1 {
		r.budget.DepositFirst(snapshot.GetServiceByName(s.call.Service))
	}
	r.counts.sent.Add(1)
	e := &exchange{runner: r, run: s, chosen: chosen, revision: snapshot.Revision}
	got, result := e.do(ctx)
	r.fleet.EndAttempt(time.Now(), s.call.Service, e.ended(result))
	if result != nil {
		s.excluded = append(s.excluded, chosen.Choice.Name)
		r.catchUp(ctx, chosen.Choice.Name, result, e.end)
	}
	return got, result
}

// budget is the predicted time that a choice should keep within.
func (c *Call) budget() time.Duration {
	if c.Budget > 0 {
		return c.Budget
	}
	return time.Until(c.Deadline)
}

// catchUp waits for the configuration that the agent decided under, so that the next attempt is decided under it too.
func (r *Runner) catchUp(ctx context.Context, agent string, result *codes.Result, end *wire.End) {
	if result.Code != codes.NewerRevision || end == nil {
		return
	}
	r.config.OnPeerRevision(agent, end.GetRevision())
	wait, cancel := context.WithTimeout(ctx, retryHint)
	defer cancel()
	_ = r.config.WaitRevision(wait, end.GetRevision())
}

// exchange is one attempt on one stream.
type exchange struct {
	runner   *Runner
	run      *stageRun
	chosen   *fleet.Attempt
	revision uint64
	id       answer.ID
	body     bytes.Buffer
	tail     tail
	// bytes counts what was received, end is set once the end record came.
	bytes uint64
	end   *wire.End
}

func (e *exchange) do(ctx context.Context) (*Answer, *codes.Result) {
	call := e.run.call
	e.id = answer.ID{
		Request:     call.RequestID,
		Stage:       call.Stage,
		Attempt:     e.run.sent,
		Incarnation: e.chosen.Choice.Incarnation,
	}
	e.run.stage.Step(answer.AttemptOpened{ID: e.id})
	stream, err := e.chosen.Session.TakeStream()
	if err != nil {
		return nil, codes.NewResult(codes.NoBackend, err.Error())
	}
	stop := link.CloseOnDone(ctx, stream)
	got, result := e.converse(ctx, stream)
	untouched := stop()
	if untouched && e.end != nil {
		e.chosen.Session.PutStream(stream)
	} else {
		_ = stream.Close()
	}
	return got, result
}

func (e *exchange) converse(ctx context.Context, stream *link.Stream) (*Answer, *codes.Result) {
	if err := wire.WriteFrame(stream, e.newCall(ctx)); err != nil {
		return nil, e.describe(ctx, err)
	}
	return e.read(ctx, stream.Reader)
}

func (e *exchange) newCall(ctx context.Context) *wire.Frame {
	call := e.run.call
	_, age := e.runner.config.GetRevision(time.Now())
	echo, hold := e.chosen.Session.GetEcho()
	return &wire.Frame{Body: &wire.Frame_Call{Call: &wire.Call{
		RequestId:         call.RequestID,
		Stage:             call.Stage,
		Attempt:           e.run.sent,
		Incarnation:       e.chosen.Choice.Incarnation,
		Revision:          e.revision,
		RemainingNanos:    int64(time.Until(call.Deadline)),
		Team:              call.Team.Name,
		Priority:          string(call.Priority),
		Weight:            call.Team.Weight,
		Cost:              call.Cost,
		Idempotent:        call.Idempotent,
		ClaimKey:          call.ClaimKey,
		ClaimAttempt:      call.ClaimAttempt,
		BodyDigest:        call.BodyDigest,
		Method:            call.Method,
		Path:              call.Path,
		Headers:           call.Headers,
		Body:              call.Body,
		Stream:            call.Stream,
		ConfirmedAgeNanos: int64(age),
		Echo:              echo,
		EchoHoldNanos:     int64(hold),
		Traceparent:       e.runner.tracer.Inject(ctx),
	}}}
}

func (e *exchange) read(ctx context.Context, reader *wire.Reader) (*Answer, *codes.Result) {
	for {
		frame, err := reader.Next()
		if err != nil {
			e.run.stage.Step(answer.StreamClosed{ID: e.id})
			return nil, e.describe(ctx, err)
		}
		if part := frame.GetPart(); part != nil {
			if result := e.takePart(part); result != nil {
				return nil, result
			}
			continue
		}
		if end := frame.GetEnd(); end != nil {
			return e.takeEnd(ctx, end)
		}
	}
}

func (e *exchange) takePart(part *wire.Part) *codes.Result {
	e.bytes += uint64(len(part.GetData()))
	if e.run.call.Stream && len(e.run.call.Prefixes) > 0 {
		e.tail.add(part.GetData())
	}
	if e.run.piece.IsZero() {
		e.run.piece = time.Now()
	}
	for _, action := range e.run.stage.Step(answer.PartReceived{ID: e.id, Bytes: uint64(len(part.GetData()))}) {
		if _, take := action.(answer.AcceptPart); !take {
			continue
		}
		if e.run.call.Sink == nil {
			e.body.Write(part.GetData())
			continue
		}
		if _, err := e.run.call.Sink.Write(part.GetData()); err != nil {
			return codes.NewResult(codes.Canceled, "the caller went away")
		}
	}
	return nil
}

func (e *exchange) takeEnd(ctx context.Context, end *wire.End) (*Answer, *codes.Result) {
	e.end = end
	id := answer.ID{
		Request:     end.GetRequestId(),
		Stage:       end.GetStage(),
		Attempt:     end.GetAttempt(),
		Incarnation: end.GetIncarnation(),
	}
	if codes.Code(end.GetCode()) == codes.OtherIncarnation {
		id.Incarnation = e.id.Incarnation // the refusal comes from the new incarnation
	}
	for _, action := range e.run.stage.Step(answer.EndReceived{ID: id, Result: *resultOf(end), Bytes: end.GetBytes()}) {
		switch a := action.(type) {
		case answer.AcceptAnswer:
			return e.newAnswer(), nil
		case answer.FailAttempt:
			return nil, lateOr(ctx, withoutBackend(&a.Result))
		case answer.Drop:
			e.runner.counts.dropped.Add(1)
		}
	}
	return nil, codes.NewResult(codes.AnswerIncomplete, "the end belongs to another attempt")
}

func (e *exchange) newAnswer() *Answer {
	return &Answer{
		Status:      int(e.end.GetStatus()),
		ContentType: e.end.GetContentType(),
		Body:        e.body.Bytes(),
		End:         e.end,
		Attempts:    int(e.run.sent),
		CrossRegion: e.chosen.Choice.CrossRegion,
		FirstPiece:  e.run.piece,
	}
}

// describe says what a broken stream lets the entry know. A call that was
// written may have run, whoever closed the stream.
func (e *exchange) describe(ctx context.Context, err error) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "the deadline passed").WithRetryAfter(retryHint)
	}
	if ctx.Err() != nil {
		return codes.NewResult(codes.Canceled, "the caller went away")
	}
	return codes.NewResult(codes.BackendLost, err.Error()).WithRetryAfter(retryHint)
}

// lateOr names the passed deadline as the cause of an agent's "canceled": the
// agent saw this entry close the stream, and its end crossed with that. The
// caller still waits, and did not go away.
func lateOr(ctx context.Context, result *codes.Result) *codes.Result {
	if result.Code != codes.Canceled || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result
	}
	late := codes.NewResult(codes.DeadlineExceeded, "the deadline passed: "+result.Detail)
	return late.WithOutcome(result.Outcome).WithRetryAfter(retryHint)
}

// withoutBackend lets a call that found an agent without its backend server go
// to another agent; NoBackend alone means that none is left.
func withoutBackend(result *codes.Result) *codes.Result {
	if result.Code != codes.NoBackend {
		return result
	}
	lost := *result
	lost.Code = codes.BackendLost
	return &lost
}

func resultOf(end *wire.End) *codes.Result {
	return &codes.Result{
		Code:       codes.Code(end.GetCode()),
		Outcome:    codes.Outcome(end.GetOutcome()),
		Detail:     end.GetDetail(),
		RetryAfter: time.Duration(end.GetRetryAfterNanos()),
	}
}

// ended tells the router how the attempt went.
func (e *exchange) ended(result *codes.Result) route.CallResult {
	ended := route.CallResult{
		Name:           e.chosen.Choice.Name,
		Code:           codes.OK,
		Prefixes:       e.run.call.Prefixes,
		ExpectedTokens: e.chosen.Choice.ExpectedTokens,
		CachedTokens:   e.tail.cachedTokens(),
	}
	if result != nil {
		ended.Code = result.Code
		if codes.Code(e.end.GetCode()) == codes.NoBackend {
			ended.Code = codes.NoBackend
		}
		ended.NoResponse = e.end == nil && e.bytes == 0 && result.Code == codes.DeadlineExceeded
	}
	if e.end != nil {
		ended.Report = fleet.LoadOf(e.end.GetLoad())
	}
	e.runner.counts.record(e.run.call, e.chosen, e.end, e.bytes)
	return ended
}
