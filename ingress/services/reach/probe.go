package reach

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// closeWait is how long IsUp waits for a connection to be closed by a relay that accepted it in
// place of a server that is down.
const closeWait = 100 * time.Millisecond

// IsUp reports whether a server accepts connections and keeps them open. An accepted connection is
// not sufficient, because a relay in front of a server that is down may accept and then close it.
func (c *Client) IsUp(ctx context.Context, address netip.AddrPort) bool {
	return c.probe(ctx, address, closeWait) == nil
}

// HasGone reports whether a server is known to be down: a connection is refused, or accepted and closed within the given
// time. A connection that is reset tells nothing, since a server with too many connections resets new ones.
func (c *Client) HasGone(ctx context.Context, address netip.AddrPort, wait time.Duration) bool {
	err := c.probe(ctx, address, wait)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.EOF)
}

// probe returns an error unless a server accepts a connection and keeps it open for the given time.
func (c *Client) probe(ctx context.Context, address netip.AddrPort, wait time.Duration) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if wait == 0 {
		return nil
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
