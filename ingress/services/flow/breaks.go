package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/logs"
)

// handleFailure handles an engine's answer with a status of 300 or above, which is not a stream of
// events. A resumable stream is first tried at another engine. Otherwise the engine's answer is
// delivered unchanged, unless the answer to the caller has already begun; the stream then fails.
func (r *relay) handleFailure(ctx context.Context, server site.Server, reply *reach.Reply, took time.Duration) verdict {
	buffered, isWhole, err := r.buffer(reply)
	if err != nil {
		return r.handleBreak(ctx, server, err, took)
	}
	r.log.Warn("stream-refused", zap.String("server", server.ID), zap.Int("status", reply.Status), zap.Duration("took", took))
	r.runs++
	r.server.options.Screen.RecordServed(r.identity.Request, server.Version)
	r.end(server, outcomeOf(reply.Status < http.StatusInternalServerError), took, reply.Load)
	if r.route.Resumable && r.mayRunAgain("server-error") {
		return verdict{retry: true, result: codes.NewResult(codes.BackendFailed, server.ID+" failed")}
	}
	if r.headSent {
		return verdict{result: codes.NewResult(codes.BackendFailed, server.ID+" failed")}
	}
	r.deliver(ctx, r.writer, &server, reply, buffered, isWhole)
	return verdict{}
}

// handleBreak records a stream that broke off or never began, and decides how to proceed. Only a
// resumable stream may continue at another server, after the last event that was received.
func (r *relay) handleBreak(ctx context.Context, server site.Server, err error, took time.Duration) verdict {
	var caller *callerError
	if errors.As(err, &caller) {
		r.end(server, place.ResultCanceled, took, nil)
		return verdict{result: codes.NewResult(codes.Canceled, "the caller left")}
	}
	callerLeft := errors.Is(ctx.Err(), context.Canceled)
	if callerLeft || errors.Is(err, reach.ErrNotSent) || ctx.Err() == nil && !r.route.Resumable {
		return r.handleError(ctx, server, err, took)
	}
	r.log.Warn("stream-broken", zap.String("digest", string(r.identity.Request)), zap.Strings("parts", r.describeParts()), zap.String("server", server.ID),
		zap.Int("events", r.events.Count()), zap.String("first-event", r.events.FirstID()), zap.String("last-event", r.lastID),
		zap.String("framing", string(r.passed.framing)), zap.Duration("took", took), logs.Err(err))
	r.end(server, place.ResultBroken, took, nil)
	r.recordCrash(server, took)
	r.runs++
	if ctx.Err() != nil || r.remaining() <= 0 {
		return verdict{result: codes.NewResult(codes.DeadlineExceeded, "the stream did not end in time")}
	}
	if r.route.Resumable && r.events.CanGoOn() && r.mayRunAgain("resume") {
		return verdict{retry: true, result: codes.NewResult(codes.AnswerIncomplete, "the stream broke off")}
	}
	return verdict{result: codes.NewResult(codes.AnswerIncomplete, "the stream broke off")}
}
