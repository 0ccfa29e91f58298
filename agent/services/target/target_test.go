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

	"github.com/matryer/is"

	"verbenaroad.example/agent/services/target"
	"verbenaroad.example/share/modules/codes"
)

func serve(t *testing.T, handler http.HandlerFunc) *target.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return target.NewServer(netip.MustParseAddrPort(server.Listener.Addr().String()))
}

func TestSendStreams(t *testing.T) {
	cases := map[string]struct {
		answer string
		want   codes.Code
		tokens uint64
	}{
		"whole":           {"data: a\n\ndata: b\n\ndata: [DONE]\n\n", codes.OK, 3},
		"cut at an event": {"data: a\n\n", codes.AnswerIncomplete, 1},
		"cut in the end":  {"data: a\n\ndata: [DON", codes.AnswerIncomplete, 1},
		"empty":           {"", codes.AnswerIncomplete, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.answer) })
			got := bytes.Buffer{}
			ending := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/", Idempotent: true, Stream: true}, &got)
			is.Equal(got.String(), c.answer)
			is.Equal(ending.Tokens, c.tokens)
			if c.want == codes.OK {
				is.Equal(ending.Result, nil)
				return
			}
			is.Equal(ending.Result.Code, c.want)
		})
	}
}

// A maker's timber order is billed twice: the order service reads it, runs it
// and closes the connection without an answer; the HTTP client finds a kept
// connection broken and sends the order again by itself, because its
// Idempotency-Key header makes the POST count as idempotent.
func TestOrderIsNotSentAgainWhenTheConnectionBreaks(t *testing.T) {
	is := is.New(t)
	runs := atomic.Int32{}
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) == 1 {
			return // a whole answer first, so that a kept connection could be used again
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
	is.Equal(first.Result, nil)
	second := s.Send(context.Background(), call, io.Discard)
	is.Equal(second.Result.Code, codes.BackendLost)
	is.Equal(second.Result.Outcome, codes.OutcomeUnknown)
	is.Equal(runs.Load(), int32(2)) // one run for each Send
}

func TestNothingListensIsNotRun(t *testing.T) {
	is := is.New(t)
	s := target.NewServer(netip.MustParseAddrPort("127.0.0.1:1"))
	ending := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/"}, io.Discard)
	is.Equal(ending.Result.Code, codes.NoBackend)
	is.Equal(ending.Result.Outcome, codes.OutcomeNotRun)
}
