// Package intake takes the streams of a session: calls, fetches of
// configuration and asks about claimed attempts. A call passes, in this order,
// the checks, the claim guard, the gate and the backend server.
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
	// catchUp bounds how long a call decided under a newer configuration waits for it here.
	catchUp = 2 * time.Second
	// firstFrame bounds how long a stream may stay without its first frame.
	firstFrame = 10 * time.Second
	// retryHint is when to come back after a refusal that passes by itself.
	retryHint = 100 * time.Millisecond
)

// Doorman admits work unless the instance is draining, and is told when it ends.
type Doorman interface {
	AdmitWork(id string) bool
	EndWork(id string)
}

// Backend runs calls; *target.Server is one.
type Backend interface {
	Send(ctx context.Context, call target.Call, sink target.Sink) target.Ending
}

// Options are the settings of an Intake.
type Options struct {
	// Incarnation changes with each start of the process.
	Incarnation string
	Follower    *follow.Follower
	Keeper      *claims.Keeper
	Gate        *gate.Gate
	Backend     Backend
	Doorman     Doorman
	Tracer      *spans.Tracer
	Log         *zap.Logger
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int
}

// Intake serves the streams of all sessions.
type Intake struct {
	options Options
	counts  counters
}

// NewIntake returns an intake.
func NewIntake(options Options) *Intake {
	return &Intake{options: options}
}

// ServeSession takes streams until the session ends.
func (i *Intake) ServeSession(ctx context.Context, session *link.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go i.run(ctx, session, stream)
	}
}

// run serves one stream, which carries one call after the other. Its end, or a
// close by the entry, cancels the call that is under way.
func (i *Intake) run(ctx context.Context, session *link.Session, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	_ = stream.SetReadDeadline(time.Now().Add(firstFrame))
	reader := wire.NewReader(stream)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		_ = stream.SetReadDeadline(time.Time{})
		switch body := frame.GetBody().(type) {
		case *wire.Frame_Call:
			// The loop goes on reading, so that a close of the stream is seen while the call runs.
			go i.runCall(ctx, session, &line{stream: stream, call: body.Call})
		case *wire.Frame_Fetch:
			answer := i.options.Follower.AnswerFetch(body.Fetch)
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Chunks{Chunks: answer}})
		case *wire.Frame_Ask:
			told := i.options.Keeper.AnswerAsk(body.Ask)
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Told{Told: told}})
		}
	}
}

func (i *Intake) runCall(ctx context.Context, session *link.Session, l *line) {
	i.counts.calls.Add(1)
	notBefore := session.NotBefore(l.call.GetEcho(), time.Duration(l.call.GetEchoHoldNanos()))
	i.options.Follower.OnPeerCall(session.Peer().GetName(), l.call, notBefore)
	ctx, span := i.options.Tracer.Start(i.options.Tracer.Extract(ctx, l.call.GetTraceparent()), "agent.call",
		attribute.String("request-id", l.call.GetRequestId()),
		attribute.String("stage", l.call.GetStage()),
		attribute.Int("attempt", int(l.call.GetAttempt())),
	)
	defer span.End()
	// The time left was measured when the call was written; the session's delay has passed since.
	left := time.Duration(l.call.GetRemainingNanos()) - session.Delay()
	deadline := time.Now().Add(left)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	end := i.process(ctx, l, deadline)
	span.SetAttributes(attribute.Int("code", int(end.GetCode())))
	i.finish(l, end)
}

// process runs the call through every step and returns its end record.
func (i *Intake) process(ctx context.Context, l *line, deadline time.Time) *wire.End {
	call := l.call
	if refusal := i.check(ctx, call); refusal != nil {
		i.options.Keeper.DropAttempt(call.GetClaimAttempt())
		return newEnd(refusal)
	}
	id := workID(call)
	if !i.options.Doorman.AdmitWork(id) {
		i.options.Keeper.DropAttempt(call.GetClaimAttempt())
		return newEnd(codes.NewResult(codes.Draining, "the instance is stopping"))
	}
	defer i.options.Doorman.EndWork(id)
	if !call.GetIdempotent() {
		if refusal := i.options.Keeper.AdmitAttempt(call); refusal != nil {
			return newEnd(refusal)
		}
	}
	ticket, refusal := i.options.Gate.Enter(ctx, call.GetStage(), newItem(id, call, deadline))
	if refusal != nil {
		i.options.Keeper.DropAttempt(call.GetClaimAttempt())
		return newEnd(lateOr(ctx, refusal))
	}
	return i.runTicket(ctx, l, ticket, deadline)
}

// check refuses what must not run here; nothing was queued yet.
func (i *Intake) check(ctx context.Context, call *wire.Call) *codes.Result {
	if call.GetIncarnation() != i.options.Incarnation {
		return codes.NewResult(codes.OtherIncarnation, "the agent restarted")
	}
	if time.Duration(call.GetRemainingNanos()) <= 0 {
		return codes.NewResult(codes.DeadlineUnmeetable, "the deadline passed on the way")
	}
	return i.checkRevision(ctx, call)
}

// checkRevision lets a call run only under the configuration that is in force
// here. An entry that missed a change would otherwise send work where a new
// rule forbids it; it shows as a lower revision on the call.
func (i *Intake) checkRevision(ctx context.Context, call *wire.Call) *codes.Result {
	wait, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	if err := i.options.Follower.WaitRevision(wait, call.GetRevision()); err != nil {
		return codes.NewResult(codes.NotReady, "the call's configuration is not here yet").WithRetryAfter(retryHint)
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

// runTicket sends the call to the backend server in its slot.
func (i *Intake) runTicket(ctx context.Context, l *line, ticket *gate.Ticket, deadline time.Time) *wire.End {
	call := l.call
	if !call.GetIdempotent() {
		if refusal := i.options.Keeper.StartAttempt(call.GetClaimAttempt(), deadline); refusal != nil {
			i.options.Gate.Leave(ticket, 0)
			return newEnd(refusal)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	i.options.Gate.Bind(ticket, cancel)
	started := time.Now()
	sink := l.newSink(!call.GetIdempotent())
	ctx, span := i.options.Tracer.Start(ctx, "backend.call", attribute.String("path", call.GetPath()))
	ending := i.options.Backend.Send(i.runContext(ctx, call), i.newCall(ctx, call), sink)
	span.SetAttributes(attribute.Int("status", ending.Status))
	span.End()
	took := time.Since(started)
	i.options.Gate.Leave(ticket, call.GetCost())
	if !call.GetIdempotent() {
		i.finishAttempt(ctx, call, ending, sink)
	}
	end := newEnd(preemptedOr(ctx, ending.Result))
	end.Status = uint32(ending.Status) //nolint:gosec // an HTTP status
	end.ContentType = ending.ContentType
	end.Bytes = sink.sent
	end.Tokens = ending.Tokens
	end.QueueNanos = int64(ticket.Queued)
	end.ServiceNanos = int64(took)
	return end
}

// runContext keeps a non-idempotent run going when its caller hangs up: the
// order is placed already, and its answer is what a repeated key will get.
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

// finish writes the end record with the load and revision that ride on every answer.
func (i *Intake) finish(l *line, end *wire.End) {
	call := l.call
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
	_ = wire.WriteFrame(l.stream, &wire.Frame{Body: &wire.Frame_End{End: end}})
}

// GetLoad returns the load report that answers and heartbeats carry.
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

// Incarnation returns the id of this start of the process.
func (i *Intake) Incarnation() string { return i.options.Incarnation }
