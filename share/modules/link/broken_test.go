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

// faultyConn simulates a connection whose peer or network path has failed.
type faultyConn struct {
	net.Conn
	lock       sync.Mutex
	writeFault writeFault
	changed    chan struct{}
	// expired is closed at the write deadline or the close, and ends blocked writes.
	expired chan struct{}
	once    sync.Once
}

// writeFault is the way in which writes fail.
type writeFault string

const (
	writesPass  writeFault = ""
	writesFail  writeFault = "fail"
	writesBlock writeFault = "block"
)

var errReset = errors.New("connection reset by peer")

func newFaultyConn(conn net.Conn) *faultyConn {
	return &faultyConn{Conn: conn, changed: make(chan struct{}), expired: make(chan struct{})}
}

func (c *faultyConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	fault := c.writeFault
	c.lock.Unlock()
	switch fault {
	case writesFail:
		return 0, errReset
	case writesBlock:
		<-c.expired
		return 0, errReset
	default:
		return c.Conn.Write(p)
	}
}

func (c *faultyConn) setWriteFault(fault writeFault) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writeFault = fault
}

// SetWriteDeadline ends blocked writes at the deadline.
func (c *faultyConn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		time.AfterFunc(time.Until(deadline), c.expire)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

func (c *faultyConn) expire() { c.once.Do(func() { close(c.expired) }) }

func (c *faultyConn) Close() error {
	c.expire()
	return c.Conn.Close()
}

// pair holds both ends of a session with streamCount streams and a blocked reader at both ends of
// each stream.
type pair struct {
	dialed, accepted *link.Session
	conn             *faultyConn
	readers          sync.WaitGroup
}

const streamCount = 60

func newPair(t *testing.T) *pair {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &pair{}
	options := newOptions("a")
	options.HeartbeatInterval = 20 * time.Millisecond
	options.SilenceTimeout = 300 * time.Millisecond
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.conn = newFaultyConn(conn)
		p.accepted, err = link.Accept(p.conn, options)
		if err != nil {
			t.Error(err)
		}
	}()
	p.dialed, err = link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	<-accepted
	t.Cleanup(func() { _, _ = p.dialed.Close(), p.accepted.Close() })
	for range streamCount {
		dialedStream, err := p.dialed.Open()
		is.NoErr(err)
		_, err = dialedStream.Write([]byte("x"))
		is.NoErr(err)
		acceptedStream, err := p.accepted.Accept()
		is.NoErr(err)
		_, err = acceptedStream.Read(make([]byte, 1))
		is.NoErr(err)
		p.readers.Add(2)
		go p.runRead(dialedStream)
		go p.runRead(acceptedStream)
	}
	return p
}

// runRead reads until the stream ends.
func (p *pair) runRead(stream net.Conn) {
	defer p.readers.Done()
	_, _ = stream.Read(make([]byte, 1))
}

// Guards against readers that spin and take a whole core after their session has ended. This
// depends on the order in which reads and writes fail and the ends close, so all of these orders
// are tested.
func TestReadersDoNotSpinWhenSessionFails(t *testing.T) {
	const maxUsed = 100 * time.Millisecond
	for name, fail := range map[string]func(p *pair){
		"writes fail":              func(p *pair) { p.conn.setWriteFault(writesFail) },
		"writes block":             func(p *pair) { p.conn.setWriteFault(writesBlock) },
		"reads fail":               func(p *pair) { _ = p.conn.SetReadDeadline(time.Now()) },
		"writes fail, then reads":  func(p *pair) { p.conn.setWriteFault(writesFail); _ = p.conn.SetReadDeadline(time.Now()) },
		"reads fail, writes block": func(p *pair) { p.conn.setWriteFault(writesBlock); _ = p.conn.SetReadDeadline(time.Now()) },
		"the connection is closed": func(p *pair) { _ = p.conn.Close() },
		"the peer ends":            func(p *pair) { _ = p.dialed.Close() },
		"this side ends":           func(p *pair) { _ = p.accepted.Close() },
		"this side ends while writes block": func(p *pair) {
			p.conn.setWriteFault(writesBlock)
			time.Sleep(50 * time.Millisecond) // a heartbeat is being written now
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
			is.True(used < maxUsed)
		})
	}
}
