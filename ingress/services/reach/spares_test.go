package reach_test

import (
	"context"
	"errors"
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

// server accepts connections and passes them on to the test.
type server struct {
	listener net.Listener
	accepted chan net.Conn
}

func newServer(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, accepted: make(chan net.Conn, 10)}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- conn
	}
}

func (s *server) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort() //nolint:forcetypeassert // a TCP listener has one
}

// answer serves one request on a connection.
func answer(conn net.Conn) error {
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return errors.Join(err, conn.Close())
}

// noRates ignores the rate limits of servers.
type noRates struct{}

func (noRates) MaySend(site.Server, string) bool { return true }

func (noRates) ObserveSend(site.Server, string) {}

func (noRates) ObserveAnswer(site.Server, site.Answer) {}

func post(c *reach.Client, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/", nil)
	if err != nil {
		return err
	}
	_, body, err := c.Do(site.Server{}, r)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(body)
	return errors.Join(err, body.Close())
}

// Guards against a request opening a new connection although a spare one was opened in advance, and
// against a spare connection being used for more than one request.
func TestRequestUsesTheSpareConnection(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c := reach.NewClient(heads.Codec{}, noRates{})
	c.Preconnect(s.address())
	spare := <-s.accepted
	time.Sleep(50 * time.Millisecond) // until the client has stored it
	served := make(chan error, 1)
	go func() { served <- answer(spare) }()
	is.NoErr(post(c, s.address()))
	is.NoErr(<-served)
	is.Equal(len(s.accepted), 0)
	go func() { served <- answer(<-s.accepted) }()
	is.NoErr(post(c, s.address()))
	is.NoErr(<-served)
}

// Guards against a request being sent on a spare connection that the server has closed. The request
// would be lost, and a non-idempotent one could not be retried.
func TestClosedSpareConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c := reach.NewClient(heads.Codec{}, noRates{})
	c.Preconnect(s.address())
	spare := <-s.accepted
	is.NoErr(spare.Close())
	time.Sleep(50 * time.Millisecond)
	served := make(chan error, 1)
	go func() { served <- answer(<-s.accepted) }()
	is.NoErr(post(c, s.address()))
	is.NoErr(<-served)
}
