package flow

import (
	"bytes"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

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
	// eventEnd ends an event.
	eventEnd = "\n\n"
)

// forward relays the answer to the caller. Events are only written complete.
func (r *relay) forward(server site.Server, reply *reach.Reply) error {
	buffer := make([]byte, relayBufferBytes)
	pending := []byte{}
	started := false
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 && !started {
			started = true
			r.observeFirstEvent(server, reply)
		}
		pending = append(pending, buffer[:n]...)
		complete := completeLength(pending)
		if complete > 0 {
			r.sendHead(&server, reply)
			if failed := r.write(pending[:complete]); failed != nil {
				return failed
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			r.sendHead(&server, reply)
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF // the stream ended in the middle of an event
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.New("event exceeds the length limit of 1 MiB")
		}
	}
}

// sendHead writes the status and headers of the answer, unless that has been done.
//
// Guards against an engine that begins its answer before its first event, which may be seconds later: until then the
// request may still be sent to another engine, or end with an error, which is a whole answer.
func (r *relay) sendHead(server *site.Server, reply *reach.Reply) {
	if r.headSent {
		return
	}
	r.headSent = true
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
		zap.String("after-event", r.lastID), zap.Duration("took", took))
	r.server.options.Meter.CountFirstEvent(r.route.Name, took)
}

// write writes complete events to the caller.
func (r *relay) write(events []byte) error {
	r.countEvents(bytes.Count(events, []byte(eventEnd)))
	if id, found := lastEventID(events); found {
		r.lastID = id
	}
	if _, err := r.writer.Write(events); err != nil {
		return &callerError{cause: err}
	}
	if err := r.writer.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// answeredAfter is how long after its first event an attempt must bring a further one to count as answered. A
// server that crashes on a request may bring an event before.
const answeredAfter = 250 * time.Millisecond

// countEvents counts whole events of the current attempt.
func (r *relay) countEvents(n int) {
	if r.events == 0 {
		r.firstEventAt = time.Now()
	}
	r.events += n
	if !r.isAnswered && time.Since(r.firstEventAt) >= answeredAfter {
		r.isAnswered = true
		r.server.options.Screen.RecordAnswered(r.identity, *r.software)
	}
}

// completeLength returns the total length of the complete events at the start of data.
func completeLength(data []byte) int {
	n := bytes.LastIndex(data, []byte(eventEnd))
	if n < 0 {
		return 0
	}
	return n + len(eventEnd)
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if id, found := bytes.CutPrefix(lines[i], []byte("id:")); found {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}
