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

// cutter reads requests and answers only the first few of each connection before it closes it.
type cutter struct {
	listener net.Listener
	// answers is how many requests of a connection get an answer.
	answers  int
	requests atomic.Int64
}

func newCutter(t *testing.T, answers int) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go c.run()
	return c
}

func (c *cutter) address() netip.AddrPort {
	return c.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (c *cutter) run() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.runConnection(connection)
	}
}

func (c *cutter) runConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.requests.Add(1)
		if n >= c.answers {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue")
	}
}

// A writer sends a compare-and-swap. The service reads it, applies it, and
// the connection breaks before the answer. Were the request sent again by
// the transport, the second one would fail its index check and the writer
// would hear "not swapped" of a change that took effect.
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
				server := newCutter(t, answers)
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

// A read may be sent again; that this test server sees it shows that it would see a write sent twice.
func TestReadIsSentAgain(t *testing.T) {
	is := is.New(t)
	server := newCutter(t, 1)
	client := kvapi.NewClient(kvapi.Options{Address: server.address()})
	_, err := client.FindPairs(context.Background(), "a")
	is.True(err != nil) // "true" is no list of pairs
	_, _ = client.FindPairs(context.Background(), "a")
	is.Equal(server.requests.Load(), int64(3))
	is.Equal(client.Stats().Reads, uint64(2))
}

func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	server := newCutter(t, 1)

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
