package flow

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/events"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// serveStream runs the stages of the request and relays the events of an engine.
func (x *exchange) serveStream(ctx context.Context, w http.ResponseWriter) *codes.Result {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer x.cancelReservation()
	if x.LastEventID != "" {
		if result := x.findOrigin(ctx); result != nil {
			return x.resolveCancellation(ctx, result)
		}
	}
	// The engine is chosen first, so that the results are produced in its failure domain.
	if !x.reserveEngine(ctx) {
		return x.resolveCancellation(ctx, x.refuseNoServer())
	}
	r := &relay{exchange: x, writer: newCallerWriter(w)}
	defer r.releaseResults()
	if result := r.produceResults(ctx); result != nil {
		return x.resolveCancellation(ctx, result)
	}
	x.countRequest()
	return x.resolveCancellation(ctx, r.run(ctx))
}

// reserveEngine replaces the reservation by one for a newly chosen engine. It returns false if no
// engine is eligible.
func (x *exchange) reserveEngine(ctx context.Context) bool {
	x.cancelReservation()
	for {
		query := x.newQuery()
		x.reservation, x.limitWait = x.server.options.EnginePlacer.Place(ctx, x.service, query)
		if x.reservation != nil {
			break
		}
		if !x.awaitVersion(ctx, query.Constraints) {
			return false
		}
	}
	x.log.Info("placed", zap.String("team", x.Decision.Team), zap.Int("rank", int(x.Decision.Rank)), zap.String("server", x.reservation.Server().ID), zap.String("version", x.reservation.Server().Version), zap.String("by", x.reservation.PlacedBy),
		zap.Duration("predicted-wait", x.reservation.Wait), zap.String("fetch-from", x.reservation.FetchFrom))
	return true
}

// fetchFrom returns the engine from which the chosen one fetches the prompt parts that it lacks. If
// that engine has left or asked for a pause since the placement, or the request may not be sent there, or
// it runs other software than the chosen one, the address is not valid and the chosen engine prefills the
// prompt itself.
func (x *exchange) fetchFrom(server *site.Server) netip.AddrPort {
	if x.reservation.FetchFrom == "" {
		return netip.AddrPort{}
	}
	source, found := assign.FindServer(x.server.options.Views.View(), x.service, x.reservation.FetchFrom)
	if !found || !x.isAllowed(&source) || x.isPaused(&source) || source.Software() != server.Software() {
		return netip.AddrPort{}
	}
	return source.Address
}

// cancelReservation releases the reservation as canceled. It does nothing if the reservation has
// already ended.
func (x *exchange) cancelReservation() {
	if x.reservation != nil {
		x.reservation.End(place.ResultCanceled)
	}
}

// isReservationUsable reports whether the request may still be sent to the reserved engine. While
// the results were produced, the engine may have begun to leave, its failure domain may have been
// evacuated, or a new configuration may exclude its region. It may have started again under its ID with
// other software. It may also have become cold or have stated a rate limit, in which case the requests
// placed there before were not counted against it, or have asked for a pause.
func (x *exchange) isReservationUsable() bool {
	server, found := assign.FindServer(x.server.options.Views.View(), x.service, x.reservation.Server().ID)
	if !found || !x.isAllowed(&server) || x.isPaused(&server) {
		return false
	}
	_, limited := x.server.options.Limits.Find(&server)
	return (!server.IsCold(time.Now()) || x.reservation.WasCold) && (!limited || x.reservation.WasLimited)
}

// reservedServer returns the reserved engine as it is registered now.
func (x *exchange) reservedServer() site.Server {
	if server, found := assign.FindServer(x.server.options.Views.View(), x.service, x.reservation.Server().ID); found {
		return server
	}
	return x.reservation.Server()
}

// isPaused reports whether a server has asked this ingress for a pause.
func (x *exchange) isPaused(server *site.Server) bool {
	return !x.server.options.Limits.PausedUntil(time.Now(), server).IsZero()
}

// resolveCancellation distinguishes whether the caller disconnected or the deadline passed: an
// abandoned operation returns codes.Canceled in both cases.
func (x *exchange) resolveCancellation(ctx context.Context, result *codes.Result) *codes.Result {
	switch {
	case result == nil:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return x.describeEnd(ctx)
	case result.Code == codes.Canceled:
		return codes.NewResult(codes.DeadlineUnmeetable, "its time ran out before it was sent to an engine")
	default:
		return result
	}
}

// relay forwards the events of one stream. If the route is resumable, the stream may continue at
// another engine.
type relay struct {
	*exchange
	writer *callerWriter
	// results are the stage results that the engine fetches; nil if the route has no stages, and
	// after releaseResults.
	results *stages.Results
	// keepResults is set after an engine failed to fetch the results within fetchTime. They are
	// then kept until the first event.
	keepResults bool
	// headSent is set once the status and headers of the answer were written to the caller, of which kind is a part.
	headSent bool
	kind     answerKind
	// lastID is the ID of the last event that was written to the caller.
	lastID string
	// events reads what the current attempt brings, firstEventAt is when its first event came. passedBefore is the
	// number of events that the attempts before have brought.
	events       *events.Reader
	firstEventAt time.Time
	passedBefore int
}

