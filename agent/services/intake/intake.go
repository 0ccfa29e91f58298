// Package intake serves the streams that entries open to the agent: calls, fetches of configuration
// and requests for the state of claimed attempts. A call passes, in this order, the checks, the
// claim guard, the gate and the backend server.
package intake

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"verbenaroad.example/agent/services/claims"
	"verbenaroad.example/agent/services/gate"
	"verbenaroad.example/agent/services/target"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/follow"
)

const (
	// revisionTimeout limits how long a call that was routed under a newer configuration waits for
	// that configuration.
	revisionTimeout = 2 * time.Second
	// firstFrameTimeout limits how long a stream may be open without its first frame.
	firstFrameTimeout = 10 * time.Second
	// notReadyRetryAfter is the Retry-After of a call that is refused because its configuration has
	// not arrived yet.
	notReadyRetryAfter = 100 * time.Millisecond
)

// Admission decides which calls run while the process is stopping.
type Admission interface {
	// AdmitWork reports whether a call may run. A call that may run delays the stop until EndWork
	// is called with its id.
	AdmitWork(id string) bool
	EndWork(id string)
}

// Backend sends calls to the backend server. *target.Server implements it.
type Backend interface {
	Send(ctx context.Context, call target.Call, sink target.Sink) target.CallResult
}

// Options are the settings of an Intake.
type Options struct {
	// Incarnation identifies this start of the process.
	Incarnation string
	Follower    *follow.Follower
	Claims      *claims.Manager
	Gate        *gate.Gate
	Backend     Backend
	Admission   Admission
	Tracer      *spans.Tracer
	Log         *zap.Logger
	// MaxAnswerBytes limits the size of one answer.
	MaxAnswerBytes int
}

// Intake serves the streams of all sessions.
type Intake struct {
	options Options
	counts  counters
}

// NewIntake returns an intake with these settings.
func NewIntake(options Options) *Intake {
	return &Intake{options: options}
}

// ServeSession accepts and serves the streams of a session until the session ends.
func (i *Intake) ServeSession(ctx context.Context, session *link.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go i.runStream(ctx, session, stream)
	}
}

// runStream serves one stream, which carries one call after another. The call in flight is
// canceled when the stream ends or the entry closes it.
func (i *Intake) runStream(ctx context.Context, session *link.Session, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	reader := wire.NewReader(stream)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		_ = stream.SetReadDeadline(time.Time{})
		switch body := frame.GetBody().(type) {
		case *wire.Frame_Call:
			// The loop keeps reading so that it notices a close of the stream while the call runs.
			go i.runCall(ctx, session, &callStream{stream: stream, call: body.Call})
		case *wire.Frame_Fetch:
			answer := i.options.Follower.AnswerFetch(body.Fetch)
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Chunks{Chunks: answer}})
		case *wire.Frame_Ask:
			report := i.options.Claims.AnswerAsk(body.Ask)
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Told{Told: report}})
		}
	}
}

