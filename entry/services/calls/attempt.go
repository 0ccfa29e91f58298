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

// attempt chooses an agent unless the call names one, sends one attempt and returns its answer.
func (r *Runner) attempt(ctx context.Context, s *stageRun) (*Answer, *codes.Result) {
	snapshot, refusal := r.config.GetUsable(ctx)
	if refusal != nil {
		return nil, refusal
	}
	chosen := s.call.Chosen
	if chosen == nil {
		choice, refusal := r.fleet.ChooseAgent(time.Now(), fleet.ChooseOptions{
			Service:  s.call.Service,
			Snapshot: snapshot,
			Caller:   s.call.CallerLabels,
			Stage:    s.call.StageLabels,
			Budget:   s.call.budget(),
			Prefixes: s.call.Prefixes,
			Exclude:  s.excluded,
		})
		if refusal != nil {
			return nil, refusal.WithRetryAfter(retryAfter)
		}
		chosen = &choice
	}
	s.sent++
	if s.sent == 1 {
		r.budget.OnFirstAttempt(snapshot.GetServiceByName(s.call.Service))
	}
	r.counts.sent.Add(1)
	e := &exchange{runner: r, run: s, chosen: chosen, revision: snapshot.Revision}
	got, result := e.do(ctx)
	r.fleet.EndAttempt(time.Now(), s.call.Service, e.callResult(result))
	if result != nil {
		s.excluded = append(s.excluded, chosen.Choice.Name)
		r.awaitRevision(ctx, chosen.Choice.Name, result, e.end)
	}
	return got, result
}

// budget returns the time within which the chosen agent should be able to answer.
func (c *Call) budget() time.Duration {
	if c.Budget > 0 {
		return c.Budget
	}
	return time.Until(c.Deadline)
}

// awaitRevision waits for the configuration revision that the agent used, if the agent refused the
// attempt because that revision is newer, so that the next attempt is sent under it too.
func (r *Runner) awaitRevision(ctx context.Context, agent string, result *codes.Result, end *wire.End) {
	if result.Code != codes.NewerRevision || end == nil {
		return
	}
	r.config.OnPeerRevision(agent, end.GetRevision())
	wait, cancel := context.WithTimeout(ctx, retryAfter)
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
	// bytes counts the answer's bytes received so far; end is set once the end record has arrived.
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
	got, result := e.roundTrip(ctx, stream)
	open := stop()
	if open && e.end != nil {
		e.chosen.Session.PutStream(stream)
	} else {
		_ = stream.Close()
	}
	return got, result
}

func (e *exchange) roundTrip(ctx context.Context, stream *link.Stream) (*Answer, *codes.Result) {
	if err := wire.WriteFrame(stream, e.newCall(ctx)); err != nil {
		return nil, e.streamFailure(ctx, err)
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
			return nil, e.streamFailure(ctx, err)
		}
		if part := frame.GetPart(); part != nil {
			if result := e.onPart(part); result != nil {
				return nil, result
			}
			continue
		}
		if end := frame.GetEnd(); end != nil {
			return e.onEnd(ctx, end)
		}
	}
}

func (e *exchange) onPart(part *wire.Part) *codes.Result {
	e.bytes += uint64(len(part.GetData()))
	if e.run.call.Stream && len(e.run.call.Prefixes) > 0 {
		e.tail.add(part.GetData())
	}
	if e.run.firstPart.IsZero() {
		e.run.firstPart = time.Now()
	}
	for _, action := range e.run.stage.Step(answer.PartReceived{ID: e.id, Bytes: uint64(len(part.GetData()))}) {
		if _, accepted := action.(answer.AcceptPart); !accepted {
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

func (e *exchange) onEnd(ctx context.Context, end *wire.End) (*Answer, *codes.Result) {
	e.end = end
	id := answer.ID{
		Request:     end.GetRequestId(),
		Stage:       end.GetStage(),
		Attempt:     end.GetAttempt(),
		Incarnation: end.GetIncarnation(),
	}
	if codes.Code(end.GetCode()) == codes.OtherIncarnation {
		// The end record names the restarted agent's incarnation but answers this attempt.
		id.Incarnation = e.id.Incarnation
	}
	for _, action := range e.run.stage.Step(answer.EndReceived{ID: id, Result: *resultOf(end), Bytes: end.GetBytes()}) {
		switch a := action.(type) {
		case answer.AcceptAnswer:
			return e.newAnswer(), nil
		case answer.FailAttempt:
			return nil, asDeadlineExceeded(ctx, asBackendLost(&a.Result))
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
		FirstPart:   e.run.firstPart,
	}
}

// streamFailure returns the result of an attempt whose stream failed. The call may have run once it
// was written, no matter which side closed the stream.
func (e *exchange) streamFailure(ctx context.Context, err error) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "the deadline passed").WithRetryAfter(retryAfter)
	}
	if ctx.Err() != nil {
		return codes.NewResult(codes.Canceled, "the caller went away")
	}
	return codes.NewResult(codes.BackendLost, err.Error()).WithRetryAfter(retryAfter)
}

// asDeadlineExceeded replaces an agent's "canceled" by "deadline exceeded" once the deadline has
// passed. At the deadline this entry closes the stream, and the agent's end record may still
// arrive. Its result is "canceled", although the caller did not cancel and is still waiting.
func asDeadlineExceeded(ctx context.Context, result *codes.Result) *codes.Result {
	if result.Code != codes.Canceled || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result
	}
	exceeded := codes.NewResult(codes.DeadlineExceeded, "the deadline passed: "+result.Detail)
	return exceeded.WithOutcome(result.Outcome).WithRetryAfter(retryAfter)
}

// asBackendLost replaces an agent's NoBackend, which concerns that agent's backend server only, by
// BackendLost, so that the call is sent to another agent. A NoBackend result of the entry itself
// means that no agent is available.
func asBackendLost(result *codes.Result) *codes.Result {
	if result.Code != codes.NoBackend {
		return result
	}
	unavailable := *result
	unavailable.Code = codes.BackendLost
	return &unavailable
}

func resultOf(end *wire.End) *codes.Result {
	return &codes.Result{
		Code:       codes.Code(end.GetCode()),
		Outcome:    codes.Outcome(end.GetOutcome()),
		Detail:     end.GetDetail(),
		RetryAfter: time.Duration(end.GetRetryAfterNanos()),
	}
}

// callResult returns the result of the attempt for the router, and counts it.
func (e *exchange) callResult(result *codes.Result) route.CallResult {
	out := route.CallResult{
		Name:           e.chosen.Choice.Name,
		Code:           codes.OK,
		Prefixes:       e.run.call.Prefixes,
		ExpectedTokens: e.chosen.Choice.ExpectedTokens,
		CachedTokens:   e.tail.cachedTokens(),
	}
	if result != nil {
		out.Code = result.Code
		if codes.Code(e.end.GetCode()) == codes.NoBackend {
			out.Code = codes.NoBackend
		}
		out.NoResponse = e.end == nil && e.bytes == 0 && result.Code == codes.DeadlineExceeded
	}
	if e.end != nil {
		out.Report = fleet.LoadOf(e.end.GetLoad())
	}
	e.runner.counts.record(e.run.call, e.chosen, e.end, e.bytes)
	return out
}
