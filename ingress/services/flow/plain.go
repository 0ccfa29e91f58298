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

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/logs"
)

const (
	// maxSends bounds the servers that are asked in turn while each says that it did not run the request.
	maxSends = 3
	// answerGrace is how much longer than the request's time an answer is waited for: the
	// server's own word that time is up needs the way back.
	answerGrace = 150 * time.Millisecond
	// maxHeldBytes is how much of a plain answer is held back until it is whole.
	maxHeldBytes = 1 << 20
	// silencePart is the part of the remaining time after which an idempotent request
	// that got no answer is sent to another server.
	silencePart = 3
)

// verdict is what is done after one attempt.
type verdict struct {
	// result is the final answer unless the request goes on; nil: a backend server's answer was delivered.
	result *codes.Result
	// again sends to another server.
	again bool
}

// servePlain asks one server after the other until one answers.
func (x *exchange) servePlain(ctx context.Context, w http.ResponseWriter) *codes.Result {
	x.countRequest()
	for {
		if quarantined := x.refuseQuarantined(); quarantined != nil {
			return quarantined
		}
		server, found := x.pick()
		if !found {
			return x.refuseNoServer()
		}
		v := x.tryPlain(ctx, w, server)
		if !v.again {
			return v.result
		}
		if x.left() <= 0 {
			return v.result
		}
	}
}

func (x *exchange) refuseNoServer() *codes.Result {
	if x.sends > 0 {
		return codes.NewResult(codes.Overloaded, "every server that may take it refused").WithRetryAfter(briefPause)
	}
	return codes.NewResult(codes.NoBackend, x.describeNoServer()).WithRetryAfter(noServerPause)
}

// tryPlain sends the request to one server and delivers its answer once it is whole.
func (x *exchange) tryPlain(ctx context.Context, w http.ResponseWriter, server site.Server) verdict {
	x.tried = append(x.tried, server.ID)
	x.sends++
	sendCtx, cancel := context.WithTimeout(ctx, x.attemptTime()+answerGrace)
	defer cancel()
	began := time.Now()
	reply, err := x.server.options.Sender.Send(sendCtx, x.newSend(server, nil))
	var held []byte
	if err == nil {
		defer func() { _ = reply.Body.Close() }()
		held, err = io.ReadAll(io.LimitReader(reply.Body, maxHeldBytes))
	}
	took := time.Since(began)
	if err != nil {
		return x.judgeError(ctx, server, err, took)
	}
	if v, unusable := x.judgeHead(server, reply, took); unusable {
		return v
	}
	x.runs++
	x.server.options.Screen.NoteServed(x.digest)
	served := reply.Status < http.StatusInternalServerError
	x.end(server, outcomeOf(served), took, reply.Load)
	if !served && x.route.Kind == site.KindIdempotent && x.mayRunAgain("server-error") {
		return verdict{again: true}
	}
	x.deliver(w, reply, held)
	return verdict{}
}

func outcomeOf(served bool) place.Result {
	if served {
		return place.ResultServed
	}
	return place.ResultFailed
}

// attemptTime is how long this attempt may take.
func (x *exchange) attemptTime() time.Duration {
	left := x.left()
	if x.route.Kind == site.KindIdempotent && x.runs+1 < x.route.MaxAttempts {
		return max(left/silencePart, min(left, x.route.LatencyTarget))
	}
	return left
}

func (x *exchange) newSend(server site.Server, handles []string) reach.Request {
	return reach.Request{
		Method: x.Method,
		Target: x.Target,
		Host:   x.Host,
		Header: x.Header,
		Body:   x.Body,
		Server: server,
		Forward: site.UpstreamHeaders{
			AttemptID: x.AttemptID,
			Remaining: x.left(),
			ServerID:  server.ID,
			Team:      x.Grant.Team,
			Handles:   handles,
			HasStages: len(x.route.Stages) > 0,
		},
	}
}

