package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/logs"
)

// serveStream has the stages' results made and relays the events of an engine.
func (x *exchange) serveStream(ctx context.Context, w http.ResponseWriter) *codes.Result {
	ctx, cancel := context.WithDeadline(ctx, x.ends)
	defer cancel()
	defer x.giveUpSeat()
	// The engine is chosen first, so that results are made where they will be used.
	if !x.takeSeat(ctx) {
		return x.leftOr(ctx, x.refuseNoServer())
	}
	r := &relay{exchange: x, writer: w}
	defer r.releaseResults()
	if result := r.makeResults(ctx); result != nil {
		return x.leftOr(ctx, result)
	}
	x.countRequest()
	return x.leftOr(ctx, r.run(ctx))
}

// takeSeat asks for a place at an engine.
func (x *exchange) takeSeat(ctx context.Context) bool {
	x.giveUpSeat()
	x.seat = x.server.options.Desk.Place(ctx, x.service, x.newQuery())
	if x.seat == nil {
		return false
	}
	x.log.Info("placed", zap.String("server", x.seat.Server().ID), zap.String("by", x.seat.PlacedBy),
		zap.Duration("predicted-wait", x.seat.Wait), zap.String("fetch-from", x.seat.FetchFrom))
	return true
}

// fetchFrom returns the engine from which the chosen one fetches what it lacks of the
// prompt. It may have left since the request was placed; the prompt is read then.
func (x *exchange) fetchFrom() netip.AddrPort {
	if x.seat.FetchFrom == "" {
		return netip.AddrPort{}
	}
	source, found := assign.FindServer(x.server.options.Views.View(), x.service, x.seat.FetchFrom)
	if !found || !x.residency().Allows(x.server.options.Regions[source.Domain]) {
		return netip.AddrPort{}
	}
	return source.Address
}

// giveUpSeat frees the place of a request that did not get to its end there.
func (x *exchange) giveUpSeat() {
	if x.seat != nil {
		x.seat.End(place.ResultCanceled)
	}
}

// isSeatGood tells whether the engine may still take the request: while the results were
// made it may have begun to leave, its failure domain may be evacuated, the route may be
// kept out of its region, or it may have turned cold, so that nobody counted the
// requests that were placed there before.
func (x *exchange) isSeatGood() bool {
	server, found := assign.FindServer(x.server.options.Views.View(), x.service, x.seat.Server().ID)
	if !found || !x.residency().Allows(x.server.options.Regions[server.Domain]) {
		return false
	}
	return !server.IsCold(time.Now()) || x.seat.WasCold
}

// leftOr tells a request whose caller left from one whose time ran out: work that
// is given up looks alike in both.
func (x *exchange) leftOr(ctx context.Context, result *codes.Result) *codes.Result {
	switch {
	case result == nil:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return codes.NewResult(codes.Canceled, "the caller left")
	case result.Code == codes.Canceled:
		return codes.NewResult(codes.DeadlineUnmeetable, "its time ran out before it was sent to an engine")
	default:
		return result
	}
}

// relay forwards the events of one stream, over more than one engine where the route allows it.
type relay struct {
	*exchange
	writer http.ResponseWriter
	// results are what the engine fetches; nil where the route has no stages, and
	// once the engine has fetched them.
	results *pieces.Results
	// keepsResults is set once an engine had not fetched them in fetchTime.
	keepsResults bool
	// headed is set once the head of the answer went to the caller.
	headed bool
	// lastID is the ID of the last event that went to the caller.
	lastID string
}

// makeResults has the stages' results made, unless they are there.
func (r *relay) makeResults(ctx context.Context) *codes.Result {
	if len(r.route.Stages) == 0 || r.results != nil {
		return nil
	}
	results, failed := r.server.options.Maker.ProduceChain(ctx, pieces.Chain{
		AttemptID:     r.AttemptID,
		RequestDigest: string(r.digest),
		ItemKey:       r.ItemKey,
		ItemCounts:    r.ItemCounts,
		Stages:        r.route.Stages,
		Rank:          r.Grant.Rank,
		Target:        r.Arrived.Add(r.route.LatencyTarget),
		Deadline:      r.route.FirstEventDeadline(r.Arrived, r.ends),
		Domain:        r.seat.Server().Domain,
		Residency:     r.residency(),
		Refuse:        r.refuseQuarantined,
		OnLastStage:   func() { r.server.options.Sender.Warm(r.seat.Server().Address) },
		Log:           r.log,
	})
	if failed != nil {
		return failed
	}
	r.results = results
	return nil
}

// fetchTime is how long after it was sent a request's engine has fetched the results.
// Engines fetch them before they read the prompt.
const fetchTime = 200 * time.Millisecond

// releaseSoon gives up the results when the engine has surely fetched them. Held until
// the first event they take their pool's memory for as long as the engine reads the
// prompt, and in a burst of large results that memory binds. Stop ends it.
func (r *relay) releaseSoon() (stop func()) {
	if r.results == nil || r.keepsResults {
		return func() {}
	}
	t := time.AfterFunc(fetchTime, r.results.Release)
	return func() { t.Stop() }
}

// isReleasedEarly tells whether an engine missed a result that was given up before it
// fetched it. The results are made again then, and kept until the first event.
func (r *relay) isReleasedEarly(reply *reach.Reply) bool {
	return reply.NotRun && reply.Status == http.StatusConflict && r.results != nil && r.results.IsReleased() && !r.keepsResults
}

func (r *relay) releaseResults() {
	if r.results != nil {
		r.results.Release()
		r.results = nil
	}
}

