package caller

import (
	"encoding/json"
	"net/http"

	"verbenaroad.example/share/modules/codes"
)

// eventWriter forwards server-sent events to the caller.
type eventWriter struct {
	exchange *exchange
	// started is set once the status line and headers have been sent.
	started bool
}

// Write forwards p, which may be any part of one or more events, and flushes it. It returns the
// error of the request's context if the context has ended.
func (w *eventWriter) Write(p []byte) (int, error) {
	w.start()
	if err := w.exchange.request.Context().Err(); err != nil {
		return 0, err
	}
	n, err := w.exchange.writer.Write(p)
	if err != nil {
		return n, err
	}
	w.flush()
	return n, nil
}

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	header := w.exchange.writer.Header()
	header.Set("Content-Type", eventStreamType)
	header.Set("Cache-Control", "no-store")
	header.Set("Transfer-Encoding", "chunked")
	w.exchange.writer.WriteHeader(http.StatusOK)
}

func (w *eventWriter) flush() {
	if flusher, ok := w.exchange.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// end writes the end event. The API defines a stream without an end event as incomplete.
func (w *eventWriter) end(result *codes.Result) {
	w.start()
	body, err := json.Marshal(newErrorBody(w.exchange.id, result))
	if err != nil {
		return
	}
	// The blank line terminates an event that was cut off in the middle.
	_, _ = w.exchange.writer.Write([]byte("\n\nevent: end\ndata: " + string(body) + "\n\n"))
	w.flush()
}
