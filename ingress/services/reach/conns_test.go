package reach_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/platform/heads"
	"verbenaroad.example/share/models/site"
)

// earlyServer answers each request before it has read its body, and ends the connection without an end of the answer.
type earlyServer struct {
	listener net.Listener
	// readsOn is set if the body is read after the answer, and the connection closed then; otherwise it is reset.
	readsOn bool
}

func (s *earlyServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *earlyServer) runConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n")
	if s.readsOn {
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	time.Sleep(5 * time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a reset instead of a FIN
	}
}

// Guards against an answer that is reset and counts as whole, since the reset was reported to a write of the request's body
// and the read after it saw the end of the connection.
func TestAnswerThatIsResetBeforeTheRequestIsSentIsNotWhole(t *testing.T) {
	for _, readsOn := range []bool{false, true} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = listener.Close() }()
		go (&earlyServer{listener: listener, readsOn: readsOn}).run()
		c := reach.NewClient(heads.Codec{}, noRates{})
		server := site.Server{ID: "s", Address: netip.MustParseAddrPort(listener.Addr().String())}
		whole := 0
		const requests = 40
		for range requests {
			reply, err := c.Send(context.Background(), reach.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20), Server: server})
			if err != nil {
				continue // the reset was seen before the answer
			}
			is.Equal(reply.Framing, reach.FramingConnection)
			if _, err := io.ReadAll(reply.Body); err == nil {
				whole++
			}
			_ = reply.Body.Close()
		}
		is.Equal(whole, map[bool]int{true: requests, false: 0}[readsOn])
	}
}
