package peers_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/peers"
)

// flakyListener fails a number of times before it accepts connections.
type flakyListener struct {
	net.Listener
	failures int64
	failed   atomic.Int64
}

var errNoDescriptor = errors.New("too many open files")

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failed.Load() < l.failures {
		l.failed.Add(1)
		return nil, errNoDescriptor
	}
	return l.Listener.Accept()
}

type idleHandler struct{}

func (idleHandler) ServeSession(ctx context.Context, _ *link.Session) { <-ctx.Done() }

func newOptions(name string) link.Options {
	return link.Options{Hello: &wire.Hello{Version: wire.Version, Name: name}, NewHeartbeat: func() *wire.Beat { return &wire.Beat{} }}
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Guards against a process that takes no sessions until it starts again because a connection could not
// be accepted once, such as when no file descriptor was left.
func TestSessionsAreAcceptedAfterAFailure(t *testing.T) {
	is := is.New(t)
	listener := &flakyListener{Listener: newListener(t), failures: 3}
	s := peers.NewServerOn(listener, peers.Options{Link: newOptions("b"), Handler: idleHandler{}, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.Start(ctx)
	defer s.Close()
	session, err := link.Dial(ctx, s.Address(), newOptions("a"))
	is.NoErr(err)
	is.NoErr(session.Close())
	is.Equal(listener.failed.Load(), int64(3))
}

// Guards against a listener that fails for long and takes a whole core, and against a loop that goes on
// after its server was closed.
func TestFailuresToAcceptAreNotRepeatedWithoutAPause(t *testing.T) {
	is := is.New(t)
	listener := &flakyListener{Listener: newListener(t), failures: 1 << 40}
	s := peers.NewServerOn(listener, peers.Options{Link: newOptions("b"), Handler: idleHandler{}, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	s.Start(ctx)
	time.Sleep(300 * time.Millisecond)
	cancel()
	s.Close()
	time.Sleep(20 * time.Millisecond)
	failed := listener.failed.Load()
	is.True(failed <= 20)
	time.Sleep(100 * time.Millisecond)
	is.Equal(listener.failed.Load(), failed) // the loop has ended
}
