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

// slowCloseConn is closed only once its last write has ended, as a connection of the runtime is.
type slowCloseConn struct {
	*stuckConn
	writes sync.WaitGroup
}

// writeEnds is how long such a write takes to notice the close.
const writeEnds = 600 * time.Millisecond

func (c *slowCloseConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	stuck := c.stuck
	c.lock.Unlock()
	if !stuck {
		return c.Conn.Write(p)
	}
	c.writes.Add(1)
	defer c.writes.Done()
	<-c.ended
	time.Sleep(writeEnds)
	return 0, net.ErrClosed
}

// SetWriteDeadline ends the write once a deadline has passed already.
func (c *slowCloseConn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		c.once.Do(func() { close(c.ended) })
	}
	return c.Conn.SetWriteDeadline(deadline)
}

func (c *slowCloseConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.writes.Wait()
	return c.Conn.Close()
}

// Guards against readers that take a whole core when a peer ends its connection while a
// message to it is under way, since the close waits for that write.
func TestPeerThatEndsLeavesReadersAtRest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *link.Session, 1)
	conns := make(chan *slowCloseConn, 1)
	down := make(chan struct{})
	options := newOptions("a")
	options.SilentAfter = time.Minute
	ending := options
	ending.OnDown = func(*link.Session, error) { close(down) }
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &slowCloseConn{stuckConn: &stuckConn{Conn: conn, ended: make(chan struct{})}}
		conns <- c
		s, err := link.Accept(c, ending)
		if err == nil {
			accepted <- s
		}
	}()
	peer, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	s := <-accepted
	(<-conns).getStuck()
	time.Sleep(100 * time.Millisecond) // a heartbeat is under way now

	before := processorTime()
	is.NoErr(peer.Close())
	<-down
	is.NoErr(s.Close())
	is.True(processorTime()-before < writeEnds/2)
}
