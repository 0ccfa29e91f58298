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

// server answers a byte to each connection with the byte that it brought.
type server struct {
	listener net.Listener
	// delay is how long the server is busy before it accepts.
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

// ask sends a byte and waits for it; opened tells whether there was a connection.
func ask(address string) (opened bool, err error) {
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

// A caller's connection is open and its order written while the stopping server
// is still busy with others. The close of the listener would reset it, and the caller
// would not know whether the order ran; it must get its answer.
func TestQueuedConnectionsAreAnswered(t *testing.T) {
	is := is.New(t)
	s := newServer(t, 200*time.Millisecond)
	ends := make(chan error, 20)
	for range cap(ends) {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		is.NoErr(err)
		_, err = conn.Write([]byte("x"))
		is.NoErr(err)
		go func() {
			_, err := io.ReadFull(conn, make([]byte, 1))
			ends <- err
		}()
	}
	s.close(t)
	for range cap(ends) {
		is.NoErr(<-ends)
	}
}

// Callers keep coming while a server stops. Each finds the port closed or gets its
// answer; none has a connection that is reset.
func TestCallersDuringTheCloseAreAnsweredOrRefused(t *testing.T) {
	is := is.New(t)
	for range 2 {
		s := newServer(t, 0)
		address := s.listener.Addr().String()
		cut := atomic.Int64{}
		answered := atomic.Int64{}
		callers := sync.WaitGroup{}
		for range 20 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				for {
					opened, err := ask(address)
					switch {
					case err == nil:
						answered.Add(1)
						continue
					case opened:
						cut.Add(1)
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
		is.Equal(cut.Load(), int64(0))
		is.True(answered.Load() > 0)
	}
}
