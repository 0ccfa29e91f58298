package link

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// VersionError reports that the peer speaks another protocol version than this process.
type VersionError struct {
	// Peer is the protocol version of the peer.
	Peer uint32
}

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this process %d", e.Peer, wire.Version)
}

// IsVersionError reports whether err is or wraps a VersionError.
func IsVersionError(err error) bool {
	var version *VersionError
	return errors.As(err, &version)
}

// countingConn counts the bytes read and written, so that control and cross-region traffic can be
// reported, and records when data last arrived.
type countingConn struct {
	net.Conn
	read    atomic.Uint64
	written atomic.Uint64
	opened  time.Time
	// lastReadAt is the monotonic time at which data last arrived, in nanoseconds since opened.
	lastReadAt atomic.Int64
}

func newCountingConn(conn net.Conn) *countingConn {
	return &countingConn{Conn: conn, opened: time.Now()}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Add(uint64(n))
		c.lastReadAt.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// silence returns the time since data last arrived.
func (c *countingConn) silence() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastReadAt.Load())
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}