// judgeError decides after an attempt that brought no whole answer.
func (x *exchange) judgeError(ctx context.Context, server site.Server, err error, took time.Duration) verdict {
	notSent := errors.Is(err, reach.ErrNotSent)
	x.log.Warn("attempt-broken", zap.String("digest", string(x.digest)), zap.String("server", server.ID), zap.Stringer("address", server.Address),
		zap.Bool("not-sent", notSent), zap.Duration("took", took), logs.Err(err))
	if errors.Is(ctx.Err(), context.Canceled) {
		x.end(server, place.ResultCanceled, took, nil)
		return verdict{result: codes.NewResult(codes.Canceled, "the caller left")}
	}
	if notSent {
		x.end(server, place.ResultUnreachable, took, nil)
		if x.sends < maxSends {
			return verdict{again: true, result: x.refuseNoServer()}
		}
		return verdict{result: x.refuseNoServer()}
	}
	x.end(server, place.ResultBroken, took, nil)
	x.noteBroken(server, took)
	x.runs++
	if x.route.Kind == site.KindIdempotent && x.mayRunAgain("broken") {
		return verdict{again: true, result: codes.NewResult(codes.DeadlineExceeded, "no whole answer in time")}
	}
	if x.left() <= 0 {
		return verdict{result: codes.NewResult(codes.DeadlineExceeded, "no whole answer in time")}
	}
	return verdict{result: codes.NewResult(codes.BackendLost, "the connection to "+server.ID+" broke")}
}

// noteBroken notes an attempt that broke off a given time after it was sent.
func (x *exchange) noteBroken(server site.Server, took time.Duration) {
	x.server.options.Screen.NoteBroken(x.digest, server, time.Now().Add(-took))
}

// mayRunAgain tells whether an idempotent request may run at one more server.
func (x *exchange) mayRunAgain(reason string) bool {
	return x.runs < x.route.MaxAttempts && x.left() > 0 && x.mayRepeat(reason)
}

// judgeHead decides on answers that are not to be delivered.
func (x *exchange) judgeHead(server site.Server, reply *reach.Reply, took time.Duration) (verdict, bool) {
	if reply.NotRun {
		return x.judgeRefusal(server, reply, took), true
	}
	// An answer to another attempt, or without the signature, is not this
	// request's: the server sent something else, and may have run the request.
	foreign := reply.AttemptID != x.AttemptID
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if !foreign && (!success || reply.Signed && !reply.Encoded) && !isPromise(reply.Status) {
		return verdict{}, false
	}
	x.log.Warn("answer-unusable", zap.String("server", server.ID), zap.Int("status", reply.Status),
		zap.Bool("foreign", foreign), zap.Bool("signed", reply.Signed), zap.Bool("encoded", reply.Encoded))
	x.end(server, place.ResultFailed, took, reply.Load)
	x.runs++
	if x.route.Kind == site.KindIdempotent && x.mayRunAgain("unusable") {
		return verdict{again: true, result: codes.NewResult(codes.BackendFailed, "the answers were not to this request")}, true
	}
	return verdict{result: codes.NewResult(codes.BackendLost, "the answer of "+server.ID+" is not to this request")}, true
}

// isPromise tells statuses that say "not run": without the server's own word for it
// they must not reach the caller, who would send the request again.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// judgeRefusal decides after a server's word that it did not run the request.
func (x *exchange) judgeRefusal(server site.Server, reply *reach.Reply, took time.Duration) verdict {
	x.log.Info("attempt-refused", zap.String("server", server.ID), zap.Int("status", reply.Status), zap.Stringer("load", reply.Load))
	x.end(server, place.ResultRefused, took, reply.Load)
	refused := codes.NewResult(codes.Overloaded, "the servers of "+x.service+" are full").WithRetryAfter(x.overloadPause())
	if reply.Status == http.StatusConflict {
		// A result has gone; any other engine would miss it as well.
		return verdict{result: codes.NewResult(codes.Overloaded, "a result of the stages has gone").WithRetryAfter(briefPause)}
	}
	if x.sends < maxSends && x.mayRepeat("refused") {
		return verdict{again: true, result: refused}
	}
	return verdict{result: refused}
}

// overloadPause is when a full service likely takes a request: about one latency objective.
func (x *exchange) overloadPause() time.Duration {
	return max(x.route.LatencyTarget, briefPause)
}

// deliver writes a whole answer, or the rest of one that is too long to be held.
func (x *exchange) deliver(w http.ResponseWriter, reply *reach.Reply, held []byte) {
	copyHeader(w.Header(), reply.Header)
	if len(held) < maxHeldBytes {
		w.Header().Set("Content-Length", strconv.Itoa(len(held)))
		w.WriteHeader(reply.Status)
		_, _ = w.Write(held) // a caller that has gone needs no answer
		return
	}
	if reply.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	w.WriteHeader(reply.Status)
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(held), reply.Body)); err != nil {
		x.log.Warn("answer-broken", logs.Err(err))
		panic(http.ErrAbortHandler) // what is incomplete must not look whole
	}
}

func splitList(line string) []string {
	names := strings.Split(line, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
