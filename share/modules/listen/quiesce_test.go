package listen_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/listen"
)

// server echoes one byte on each connection.
type server struct {
	listener net.Listener
	// delay is the time before the server starts to accept connections.
	delay time.Duration
}

func (s *server) run() {
	time.Sleep(s.delay)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.runConn(conn)
	}
}

func (s *server) runConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, _ = io.CopyN(conn, conn, 1)
}

func newServer(t *testing.T, delay time.Duration) *server {
	t.Helper()
	listener, err := listen.Open(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), net.KeepAliveConfig{})
	is.New(t).NoErr(err)
	s := &server{listener: listener, delay: delay}
	go s.run()
	return s
}

// roundTrip sends a byte and waits for its echo. opened reports whether a connection was
// established.
func roundTrip(address string) (opened bool, err error) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("x")); err != nil {
		return true, err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return true, err
}

func (s *server) close(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := listen.Quiesce(ctx, s.listener); err != nil {
		t.Errorf("quiesce: %v", err)
	}
	_ = s.listener.Close()
}

// Guards against the reset of connections that the kernel has established and a stopping server has
// not accepted yet. The client has already written its request and could not know whether it ran.
func TestQueuedConnectionsAreAnswered(t *testing.T) {
	is := is.New(t)
	s := newServer(t, 200*time.Millisecond)
	results := make(chan error, 20)
	for range cap(results) {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		is.NoErr(err)
		_, err = conn.Write([]byte("x"))
		is.NoErr(err)
		go func() {
			_, err := io.ReadFull(conn, make([]byte, 1))
			results <- err
		}()
	}
	s.close(t)
	for range cap(results) {
		is.NoErr(<-results)
	}
}

// Guards against resets of connections that clients open while a server stops. Each client must get
// its answer or find the port closed.
func TestNoConnectionIsResetDuringClose(t *testing.T) {
	is := is.New(t)
	for range 2 {
		s := newServer(t, 0)
		address := s.listener.Addr().String()
		broken := atomic.Int64{}
		answered := atomic.Int64{}
		callers := sync.WaitGroup{}
		for range 20 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				for {
					opened, err := roundTrip(address)
					switch {
					case err == nil:
						answered.Add(1)
						continue
					case opened:
						broken.Add(1)
					case !errors.Is(err, syscall.ECONNREFUSED):
						t.Errorf("neither answered nor refused: %v", err)
					}
					return
				}
			}()
		}
		time.Sleep(30 * time.Millisecond)
		s.close(t)
		callers.Wait()
		is.Equal(broken.Load(), int64(0))
		is.True(answered.Load() > 0)
	}
}
