package flow

import (
	"net/http"
	"time"
)

const (
	// writeTimeout limits how long a write of up to writeBytes waits for a caller that does not read.
	writeTimeout = 20 * time.Second
	writeBytes   = 32 << 10
)

// callerWriter writes an answer to its caller. A caller may read slowly, but one that stops reading is
// given up, because what it does not read takes memory.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Write implements io.Writer.
func (w *callerWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not all writers support it
		n, err := w.ResponseWriter.Write(data[written:min(written+writeBytes, len(data))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush sends what has been written.
func (w *callerWriter) Flush() error { return w.control.Flush() }
