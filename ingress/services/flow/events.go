package flow

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/models/site"
)

// callerError says that the caller could not be written to.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

const (
	relayBytes = 16 << 10
	// maxEventBytes bounds one event; a longer one breaks the stream.
	maxEventBytes = 1 << 20
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 20 * time.Second
)

// forward relays whole events as they come.
func (r *relay) forward(server site.Server, reply *reach.Reply) error {
	if !r.headed {
		copyHeader(r.writer.Header(), reply.Header)
		r.writer.WriteHeader(reply.Status)
		r.headed = true
	}
	control := http.NewResponseController(r.writer)
	buffer := make([]byte, relayBytes)
	pending := []byte{}
	begun := false
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 && !begun {
			begun = true
			r.noteFirst(server)
		}
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			if failed := r.write(control, pending[:whole]); failed != nil {
				return failed
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF // it ended in the middle of an event
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.New("an event is too long")
		}
	}
}

func (r *relay) noteFirst(server site.Server) {
	r.releaseResults() // the engine has fetched its inputs
	r.seat.MarkAnswering()
	took := time.Since(r.Arrived)
	r.log.Info("stream-begun", zap.String("server", server.ID), zap.Duration("took", took))
	r.server.options.Meter.CountFirstEvent(r.route.Name, took)
}

func (r *relay) write(control *http.ResponseController, events []byte) error {
	if id, found := lastEventID(events); found {
		r.lastID = id
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not all writers have one
	if _, err := r.writer.Write(events); err != nil {
		return &callerError{cause: err}
	}
	if err := control.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// wholeEvents returns the length of the whole events at the begin of data.
func wholeEvents(data []byte) int {
	n := bytes.LastIndex(data, []byte("\n\n"))
	if n < 0 {
		return 0
	}
	return n + 2
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
