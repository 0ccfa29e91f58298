package link_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
)

// brittleConn fails in the ways of a connection whose other end or whose path has gone.
type brittleConn struct {
	net.Conn
	lock sync.Mutex
	// writes is what becomes of them; changed is closed when it is set.
	writes  writeFault
	changed chan struct{}
	expired chan struct{}
	once    sync.Once
}

// writeFault says what becomes of writes.
type writeFault string

const (
	writesPass  writeFault = ""
	writesFail  writeFault = "fail"
	writesStick writeFault = "stick"
)

var errReset = errors.New("connection reset by peer")

func newBrittleConn(conn net.Conn) *brittleConn {
	return &brittleConn{Conn: conn, changed: make(chan struct{}), expired: make(chan struct{})}
}

func (c *brittleConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	fault := c.writes
	c.lock.Unlock()
	switch fault {
	case writesFail:
		return 0, errReset
	case writesStick:
		<-c.expired
		return 0, errReset
	default:
		return c.Conn.Write(p)
	}
}

func (c *brittleConn) setWrites(fault writeFault) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writes = fault
}

// SetWriteDeadline ends writes that stick, at the deadline.
func (c *brittleConn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		time.AfterFunc(time.Until(deadline), c.expire)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

func (c *brittleConn) expire() { c.once.Do(func() { close(c.expired) }) }

func (c *brittleConn) Close() error {
	c.expire()
	return c.Conn.Close()
}

// pair are both ends of a session with readers that wait on many streams.
type pair struct {
	dialed, accepted *link.Session
	conn             *brittleConn
	readers          sync.WaitGroup
}

const manyReaders = 60

func newPair(t *testing.T) *pair {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &pair{}
	options := newOptions("a")
	options.BeatEvery = 20 * time.Millisecond
	options.SilentAfter = 300 * time.Millisecond
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.conn = newBrittleConn(conn)
		p.accepted, err = link.Accept(p.conn, options)
		if err != nil {
			t.Error(err)
		}
	}()
	p.dialed, err = link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	<-accepted
	t.Cleanup(func() { _, _ = p.dialed.Close(), p.accepted.Close() })
	for range manyReaders {
		here, err := p.dialed.Open()
		is.NoErr(err)
		_, err = here.Write([]byte("x"))
		is.NoErr(err)
		there, err := p.accepted.Accept()
		is.NoErr(err)
		_, err = there.Read(make([]byte, 1))
		is.NoErr(err)
		p.readers.Add(2)
		go p.runRead(here)
		go p.runRead(there)
	}
	return p
}

// runRead reads until the stream ends.
func (p *pair) runRead(stream net.Conn) {
	defer p.readers.Done()
	_, _ = stream.Read(make([]byte, 1))
}

// Guards against readers that take a whole core once their session has ended, in whatever order
// its parts fail.
func TestReadersOfABrokenSessionAreAtRest(t *testing.T) {
	const most = 100 * time.Millisecond
	for name, fail := range map[string]func(p *pair){
		"writes fail":              func(p *pair) { p.conn.setWrites(writesFail) },
		"writes stick":             func(p *pair) { p.conn.setWrites(writesStick) },
		"reads fail":               func(p *pair) { _ = p.conn.SetReadDeadline(time.Now()) },
		"writes fail, then reads":  func(p *pair) { p.conn.setWrites(writesFail); _ = p.conn.SetReadDeadline(time.Now()) },
		"reads fail, writes stick": func(p *pair) { p.conn.setWrites(writesStick); _ = p.conn.SetReadDeadline(time.Now()) },
		"the connection is closed": func(p *pair) { _ = p.conn.Close() },
		"the peer ends":            func(p *pair) { _ = p.dialed.Close() },
		"this side ends":           func(p *pair) { _ = p.accepted.Close() },
		"this side ends while writes stick": func(p *pair) {
			p.conn.setWrites(writesStick)
			time.Sleep(50 * time.Millisecond) // a heartbeat is under way
			_ = p.accepted.Close()
		},
		"both sides end": func(p *pair) {
			go func() { _ = p.dialed.Close() }()
			_ = p.accepted.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			before := processorTime()
			began := time.Now()
			fail(p)
			p.readers.Wait()
			took, used := time.Since(began), processorTime()-before
			t.Logf("ended after %v with %v of processor time", took, used)
			is.True(took < 3*time.Second)
			is.True(used < most)
		})
	}
}
