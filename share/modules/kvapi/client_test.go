package kvapi_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/kvapi"
)

// droppingServer answers only the first requests of each connection. It reads one more and closes
// the connection without an answer.
type droppingServer struct {
	listener net.Listener
	// answers is the number of requests of a connection that are answered.
	answers  int
	requests atomic.Int64
}

func newDroppingServer(t *testing.T, answers int) *droppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &droppingServer{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *droppingServer) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *droppingServer) run() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConnection(connection)
	}
}

func (s *droppingServer) runConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if n >= s.answers {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue")
	}
}

// Guards against writes that net/http retries by itself. If the service applies a compare-and-swap
// and the connection breaks before the response, the retry would fail its index check, and the
// caller would get "not swapped" for a change that took effect.
func TestWritesAreSentOnce(t *testing.T) {
	writes := map[string]func(context.Context, *kvapi.Client) error{
		"compare-and-swap": func(ctx context.Context, c *kvapi.Client) error {
			_, err := c.CompareAndSwap(ctx, "order", []byte("spruce"), 7)
			return err
		},
		"create with an empty value": func(ctx context.Context, c *kvapi.Client) error {
			_, err := c.CompareAndSwap(ctx, "order", nil, 0)
			return err
		},
		"delete": func(ctx context.Context, c *kvapi.Client) error {
			_, err := c.DeleteIf(ctx, "order", 7)
			return err
		},
		"acquire": func(ctx context.Context, c *kvapi.Client) error {
			_, err := c.Acquire(ctx, "order", nil, "session")
			return err
		},
		"create a session": func(ctx context.Context, c *kvapi.Client) error {
			_, err := c.CreateSession(ctx, kvapi.SessionOptions{})
			return err
		},
		"renew a session": func(ctx context.Context, c *kvapi.Client) error {
			return c.RenewSession(ctx, "session")
		},
	}
	for name, write := range writes {
		for answers := range 2 {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				server := newDroppingServer(t, answers)
				client := kvapi.NewClient(kvapi.Options{Address: server.address()})
				for call := int64(1); call <= 3; call++ {
					err := write(context.Background(), client)
					if answers == 0 {
						is.True(err != nil)
						is.True(!kvapi.IsErrNotSent(err)) // the outcome is unknown
					}
					is.Equal(server.requests.Load(), call)
				}
				is.Equal(client.Stats().Writes, uint64(3))
			})
		}
	}
}

// Reads may be retried by net/http. That the test server counts the retry shows that it would also
// count a retried write.
func TestReadIsRetried(t *testing.T) {
	is := is.New(t)
	server := newDroppingServer(t, 1)
	client := kvapi.NewClient(kvapi.Options{Address: server.address()})
	_, err := client.FindPairs(context.Background(), "a")
	is.True(err != nil) // "true" is not a list of pairs
	_, _ = client.FindPairs(context.Background(), "a")
	is.Equal(server.requests.Load(), int64(3))
	is.Equal(client.Stats().Reads, uint64(2))
}

func TestErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	server := newDroppingServer(t, 1)

	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		client := kvapi.NewClient(kvapi.Options{Address: closed})
		_, err := client.CompareAndSwap(context.Background(), "a", nil, 0)
		is.True(kvapi.IsErrNotSent(err))
		is.Equal(client.Stats().Failed, uint64(1))
	})
	t.Run("value over the limit", func(t *testing.T) {
		is := is.New(t)
		client := kvapi.NewClient(kvapi.Options{Address: server.address()})
		_, err := client.CompareAndSwap(context.Background(), "a", make([]byte, kvapi.MaxValueBytes+1), 0)
		is.True(kvapi.IsErrNotSent(err))
		is.Equal(server.requests.Load(), int64(0))
	})
	t.Run("largest value", func(t *testing.T) {
		is := is.New(t)
		client := kvapi.NewClient(kvapi.Options{Address: server.address()})
		swapped, err := client.CompareAndSwap(context.Background(), "a", make([]byte, kvapi.MaxValueBytes), 0)
		is.NoErr(err)
		is.True(swapped)
	})
	t.Run("delete without an index", func(t *testing.T) {
		is := is.New(t)
		client := kvapi.NewClient(kvapi.Options{Address: server.address()})
		_, err := client.DeleteIf(context.Background(), "a", 0)
		is.True(kvapi.IsErrNotSent(err))
	})
}
