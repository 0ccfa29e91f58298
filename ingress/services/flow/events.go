package flow

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/events"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/models/site"
)

// callerError is an error in writing to the caller.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "write to caller: " + e.cause.Error() }

const (
	relayBufferBytes = 16 << 10
	// maxEventBytes limits the length of an event. The stream fails if an event is longer.
	maxEventBytes = 1 << 20
)

// passedEvents describes the answer that was passed on to its caller. A plain one has no events.
type passedEvents struct {
	count int
	// firstID and lastID are the IDs of the first and the last of them; empty: they had none.
	firstID, lastID string
	// framing is that of the answer that was passed on last.
	framing reach.Framing
}

// runEnd is how the run of a stream at an engine ended: the framing of a whole answer, or why it is not whole.
type runEnd string

const (
	endBroken runEnd = "broken"
	// endCanceled is that of a run that was given up: the caller left, or the process stops.
	endCanceled runEnd = "canceled"
	// endOutOfOrder is that of a run that brought an event which is not after the one before.
	endOutOfOrder runEnd = "out-of-order"
	// endServerGone is that of a run whose answer ended with its connection and with its server.
	endServerGone runEnd = "server-gone"
)

// runEndOf returns how a run ended, in which err occurred unless it was whole.
func runEndOf(reply *reach.Reply, err error) runEnd {
	var order *events.OrderError
	var caller *callerError
	switch {
	case err == nil:
		return runEnd(reply.Framing)
	case errors.As(err, &caller), errors.Is(err, context.Canceled):
		return endCanceled
	case errors.As(err, &order):
		return endOutOfOrder
	case errors.Is(err, errServerGone):
		return endServerGone
	default:
		return endBroken
	}
}

// forward relays the answer to the caller. Events are only written complete.
func (r *relay) forward(ctx context.Context, server site.Server, reply *reach.Reply) error {
	buffer := make([]byte, relayBufferBytes)
	r.passed.framing = reply.Framing
	started := false
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 && !started {
			started = true
			r.observeFirstEvent(server, reply)
		}
		complete, outOfOrder := r.events.Add(buffer[:n])
		if len(complete) > 0 {
			r.sendHead(&server, reply)
			if failed := r.write(complete); failed != nil {
				return failed
			}
		}
		switch {
		case outOfOrder != nil:
			return outOfOrder
		case errors.Is(err, io.EOF) && r.hasNothing(reply):
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && !r.events.IsInside():
			if unconfirmed := r.confirmEnd(ctx, &server, reply, endWait); unconfirmed != nil {
				return unconfirmed
			}
			r.sendHead(&server, reply)
			return r.writeRest()
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF // the stream ended in the middle of an event
		case err != nil:
			return err
		case r.events.Pending() > maxEventBytes:
			return errors.New("event exceeds the length limit of 1 MiB")
		}
	}
}

// hasNothing reports whether an answer that ends with its connection has brought no event, and neither had any run before:
// it has stopped after its head. A stream that goes on may have been complete before.
func (r *relay) hasNothing(reply *reach.Reply) bool {
	return reply.Framing == reach.FramingConnection && !r.headSent && r.lastID == ""
}

// errOtherKind means that a further run of a stream was answered with something else than the first one.
var errOtherKind = errors.New("the answer is not of the kind of the first one")

// answerKind is what the answers of all runs of a stream have in common.
type answerKind struct {
	status    int
	mediaType string
}

func kindOf(reply *reach.Reply) answerKind {
	mediaType, _, _ := strings.Cut(reply.Header.Get("Content-Type"), ";")
	return answerKind{status: reply.Status, mediaType: strings.ToLower(strings.TrimSpace(mediaType))}
}

// sendHead writes the status and headers of the answer, unless that has been done.
//
// Guards against an engine that begins its answer before its first event, which may be seconds later: until then the
// request may still be sent to another engine, or end with an error, which is a whole answer.
func (r *relay) sendHead(server *site.Server, reply *reach.Reply) {
	if r.headSent {
		return
	}
	r.headSent, r.kind = true, kindOf(reply)
	r.beginAnswer()
	r.recordBegun(server)
	copyHeader(r.writer.Header(), reply.Header)
	r.writer.WriteHeader(reply.Status)
}

// observeFirstEvent records that the engine has begun to send events.
func (r *relay) observeFirstEvent(server site.Server, reply *reach.Reply) {
	r.releaseResults() // the engine has fetched the results of the stages
	r.reservation.MarkAnswering(reply.Load)
	took := time.Since(r.Arrived)
	r.log.Info("stream-begun", zap.String("server", server.ID), zap.String("version", server.Version),
		zap.String("after-event", r.lastID), zap.String("framing", string(reply.Framing)), zap.Duration("took", took))
	r.server.options.Meter.CountFirstEvent(r.route.Name, took)
}

// write writes complete events to the caller.
func (r *relay) write(complete []byte) error {
	r.countEvents()
	r.lastID = r.events.LastID()
	if _, err := r.writer.Write(complete); err != nil {
		return &callerError{cause: err}
	}
	if err := r.writer.Flush(); err != nil {
		return &callerError{cause: err}
	}
	r.recordPassed()
	return nil
}

// writeRest writes the line ends behind the last event.
func (r *relay) writeRest() error {
	if rest := r.events.Rest(); len(rest) > 0 {
		return r.write(rest)
	}
	return nil
}

// recordPassed records that the caller was sent what has arrived of the current run.
func (r *relay) recordPassed() {
	r.passed.count = r.passedBefore + r.events.Count()
	r.passed.lastID = r.lastID
	if r.passed.firstID == "" {
		r.passed.firstID = r.events.FirstID()
	}
}

// answeredAfter is how long after its first event an attempt must bring a further one to count as answered. A
// server that crashes on a request may bring an event before.
const answeredAfter = 250 * time.Millisecond

// countEvents observes that the current attempt has brought events.
func (r *relay) countEvents() {
	if r.firstEventAt.IsZero() {
		r.firstEventAt = time.Now()
	}
	if !r.isAnswered && time.Since(r.firstEventAt) >= answeredAfter {
		r.isAnswered = true
		r.server.options.Screen.RecordAnswered(r.identity, *r.software)
	}
}
