package reach

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// sendWait is how long a write may take once the server has ended the connection.
const sendWait = 50 * time.Millisecond

// sentConn is a connection whose end counts only if all that was written to it was sent. The kernel reports a reset once, to a
// read or to a write; if it was a write, a read sees an end as if the server had closed the connection.
type sentConn struct {
	net.Conn

	// lock is held during a write.
	lock sync.Mutex
	// hasFailed is set once a write has failed.
	hasFailed bool
}

// Write implements net.Conn.
func (c *sentConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n, err := c.Conn.Write(p)
	c.hasFailed = c.hasFailed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *sentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.isSent() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// isSent reports whether all writes have succeeded. It ends a write that the server no longer reads.
func (c *sentConn) isSent() bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendWait)) // fails only if the connection is closed, as the write does
	c.lock.Lock()
	defer c.lock.Unlock()
	return !c.hasFailed
}
