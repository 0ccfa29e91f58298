package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/agent/services/target"
)

// cutBackend answers each call with a text and closes the connection.
type cutBackend struct {
	listener net.Listener
	text     atomic.Value
}

func (b *cutBackend) run() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.runConn(conn)
	}
}

func (b *cutBackend) runConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, b.text.Load().(string)) //nolint:forcetypeassert // only strings are stored
	}
}

// Guards against an answer that stops, in its head or later, and that is reported as complete. One without a length and
// without chunks ends with its connection; a stream shows by its last event that it is complete.
func TestAnswerThatStopsIsNotComplete(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	b := &cutBackend{listener: listener}
	go b.run()
	s := target.NewServer(netip.MustParseAddrPort(listener.Addr().String()))
	const head, stream = "HTTP/1.1 200 OK\r\n", "data: a\n\ndata: [DONE]\n\n"
	for name, c := range map[string]struct {
		text     string
		isStream bool
		// whole is the number of bytes from which on the answer is complete; 0: all of them.
		whole int
	}{
		"length":                   {head + "Content-Length: 8\r\n\r\ntwo maps", false, 0},
		"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n8\r\ntwo maps\r\n0\r\n\r\n", false, 0},
		"end of the connection":    {head + "\r\ntwo maps", false, len(head) + 2},
		"stream of a length":       {head + "Content-Length: 23\r\n\r\n" + stream, true, 0},
		"stream until its end":     {head + "\r\n" + stream, true, len(head) + 2 + strings.Index(stream, "[DONE]") + len("[DONE]")},
		"stream in several chunks": {head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true, 0},
	} {
		if c.whole == 0 {
			c.whole = len(c.text)
		}
		for sent := range len(c.text) + 1 {
			b.text.Store(c.text[:sent])
			result := s.Send(context.Background(), target.Call{Method: http.MethodPost, Path: "/", Idempotent: true, Stream: c.isStream}, io.Discard)
			if (result.Failure == nil) != (sent >= c.whole) {
				t.Errorf("%s, cut after %d of %d bytes: %v", name, sent, len(c.text), result.Failure)
			}
		}
	}
}
