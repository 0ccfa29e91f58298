package target_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/agent/services/target"
	"verbenaroad.example/share/modules/codes"
)

func newServer(t *testing.T, handler http.HandlerFunc) *target.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return target.NewServer(netip.MustParseAddrPort(server.Listener.Addr().String()))
}

// A stream is cut although its connection closes cleanly, and the incomplete answer passes as
// complete.
func TestSendDetectsCutStream(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   codes.Code
		tokens uint64
	}{
		"complete":              {"data: a\n\ndata: b\n\ndata: [DONE]\n\n", codes.OK, 3},
		"cut at an event":       {"data: a\n\n", codes.AnswerIncomplete, 1},
		"cut in the last event": {"data: a\n\ndata: [DON", codes.AnswerIncomplete, 1},
		"empty":                 {"", codes.AnswerIncomplete, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.answer) })
			got := bytes.Buffer{}
			result := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/", Idempotent: true, Stream: true}, &got)
			is.Equal(got.String(), c.answer)
			is.Equal(result.Tokens, c.tokens)
			if c.want == codes.OK {
				is.Equal(result.Failure, nil)
				return
			}
			is.Equal(result.Failure.Code, c.want)
		})
	}
}

// An order is placed twice: the backend server runs it and closes the connection without an answer.
// The HTTP client, on a connection that it has used before, then retries by itself, because the
// Idempotency-Key header makes the POST count as idempotent.
func TestNonIdempotentCallIsNotRetriedWhenTheConnectionBreaks(t *testing.T) {
	is := is.New(t)
	runs := atomic.Int32{}
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) == 1 {
			return // a complete answer first, so that its connection could be reused
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	call := target.Call{
		Method: http.MethodPost,
		Path:   "/orders",
		Header: http.Header{"Idempotency-Key": {"k1"}},
		Body:   []byte("two spruce boards"),
	}
	first := s.Send(context.Background(), call, io.Discard)
	is.Equal(first.Failure, nil)
	second := s.Send(context.Background(), call, io.Discard)
	is.Equal(second.Failure.Code, codes.BackendLost)
	is.Equal(second.Failure.Outcome, codes.OutcomeUnknown)
	is.Equal(runs.Load(), int32(2)) // one run for each Send
}

// The backend server does not listen, so a call cannot have reached it; reporting its outcome as
// unknown would prevent a retry.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	s := target.NewServer(netip.MustParseAddrPort("127.0.0.1:1"))
	result := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/"}, io.Discard)
	is.Equal(result.Failure.Code, codes.NoBackend)
	is.Equal(result.Failure.Outcome, codes.OutcomeNotRun)
}

// Guards against a backend server that is overloaded and gets further calls because nothing reads for
// how long it asks for none.
func TestRetryAfterOfAnOverloadedBackendServerIsReported(t *testing.T) {
	later := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	earlier := time.Now().Add(-time.Hour).UTC().Format(http.TimeFormat)
	for _, c := range []struct {
		status int
		text   string
		want   time.Duration
	}{
		{http.StatusTooManyRequests, "2", 2 * time.Second},
		{http.StatusServiceUnavailable, "0.5", 500 * time.Millisecond},
		{http.StatusServiceUnavailable, "86400", time.Minute},
		{http.StatusTooManyRequests, later, time.Minute},
		{http.StatusTooManyRequests, earlier, 0},
		{http.StatusTooManyRequests, "-1", 0},
		{http.StatusTooManyRequests, "NaN", 0},
		{http.StatusTooManyRequests, "soon", 0},
		{http.StatusTooManyRequests, "", 0},
		{http.StatusOK, "2", 0},
	} {
		is := is.New(t)
		s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", c.text)
			w.WriteHeader(c.status)
		})
		result := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/"}, io.Discard)
		is.Equal(result.RetryAfter, c.want)
	}
}
