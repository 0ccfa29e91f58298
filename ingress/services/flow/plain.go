package flow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/logs"
)

const (
	// maxSends limits how many servers are tried in turn while none of them runs the request.
	maxSends = 3
	// answerGrace is added to the timeout of an attempt: a server that stops at the deadline
	// answers that it did so, and this answer takes time to arrive.
	answerGrace = 150 * time.Millisecond
	// maxBufferedBytes limits how much of a plain answer is buffered before any of it is
	// delivered. A shorter answer is only delivered complete.
	maxBufferedBytes = 1 << 20
	// attemptDivisor determines when an idempotent request without an answer is sent to another
	// server: after one third of the remaining time.
	attemptDivisor = 3
)

// verdict is the decision after an attempt.
type verdict struct {
	// result is the final answer unless the request is retried. It is nil if a backend server's
	// answer was delivered.
	result *codes.Result
	// retry is set if the request is to be sent to another server.
	retry bool
}

// servePlain tries servers in turn until one of them answers or no further attempt is allowed.
func (x *exchange) servePlain(ctx context.Context, w http.ResponseWriter) *codes.Result {
	x.countRequest()
	for {
		if quarantined := x.refuseQuarantined(); quarantined != nil {
			return quarantined
		}
		if refused := x.refuseSend(); refused != nil {
			return refused
		}
		server, found := x.pick(ctx)
		if !found && ctx.Err() != nil {
			return x.describeEnd(ctx).WithOutcome(codes.OutcomeNotRun)
		}
		if !found {
			return x.refuseNoServer()
		}
		v := x.tryPlain(ctx, w, server)
		if !v.retry {
			return v.result
		}
		if x.remaining() <= 0 {
			return v.result
		}
	}
}

// tryPlain sends the request to one server and delivers its answer once it is complete or exceeds
// the buffer.
func (x *exchange) tryPlain(ctx context.Context, w http.ResponseWriter, server site.Server) verdict {
	x.tried = append(x.tried, server.ID)
	x.sends++
	sendCtx, cancel := context.WithTimeout(ctx, x.attemptTimeout()+answerGrace)
	defer cancel()
	x.recordSend(&server)
	began := time.Now()
	reply, err := x.server.options.Sender.Send(sendCtx, x.newAttempt(server, nil))
	var buffered []byte
	isWhole := false
	if err == nil {
		defer func() { _ = reply.Body.Close() }()
		buffered, isWhole, err = x.buffer(reply)
	}
	if err == nil && isWhole {
		err = x.confirmEnd(sendCtx, &server, reply, 0)
	}
	took := time.Since(began)
	if err != nil {
		return x.handleError(ctx, server, err, took)
	}
	if v, unusable := x.checkHead(server, reply, took); unusable {
		return v
	}
	x.runs++
	x.server.options.Screen.RecordServed(x.identity.Request, server.Version)
	served := reply.Status < http.StatusInternalServerError
	x.end(server, outcomeOf(served), took, reply.Load)
	if !served && x.route.Kind == site.KindIdempotent && x.mayRunAgain("server-error") {
		return verdict{retry: true}
	}
	x.deliver(sendCtx, w, &server, reply, buffered, isWhole)
	return verdict{}
}

// buffer reads an answer until its end, and then returns true, or until no more of it may be buffered.
func (x *exchange) buffer(reply *reach.Reply) (buffered []byte, isWhole bool, err error) {
	buffered, err = x.Memory.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes), reply.Length)
	if errors.Is(err, memory.ErrExhausted) {
		x.log.Warn("answer-not-buffered", zap.Int("buffered", len(buffered)), zap.Int64("length", reply.Length))
		return buffered, false, nil
	}
	return buffered, len(buffered) < maxBufferedBytes, err
}

func outcomeOf(served bool) place.Result {
	if served {
		return place.ResultServed
	}
	return place.ResultFailed
}

// attemptTimeout returns how long the next attempt may take. If another attempt may follow, it is
// part of the remaining time, but not less than the latency target of the route.
func (x *exchange) attemptTimeout() time.Duration {
	remaining := x.remaining()
	if x.route.Kind == site.KindIdempotent && x.runs+1 < x.route.MaxAttempts {
		return max(remaining/attemptDivisor, min(remaining, x.route.LatencyTarget))
	}
	return remaining
}

func (x *exchange) newAttempt(server site.Server, handles []string) reach.Request {
	return reach.Request{
		Method: x.Method,
		Target: x.Target,
		Host:   x.Host,
		Header: x.Header,
		Body:   x.Body,
		Server: server,
		UpstreamHeaders: site.UpstreamHeaders{
			AttemptID: x.AttemptID,
			Remaining: x.remaining(),
			ServerID:  server.ID,
			Team:      x.Decision.Team,
			Handles:   handles,
			HasStages: len(x.route.Stages) > 0,
		},
	}
}

