package cmds

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"verbenaroad.example/share/modules/socket"
)

// Gate decides which new connections of callers are taken.
type Gate interface {
	// TakeConnection reports whether a new connection is taken. One that is not is closed unread, so that
	// its caller goes to another instance at once.
	TakeConnection() bool
}

// gatedListener accepts the connections that a gate takes and resets the others.
type gatedListener struct {
	net.Listener
	gate Gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		if l.gate.TakeConnection() {
			if c, err := newCallerConn(tcp); err == nil {
				return c, nil
			}
		}
		_ = tcp.SetLinger(0) // Close sends a reset instead of a FIN
		_ = conn.Close()
	}
}

// callerConn is a connection of a caller. Nothing is read from it once it was closed as idle, and it is not closed as idle
// once anything was read: a request that was read must be answered.
type callerConn struct {
	*net.TCPConn
	raw syscall.RawConn

	lock sync.Mutex
	// firstRead is when bytes were first read since the connection became idle; zero: none were. They may be a request
	// that the HTTP server has not reported yet, since the process waits for a processor.
	firstRead time.Time
	// isClosed is set once the connection was closed as idle.
	isClosed bool
}

// slowHeadTime is how long the head of a request may take to arrive if there are too many connections.
const slowHeadTime = time.Second

func newCallerConn(conn *net.TCPConn) (*callerConn, error) {
	raw, err := conn.SyscallConn()
	return &callerConn{TCPConn: conn, raw: raw}, err
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, failed := 0, error(nil)
	err := c.raw.Read(func(fd uintptr) bool {
		n, failed = c.readOnce(int(fd), p) //nolint:gosec // a descriptor is small
		return !errors.Is(failed, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, c.newReadError(err)
	case failed != nil:
		return 0, c.newReadError(failed)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// newReadError returns an error that the HTTP server takes for one of the connection.
func (c *callerConn) newReadError(cause error) error {
	var raw *net.OpError
	if errors.As(cause, &raw) {
		cause = raw.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// readOnce reads what has been received. It returns EAGAIN if that is nothing.
func (c *callerConn) readOnce(fd int, p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if n > 0 && c.firstRead.IsZero() {
			c.firstRead = time.Now()
		}
		return max(n, 0), err
	}
}

// setIdle records that the request which was read has been answered.
func (c *callerConn) setIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.firstRead = time.Time{}
}

// closeIdle closes the connection unless something has arrived since it became idle.
func (c *callerConn) closeIdle() (closed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	hasInput, err := socket.HasInput(c.TCPConn)
	if !c.firstRead.IsZero() || err == nil && hasInput {
		return false
	}
	c.closeLocked()
	return true
}

// closeSlow closes the connection if the head of its request has been arriving for slowHeadTime.
func (c *callerConn) closeSlow() (closed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.firstRead.IsZero() || time.Since(c.firstRead) < slowHeadTime {
		return false
	}
	c.closeLocked()
	return true
}

// closeLocked closes the connection. It is called under the lock.
func (c *callerConn) closeLocked() {
	c.isClosed = true
	_ = c.Close() // the HTTP server reports StateClosed for it
}