func (i *Intake) runCall(ctx context.Context, session *link.Session, c *callStream) {
	i.counts.calls.Add(1)
	notBefore := session.NotBefore(c.call.GetEcho(), time.Duration(c.call.GetEchoHoldNanos()))
	i.options.Follower.OnPeerCall(session.Peer().GetName(), c.call, notBefore)
	ctx, span := i.options.Tracer.Start(i.options.Tracer.Extract(ctx, c.call.GetTraceparent()), "agent.call",
		attribute.String("request-id", c.call.GetRequestId()),
		attribute.String("stage", c.call.GetStage()),
		attribute.Int("attempt", int(c.call.GetAttempt())),
	)
	defer span.End()
	// The remaining time was measured when the entry wrote the call. Since then it has decreased by
	// the one-way delay of the session.
	remaining := time.Duration(c.call.GetRemainingNanos()) - session.Delay()
	deadline := time.Now().Add(remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	end := i.process(ctx, c, deadline)
	span.SetAttributes(attribute.Int("code", int(end.GetCode())))
	i.writeEnd(c, end)
}

// process passes the call through all steps and returns its end record.
func (i *Intake) process(ctx context.Context, c *callStream, deadline time.Time) *wire.End {
	call := c.call
	if refusal := i.check(ctx, call); refusal != nil {
		i.options.Claims.DropAttempt(call.GetClaimAttempt())
		return newEnd(refusal)
	}
	id := workID(call)
	if !i.options.Admission.AdmitWork(id) {
		i.options.Claims.DropAttempt(call.GetClaimAttempt())
		return newEnd(codes.NewResult(codes.Draining, "the instance is stopping"))
	}
	defer i.options.Admission.EndWork(id)
	if !call.GetIdempotent() {
		if refusal := i.options.Claims.AdmitAttempt(call); refusal != nil {
			return newEnd(refusal)
		}
	}
	ticket, refusal := i.options.Gate.Acquire(ctx, call.GetStage(), newItem(id, call, deadline))
	if refusal != nil {
		i.options.Claims.DropAttempt(call.GetClaimAttempt())
		return newEnd(deadlineCause(ctx, refusal))
	}
	return i.runGranted(ctx, c, ticket, deadline)
}

// check returns the refusal of a call that must not run here, or nil. It is called before the call
// is queued.
func (i *Intake) check(ctx context.Context, call *wire.Call) *codes.Result {
	if call.GetIncarnation() != i.options.Incarnation {
		return codes.NewResult(codes.OtherIncarnation, "the agent restarted")
	}
	if time.Duration(call.GetRemainingNanos()) <= 0 {
		return codes.NewResult(codes.DeadlineUnmeetable, "the deadline passed on the way")
	}
	return i.checkRevision(ctx, call)
}

// checkRevision refuses a call that was not routed under the configuration in force in this agent.
// An entry that has missed a change, and therefore sends a lower revision, could otherwise send
// work to an agent that a new rule excludes.
func (i *Intake) checkRevision(ctx context.Context, call *wire.Call) *codes.Result {
	waitCtx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	if err := i.options.Follower.WaitRevision(waitCtx, call.GetRevision()); err != nil {
		return codes.NewResult(codes.NotReady, "the call's configuration is not here yet").WithRetryAfter(notReadyRetryAfter)
	}
	snapshot, refusal := i.options.Follower.GetUsable(ctx)
	if refusal != nil {
		return refusal
	}
	if call.GetRevision() < snapshot.Revision {
		return codes.NewResult(codes.NewerRevision, "decided under an older configuration")
	}
	return nil
}

// runGranted sends a call that has a slot to the backend server, and frees the slot.
func (i *Intake) runGranted(ctx context.Context, c *callStream, ticket *gate.Ticket, deadline time.Time) *wire.End {
	call := c.call
	if !call.GetIdempotent() {
		if refusal := i.options.Claims.StartAttempt(call.GetClaimAttempt(), deadline); refusal != nil {
			i.options.Gate.Release(ticket, 0)
			return newEnd(refusal)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	i.options.Gate.SetCancel(ticket, cancel)
	started := time.Now()
	sink := c.newSink(!call.GetIdempotent())
	ctx, span := i.options.Tracer.Start(ctx, "backend.call", attribute.String("path", call.GetPath()))
	result := i.options.Backend.Send(i.runContext(ctx, call), i.newCall(ctx, call), sink)
	span.SetAttributes(attribute.Int("status", result.Status))
	span.End()
	took := time.Since(started)
	if result.RetryAfter > 0 {
		i.options.Log.Warn("backend-paused", zap.Int("status", result.Status), zap.Duration("retry-after", result.RetryAfter))
		i.options.Gate.Pause(result.RetryAfter)
	}
	i.options.Gate.Release(ticket, call.GetCost())
	if !call.GetIdempotent() {
		i.finishAttempt(ctx, call, result, sink)
	}
	end := newEnd(preemptionCause(ctx, result.Failure))
	end.Status = uint32(result.Status) //nolint:gosec // an HTTP status
	end.ContentType = result.ContentType
	end.Bytes = sink.sent
	end.Tokens = result.Tokens
	end.QueueNanos = int64(ticket.Queued)
	end.ServiceNanos = int64(took)
	return end
}

// runContext returns the context of a run. A non-idempotent run continues when its caller
// disconnects or its deadline passes: its order may already be placed, and a retry with the same
// key receives its answer.
func (i *Intake) runContext(ctx context.Context, call *wire.Call) context.Context {
	if call.GetIdempotent() {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (i *Intake) newCall(ctx context.Context, call *wire.Call) target.Call {
	header := http.Header{}
	for _, h := range call.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set("X-Request-Id", call.GetRequestId())
	header.Set("X-Attempt", attemptName(call))
	if parent := i.options.Tracer.Inject(ctx); parent != "" {
		header.Set("traceparent", parent)
	}
	return target.Call{
		Method:     call.GetMethod(),
		Path:       call.GetPath(),
		Header:     header,
		Body:       call.GetBody(),
		Idempotent: call.GetIdempotent(),
		Stream:     call.GetStream(),
		MaxBytes:   i.options.MaxAnswerBytes,
	}
}

// writeEnd completes the end record with the load and the revision of this agent, which every end
// record carries, and writes it.
func (i *Intake) writeEnd(c *callStream, end *wire.End) {
	call := c.call
	end.RequestId = call.GetRequestId()
	end.Stage = call.GetStage()
	end.Attempt = call.GetAttempt()
	end.Incarnation = i.options.Incarnation
	end.Load = i.GetLoad()
	end.Revision, _ = i.options.Follower.GetRevision(time.Now())
	i.counts.count(end)
	i.options.Log.Debug("call-ended",
		zap.String("request-id", call.GetRequestId()),
		zap.String("stage", call.GetStage()),
		zap.Uint32("attempt", call.GetAttempt()),
		zap.Uint32("code", end.GetCode()),
		zap.String("outcome", end.GetOutcome()),
		zap.Duration("queued", time.Duration(end.GetQueueNanos())),
		zap.Duration("ran", time.Duration(end.GetServiceNanos())),
	)
	_ = wire.WriteFrame(c.stream, &wire.Frame{Body: &wire.Frame_End{End: end}})
}

// GetLoad returns the load that answers and heartbeats report.
func (i *Intake) GetLoad() *wire.Load {
	load := i.options.Gate.GetLoad()
	return &wire.Load{
		Running:      uint32(load.Running), //nolint:gosec // bounded by the queue's settings
		Queued:       uint32(load.Queued),  //nolint:gosec // bounded by the queue's settings
		Slots:        uint32(load.Slots),   //nolint:gosec // bounded by the queue's settings
		WaitNanos:    int64(load.Wait),
		ServiceNanos: int64(load.Service),
	}
}

// Incarnation returns the incarnation of the agent: the id of this start of the process.
func (i *Intake) Incarnation() string { return i.options.Incarnation }
