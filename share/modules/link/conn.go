package link

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// VersionError says that the peer speaks a protocol version that this process does not.
type VersionError struct {
	// Peer is the version that the peer sent.
	Peer uint32
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this process %d", e.Peer, wire.Version)
}

// IsVersionError tells whether err says that the peer speaks another version.
func IsVersionError(err error) bool {
	var version *VersionError
	return errors.As(err, &version)
}

// countingConn counts what passes, so that control and cross-region bytes can be reported,
// and notes when something arrived.
type countingConn struct {
	net.Conn
	read    atomic.Uint64
	written atomic.Uint64
	opened  time.Time
	// readAt is the monotonic time of the last arrival, as nanoseconds since opened.
	readAt atomic.Int64
}

func newCountingConn(conn net.Conn) *countingConn {
	return &countingConn{Conn: conn, opened: time.Now()}
}

// Read counts what arrives.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Add(uint64(n))
		c.readAt.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// silence returns how long nothing has arrived.
func (c *countingConn) silence() time.Duration {
	return time.Since(c.opened) - time.Duration(c.readAt.Load())
}

// Write counts what leaves.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}
