package link

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

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

// countingConn counts what passes, so that control and cross-region bytes can be reported.
type countingConn struct {
	net.Conn
	read    atomic.Uint64
	written atomic.Uint64
}

// Read counts what arrives.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(uint64(n))
	return n, err
}

// Write counts what leaves.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}
