package target_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"verbenaroad.example/agent/services/target"
)

// Guards against an answer that stops, in its head or later, and that is reported as complete. One without a length and
// without chunks ends with its connection; a stream shows by its last event that it is complete.
func TestAnswerThatStopsIsNotComplete(t *testing.T) {
	text := atomic.Value{}
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, text.Load().(string))
			_ = conn.Close()
		}
	})
	const head, stream = "HTTP/1.1 200 OK\r\n", "data: a\n\ndata: [DONE]\n\n"
	for whole, isStream := range map[string]bool{
		head + "Content-Length: 8\r\n\r\ntwo maps":                            false,
		head + "Transfer-Encoding: chunked\r\n\r\n8\r\ntwo maps\r\n0\r\n\r\n": false,
		head + "\r\ntwo maps":                        false,
		head + "Content-Length: 23\r\n\r\n" + stream: true,
		head + "\r\n" + stream:                       true,
		head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n": true,
	} {
		complete := len(whole)
		switch whole {
		case head + "\r\ntwo maps":
			complete = len(head) + 2
		case head + "\r\n" + stream:
			complete = len(strings.TrimSpace(whole))
		}
		for sent := range len(whole) + 1 {
			text.Store(whole[:sent])
			result := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/", Idempotent: true, Stream: isStream}, io.Discard)
			if (result.Failure == nil) != (sent >= complete) {
				t.Errorf("cut after %d bytes of %q: %v", sent, whole, result.Failure)
			}
		}
	}
}
