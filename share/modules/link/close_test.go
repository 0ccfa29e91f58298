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

// blockedConn blocks writes after a call of block, like a connection whose network path is cut.
type blockedConn struct {
	net.Conn
	lock    sync.Mutex
	blocked bool
	ended   chan struct{}
	once    sync.Once
}

func (c *blockedConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	blocked := c.blocked
	c.lock.Unlock()
	if !blocked {
		return c.Conn.Write(p)
	}
	// The timeout simulates the write deadline that the closing side sets.
	select {
	case <-c.ended:
	case <-time.After(time.Second):
	}
	return 0, net.ErrClosed
}

func (c *blockedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

func (c *blockedConn) block() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.blocked = true
}

// Guards against an ingress that takes a whole core while it stops. One of its peers is cut off, so
// heartbeats to that peer are pending. The close waits for them, and meanwhile each reader of the
// session spins.
func TestReadersDoNotSpinWhileCloseWaits(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *link.Session, 1)
	conns := make(chan *blockedConn, 1)
	options := link.Options{
		Hello:             &wire.Hello{Version: wire.Version, Name: "a"},
		HeartbeatInterval: 20 * time.Millisecond,
		SilenceTimeout:    time.Minute,
		NewHeartbeat:      func() *wire.Beat { return &wire.Beat{} },
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &blockedConn{Conn: conn, ended: make(chan struct{})}
		conns <- c
		s, err := link.Accept(c, options)
		if err == nil {
			accepted <- s
		}
	}()
	dialed, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	defer func() { _ = dialed.Close() }()
	s := <-accepted
	(<-conns).block()
	time.Sleep(100 * time.Millisecond) // heartbeats are pending by now

	before := processorTime()
	_ = s.Close()
	is.True(processorTime()-before < 300*time.Millisecond)
}

// slowCloseConn is a connection whose Close waits until its last write has ended, as Close of a
// net.Conn of the Go runtime does.
type slowCloseConn struct {
	*blockedConn
	writes sync.WaitGroup
}

// writeEndDelay is the time that a blocked write takes to return after the deadline or the close.
const writeEndDelay = 600 * time.Millisecond

func (c *slowCloseConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	blocked := c.blocked
	c.lock.Unlock()
	if !blocked {
		return c.Conn.Write(p)
	}
	c.writes.Add(1)
	defer c.writes.Done()
	<-c.ended
	time.Sleep(writeEndDelay)
	return 0, net.ErrClosed
}

// SetWriteDeadline ends a blocked write if the deadline has already passed.
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

// Guards against readers that spin and take a whole core when a peer closes its connection while a
// message to it is being written. The close of the connection waits for that write.
func TestReadersDoNotSpinWhenPeerCloses(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *link.Session, 1)
	conns := make(chan *slowCloseConn, 1)
	down := make(chan struct{})
	options := newOptions("a")
	options.SilenceTimeout = time.Minute
	closingOptions := options
	closingOptions.OnDown = func(*link.Session, error) { close(down) }
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &slowCloseConn{blockedConn: &blockedConn{Conn: conn, ended: make(chan struct{})}}
		conns <- c
		s, err := link.Accept(c, closingOptions)
		if err == nil {
			accepted <- s
		}
	}()
	peer, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	s := <-accepted
	(<-conns).block()
	time.Sleep(100 * time.Millisecond) // a heartbeat is being written now

	before := processorTime()
	is.NoErr(peer.Close())
	<-down
	is.NoErr(s.Close())
	is.True(processorTime()-before < writeEndDelay/2)
}
