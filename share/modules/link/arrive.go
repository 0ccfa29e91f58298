package link

import (
	"net"
	"time"
)

// arrivals reads a stream whose messages may take longer than any fixed timeout: it is bounded
// by the pauses between two arrivals.
type arrivals struct {
	net.Conn
	// stall is the longest pause; 0: no bound, as where the peer speaks only now and then.
	stall     time.Duration
	onArrival func()
}

// Read waits for the next bytes, at most for the stall time.
func (a *arrivals) Read(p []byte) (int, error) {
	if a.stall > 0 {
		if err := a.SetReadDeadline(time.Now().Add(a.stall)); err != nil {
			return 0, ErrLink.Wrap(err)
		}
	}
	n, err := a.Conn.Read(p)
	if n > 0 {
		a.onArrival()
	}
	return n, err
}