// run relays until the stream is complete or cannot go on.
func (r *relay) run(ctx context.Context) *codes.Result {
	r.lastID = r.LastEventID
	for {
		if len(r.tried) > 0 || !r.isSeatGood() {
			if !r.takeSeat(ctx) {
				return r.stop(r.refuseNoServer())
			}
		}
		// A stream that goes on at another engine needs its inputs there as well, and
		// they were released when the first one had fetched them.
		if result := r.makeResults(ctx); result != nil {
			return r.stop(result)
		}
		// While the results were made it may have crashed servers elsewhere.
		if quarantined := r.refuseQuarantined(); quarantined != nil {
			return r.stop(quarantined)
		}
		r.seat.MarkSent()
		v := r.try(ctx, r.seat.Server())
		if !v.again || r.left() <= 0 {
			return r.stop(v.result)
		}
	}
}

// stop ends the answer. One whose head went out cannot be refused any more; the
// connection is cut, so that the caller sees that the stream is incomplete.
func (r *relay) stop(result *codes.Result) *codes.Result {
	if result == nil || !r.headed {
		return result
	}
	r.log.Warn("stream-cut", zap.String("code", result.Code.Name()), zap.String("detail", result.Detail),
		zap.String("last-event", r.lastID), zap.Duration("took", time.Since(r.Arrived)))
	r.server.options.Meter.CountAnswer(r.route.Name, "stream-cut", time.Since(r.Arrived))
	panic(http.ErrAbortHandler)
}

func (r *relay) try(ctx context.Context, server site.Server) verdict {
	r.tried = append(r.tried, server.ID)
	r.sends++
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handles := []string(nil)
	if r.results != nil {
		handles = r.results.Handles
	}
	send := r.newSend(server, handles)
	send.Forward.LastEventID = r.lastID
	send.Forward.FetchFrom = r.fetchFrom()
	stop := r.releaseSoon()
	defer stop()
	began := time.Now()
	reply, err := r.server.options.Sender.Send(ctx, send)
	if err != nil {
		return r.judgeBreak(ctx, server, err, time.Since(began))
	}
	defer func() { _ = reply.Body.Close() }()
	if v, unusable := r.judgeHead(server, reply, time.Since(began)); unusable {
		if r.isReleasedEarly(reply) && r.mayRepeat("results-gone") {
			r.keepsResults = true
			r.releaseResults()
			v.again = true
		}
		return v
	}
	if reply.Status >= http.StatusMultipleChoices {
		return r.takeFailure(ctx, server, reply, time.Since(began))
	}
	r.runs++
	err = r.forward(server, reply)
	took := time.Since(began)
	if err != nil {
		r.runs-- // counted by judgeBreak
		return r.judgeBreak(ctx, server, err, took)
	}
	r.end(server, place.ResultServed, took, reply.Load)
	r.server.options.Screen.NoteServed(r.digest)
	return verdict{}
}

// takeFailure delivers an engine's own failure, which is no stream of events, whole
// as it came. A stream that may be resumed is tried at another engine first, and one
// whose head went to the caller can only go on there or be cut.
func (r *relay) takeFailure(ctx context.Context, server site.Server, reply *reach.Reply, took time.Duration) verdict {
	held, err := io.ReadAll(io.LimitReader(reply.Body, maxHeldBytes))
	if err != nil {
		return r.judgeBreak(ctx, server, err, took)
	}
	r.log.Warn("stream-refused", zap.String("server", server.ID), zap.Int("status", reply.Status), zap.Duration("took", took))
	r.runs++
	r.server.options.Screen.NoteServed(r.digest)
	r.end(server, outcomeOf(reply.Status < http.StatusInternalServerError), took, reply.Load)
	if r.route.Resumable && r.mayRunAgain("server-error") {
		return verdict{again: true, result: codes.NewResult(codes.BackendFailed, server.ID+" failed")}
	}
	if r.headed {
		return verdict{result: codes.NewResult(codes.BackendFailed, server.ID+" failed")}
	}
	r.deliver(r.writer, reply, held)
	return verdict{}
}

// judgeBreak decides after a stream that broke off or never began. Only a
// resumable one may go on, at another server, after the last event that arrived.
func (r *relay) judgeBreak(ctx context.Context, server site.Server, err error, took time.Duration) verdict {
	var caller *callerError
	if errors.As(err, &caller) {
		r.end(server, place.ResultCanceled, took, nil)
		return verdict{result: codes.NewResult(codes.Canceled, "the caller left")}
	}
	left := errors.Is(ctx.Err(), context.Canceled)
	if left || errors.Is(err, reach.ErrNotSent) || ctx.Err() == nil && !r.route.Resumable {
		return r.judgeError(ctx, server, err, took)
	}
	r.log.Warn("stream-broken", zap.String("digest", string(r.digest)), zap.String("server", server.ID), zap.String("last-event", r.lastID),
		zap.Duration("took", took), logs.Err(err))
	r.end(server, place.ResultBroken, took, nil)
	r.noteBroken(server, took)
	r.runs++
	if ctx.Err() != nil || r.left() <= 0 {
		return verdict{result: codes.NewResult(codes.DeadlineExceeded, "the stream did not end in time")}
	}
	if r.route.Resumable && r.mayRunAgain("resume") {
		return verdict{again: true, result: codes.NewResult(codes.AnswerIncomplete, "the stream broke off")}
	}
	return verdict{result: codes.NewResult(codes.AnswerIncomplete, "the stream broke off")}
}
