package reach

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"verbenaroad.example/share/modules/socket"
)

// maxSpareAge is how long after it was opened a spare connection may be used. Servers close idle
// connections after a few seconds, some without notifying the client.
const maxSpareAge = 1200 * time.Millisecond

// spares holds connections that were opened in advance, at most one for each server, and have not
// been used yet. Each of them serves a single request.
//
// Opening a connection delays a request by one round trip, which takes 25 ms between regions, at
// each of three stages and at the engine. A connection that is opened while the previous call is in
// flight avoids this delay.
type spares struct {
	dialer *net.Dialer

	lock sync.Mutex
	// held is keyed by the address of the server.
	held map[string]spare
}

type spare struct {
	conn   net.Conn
	opened time.Time
}

func newSpares(dialer *net.Dialer) *spares {
	return &spares{dialer: dialer, held: map[string]spare{}}
}

// dial returns the spare connection to an address if it is usable, and otherwise opens one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn := s.take(address)
	if conn == nil {
		var err error
		if conn, err = s.dialer.DialContext(ctx, network, address); err != nil {
			return nil, err
		}
	}
	return &sentConn{Conn: conn}, nil
}

// take removes and returns the spare connection to an address, or nil if there is no usable one.
func (s *spares) take(address string) net.Conn {
	s.lock.Lock()
	held, found := s.held[address]
	delete(s.held, address)
	s.lock.Unlock()
	if !found {
		return nil
	}
	if time.Since(held.opened) > maxSpareAge || !isUsable(held.conn) {
		_ = held.conn.Close()
		return nil
	}
	return held.conn
}

// isUsable reports whether a connection is open and the server has sent nothing on it.
//
// Guards against using a connection that the server has closed or reset in the meantime. The request
// would be lost, and a non-idempotent one would not be retried.
func isUsable(conn net.Conn) bool {
	hasInput, err := socket.HasInput(conn)
	return err == nil && !hasInput
}

// preconnect opens a spare connection in the background unless a recent one exists.
func (s *spares) preconnect(address netip.AddrPort) {
	s.lock.Lock()
	defer s.lock.Unlock()
	name := address.String()
	if held, found := s.held[name]; found && time.Since(held.opened) < maxSpareAge/2 {
		return
	}
	go s.runOpen(name)
}

// runOpen opens a spare connection, and closes the one that it replaces and all expired ones.
func (s *spares) runOpen(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the request dials again and reports the error
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for name, held := range s.held {
		if name == address || time.Since(held.opened) > maxSpareAge {
			_ = held.conn.Close()
			delete(s.held, name)
		}
	}
	s.held[address] = spare{conn: conn, opened: time.Now()}
}