// handleError records an attempt without a complete answer and decides how to proceed.
func (x *exchange) handleError(ctx context.Context, server site.Server, err error, took time.Duration) verdict {
	if errors.Is(err, reach.ErrClosed) {
		x.sends--
		x.end(server, place.ResultCanceled, took, nil)
		return verdict{retry: true, result: x.refuseNoServer()}
	}
	notSent := errors.Is(err, reach.ErrNotSent)
	x.log.Warn("attempt-broken", zap.String("digest", string(x.identity.Request)), zap.Strings("parts", x.describeParts()), zap.String("server", server.ID), zap.Stringer("address", server.Address),
		zap.Bool("not-sent", notSent), zap.Duration("took", took), logs.Err(err))
	if errors.Is(ctx.Err(), context.Canceled) {
		x.end(server, place.ResultCanceled, took, nil)
		if !notSent {
			x.runs++
		}
		return verdict{result: x.describeEnd(ctx)}
	}
	if notSent {
		x.end(server, place.ResultUnreachable, took, nil)
		if x.sends < maxSends {
			return verdict{retry: true, result: x.refuseNoServer()}
		}
		return verdict{result: x.refuseNoServer()}
	}
	x.end(server, place.ResultBroken, took, nil)
	x.recordCrash(server, took)
	x.runs++
	if x.route.Kind == site.KindIdempotent && x.mayRunAgain("broken") {
		return verdict{retry: true, result: codes.NewResult(codes.DeadlineExceeded, "no whole answer in time")}
	}
	if x.remaining() <= 0 {
		return verdict{result: codes.NewResult(codes.DeadlineExceeded, "no whole answer in time")}
	}
	return verdict{result: codes.NewResult(codes.BackendLost, "the connection to "+server.ID+" broke")}
}

// recordCrash records an attempt that broke now, took after it was sent.
func (x *exchange) recordCrash(server site.Server, took time.Duration) {
	x.server.options.Screen.RecordCrash(x.identity, server, time.Now().Add(-took), x.isAnswered)
}

// mayRunAgain reports whether a request that may already have run may be sent to another server.
// If so, it takes a retry from the budget.
func (x *exchange) mayRunAgain(reason string) bool {
	return x.runs < x.route.MaxAttempts && x.remaining() > 0 && x.mayRetry(reason)
}

// checkHead checks the status and headers of an answer. If the answer must not be delivered, it
// returns true and the decision how to proceed.
func (x *exchange) checkHead(server site.Server, reply *reach.Reply, took time.Duration) (verdict, bool) {
	if reply.NotRun {
		return x.handleRefusal(server, reply, took), true
	}
	// An answer to another attempt, or a successful one that is unsigned or has a content encoding,
	// is not the answer to this request. The server may have run the request nevertheless.
	foreign := reply.AttemptID != x.AttemptID
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if !foreign && (!success || reply.Signed && !reply.Encoded) && !impliesNotRun(reply.Status) {
		return verdict{}, false
	}
	x.log.Warn("answer-unusable", zap.String("server", server.ID), zap.Int("status", reply.Status),
		zap.Bool("foreign", foreign), zap.Bool("signed", reply.Signed), zap.Bool("encoded", reply.Encoded))
	x.end(server, place.ResultFailed, took, reply.Load)
	x.runs++
	if x.route.Kind == site.KindIdempotent && x.mayRunAgain("unusable") {
		return verdict{retry: true, result: codes.NewResult(codes.BackendFailed, "the answers were not to this request")}, true
	}
	return verdict{result: codes.NewResult(codes.BackendLost, "the answer of "+server.ID+" is not to this request")}, true
}

// impliesNotRun reports whether callers take a status to mean that the request did not run. Unless
// the server itself states that it did not run the request, such a status must not be delivered,
// because the caller would retry the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handleRefusal records an answer that states that the server did not run the request, and decides
// how to proceed.
func (x *exchange) handleRefusal(server site.Server, reply *reach.Reply, took time.Duration) verdict {
	x.log.Info("attempt-refused", zap.String("server", server.ID), zap.Int("status", reply.Status), zap.Stringer("load", reply.Load))
	x.end(server, place.ResultRefused, took, reply.Load)
	refused := codes.NewResult(codes.Overloaded, "the servers of "+x.service+" are full").WithRetryAfter(max(x.overloadRetryAfter(), spreadReturn(x.pauseWait())))
	if reply.Status == http.StatusConflict {
		// A result of the stages is no longer available, so no other engine could fetch it either.
		return verdict{result: codes.NewResult(codes.Overloaded, "a result of the stages has gone").WithRetryAfter(shortRetryAfter)}
	}
	if x.sends < maxSends && x.mayRetry("refused") {
		return verdict{retry: true, result: refused}
	}
	return verdict{result: refused}
}

// overloadRetryAfter returns the Retry-After for a service whose servers are full: about the
// latency target, after which it likely accepts requests again.
func (x *exchange) overloadRetryAfter() time.Duration {
	return max(x.route.LatencyTarget, shortRetryAfter)
}

// deliver writes the buffered answer. Unless that is the whole answer, deliver then copies the rest of
// the body as it arrives.
func (x *exchange) deliver(ctx context.Context, w http.ResponseWriter, server *site.Server, reply *reach.Reply, buffered []byte, isWhole bool) {
	x.passed.framing = reply.Framing
	copyHeader(w.Header(), reply.Header)
	to := newCallerWriter(w)
	x.beginAnswer()
	if isWhole {
		w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
		w.WriteHeader(reply.Status)
		if _, err := to.Write(buffered); err != nil {
			x.log.Info("answer-not-read", logs.Err(err))
		}
		return
	}
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	w.WriteHeader(reply.Status)
	_, err := io.Copy(to, io.MultiReader(bytes.NewReader(buffered), reply.Body))
	if err == nil {
		err = x.confirmEnd(ctx, server, reply, endWait)
	}
	if err != nil {
		x.log.Warn("answer-broken", logs.Err(err))
		panic(http.ErrAbortHandler) // an incomplete answer must not look complete
	}
}

func splitList(line string) []string {
	names := strings.Split(line, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
