package link

import (
	"net"
	"time"
)

// stallConn limits the time between two arrivals of data on a stream, and not the time for a whole
// message, which may take longer than any fixed timeout.
type stallConn struct {
	net.Conn
	// stallTimeout is the longest time without data. 0 means no limit, for streams on which the
	// peer sends only occasionally.
	stallTimeout time.Duration
	// onArrival is called after each read that returned data.
	onArrival func()
}

// Read waits for data, at most for stallTimeout if that is set.
func (a *stallConn) Read(p []byte) (int, error) {
	if a.stallTimeout > 0 {
		if err := a.SetReadDeadline(time.Now().Add(a.stallTimeout)); err != nil {
			return 0, ErrLink.Wrap(err)
		}
	}
	n, err := a.Conn.Read(p)
	if n > 0 {
		a.onArrival()
	}
	return n, err
}
