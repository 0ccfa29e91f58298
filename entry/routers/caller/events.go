package caller

import (
	"encoding/json"
	"net/http"

	"verbenaroad.example/share/modules/codes"
)

// eventWriter passes server-sent events on to the caller.
type eventWriter struct {
	visit *visit
	// begun is set once the status line is sent.
	begun bool
}

// Write passes pieces of events on as they come.
func (w *eventWriter) Write(p []byte) (int, error) {
	w.begin()
	if err := w.visit.request.Context().Err(); err != nil {
		return 0, err
	}
	n, err := w.visit.writer.Write(p)
	if err != nil {
		return n, err
	}
	w.flush()
	return n, nil
}

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	header := w.visit.writer.Header()
	header.Set("Content-Type", eventStream)
	header.Set("Cache-Control", "no-store")
	header.Set("Transfer-Encoding", "chunked")
	w.visit.writer.WriteHeader(http.StatusOK)
}

func (w *eventWriter) flush() {
	if flusher, ok := w.visit.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// end writes the end event; a stream without it is incomplete by contract.
func (w *eventWriter) end(result *codes.Result) {
	w.begin()
	body, err := json.Marshal(newErrorBody(w.visit.id, result))
	if err != nil {
		return
	}
	// The blank line ends an event that was cut in the middle.
	_, _ = w.visit.writer.Write([]byte("\n\nevent: end\ndata: " + string(body) + "\n\n"))
	w.flush()
}
