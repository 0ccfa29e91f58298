package link_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// stuckConn stops taking writes once it is stuck, as a peer behind a cut link does.
type stuckConn struct {
	net.Conn
	lock  sync.Mutex
	stuck bool
	ended chan struct{}
	once  sync.Once
}

func (c *stuckConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	stuck := c.stuck
	c.lock.Unlock()
	if !stuck {
		return c.Conn.Write(p)
	}
	// The write deadline that the closing side sets ends the wait.
	select {
	case <-c.ended:
	case <-time.After(time.Second):
	}
	return 0, net.ErrClosed
}

func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

func (c *stuckConn) getStuck() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stuck = true
}

// An operator stops an ingress while one of its peers is cut off. The process
// takes a whole core until it is gone: heartbeats to that peer are pending, the
// close waits for them, and meanwhile each reader of the session loops.
func TestCloseLeavesReadersAtRest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *link.Session, 1)
	stuck := make(chan *stuckConn, 1)
	options := link.Options{
		Hello:       &wire.Hello{Version: wire.Version, Name: "a"},
		BeatEvery:   20 * time.Millisecond,
		SilentAfter: time.Minute,
		Beat:        func() *wire.Beat { return &wire.Beat{} },
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &stuckConn{Conn: conn, ended: make(chan struct{})}
		stuck <- c
		s, err := link.Accept(c, options)
		if err == nil {
			accepted <- s
		}
	}()
	dialed, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	s := <-accepted
	(<-stuck).getStuck()
	time.Sleep(100 * time.Millisecond) // heartbeats are pending now

	before := processorTime()
	_ = s.Close()
	is.True(processorTime()-before < 300*time.Millisecond)
}