// preconnect opens a connection in advance to the reserved engine, unless it takes no requests any more.
func (r *relay) preconnect() {
	if r.isReservationUsable() {
		r.server.options.Sender.Preconnect(r.reservation.Server().Address)
	}
}

// run relays events until the stream is complete or cannot continue.
func (r *relay) run(ctx context.Context) *codes.Result {
	r.lastID = r.LastEventID
	for {
		if result := r.prepare(ctx); result != nil {
			return r.endStream(result)
		}
		server := r.reservedServer()
		if !r.isAllowed(&server) {
			continue // its registration has changed since it was reserved
		}
		// The request may have been quarantined while the results were produced, because it
		// crashed servers when sent by other ingresses.
		if quarantined := r.refuseQuarantined(); quarantined != nil {
			return r.endStream(quarantined)
		}
		if refused := r.refuseSend(); refused != nil {
			return r.endStream(refused)
		}
		r.reservation.MarkSent()
		v := r.try(ctx, server)
		if !v.retry || r.remaining() <= 0 {
			return r.endStream(v.result)
		}
	}
}

// prepare reserves an engine for the next attempt and has the results produced that it needs. The request
// was placed before its first attempt; while results are produced, the reserved engine may become
// unusable.
func (r *relay) prepare(ctx context.Context) *codes.Result {
	isPlaced := len(r.tried) == 0
	for {
		if !isPlaced || !r.isReservationUsable() {
			if !r.reserveEngine(ctx) {
				return r.refuseNoServer()
			}
		}
		isPlaced = true
		if len(r.route.Stages) == 0 || r.results != nil {
			return nil
		}
		// A stream that continues at another engine needs the results there as well, and they
		// were released after the first engine had fetched them.
		if result := r.produceResults(ctx); result != nil {
			return result
		}
	}
}

// endStream returns the result with which the request ends. If the answer has begun, it can no
// longer be replaced by an error; endStream then closes the connection, so that the caller sees
// that the stream is incomplete.
func (r *relay) endStream(result *codes.Result) *codes.Result {
	if result == nil || !r.headSent {
		return result
	}
	r.log.Warn("stream-cut", zap.String("code", result.Code.Name()), zap.String("detail", result.Detail),
		zap.String("first-event", r.passed.firstID), zap.String("last-event", r.passed.lastID), zap.Int("events", r.passed.count),
		zap.Duration("took", time.Since(r.Arrived)))
	r.server.options.Meter.CountAnswer(r.route.Name, "stream-cut", time.Since(r.Arrived))
	panic(http.ErrAbortHandler)
}

// try sends the request to one engine and relays its events.
func (r *relay) try(ctx context.Context, server site.Server) verdict {
	r.tried = append(r.tried, server.ID)
	r.sends++
	r.events, r.isAnswered, r.firstEventAt = events.NewReader(r.lastID), false, time.Time{}
	r.passedBefore = r.passed.count
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handles := []string(nil)
	if r.results != nil {
		handles = r.results.Handles
	}
	attempt := r.newAttempt(server, handles)
	attempt.UpstreamHeaders.LastEventID = r.lastID
	attempt.UpstreamHeaders.FetchFrom = r.fetchFrom(&server)
	stopRelease := r.scheduleRelease()
	defer stopRelease()
	r.recordSend(&server)
	began := time.Now()
	reply, err := r.server.options.Sender.Send(ctx, attempt)
	if err != nil {
		return r.handleBreak(ctx, server, err, time.Since(began))
	}
	defer func() { _ = reply.Body.Close() }()
	if v, unusable := r.checkHead(server, reply, time.Since(began)); unusable {
		if r.wasReleasedEarly(reply) && r.mayRetry("results-gone") {
			r.keepResults = true
			r.releaseResults()
			v.retry = true
		}
		return v
	}
	if reply.Status >= http.StatusMultipleChoices {
		return r.handleFailure(ctx, server, reply, time.Since(began))
	}
	if r.headSent && kindOf(reply) != r.kind {
		return r.handleBreak(ctx, server, errOtherKind, time.Since(began))
	}
	r.runs++
	err = r.forward(ctx, server, reply)
	took := time.Since(began)
	r.server.options.Meter.CountStreamRun(r.route.Name, string(runEndOf(reply, err)))
	if err != nil {
		r.runs-- // handleBreak counts it again
		return r.handleBreak(ctx, server, err, took)
	}
	r.end(server, place.ResultServed, took, reply.Load)
	if len(r.tried) == 1 && r.LastEventID == "" {
		r.server.observeAnswer(r.route.Name, took)
	}
	r.recordComplete()
	r.server.options.Screen.RecordServed(r.identity.Request, server.Version)
	r.server.options.Screen.RecordAnswered(r.identity, server.Software())
	return verdict{}
}
