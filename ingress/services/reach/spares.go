package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// spareTime is how long a connection that was opened ahead may be used. Servers close
// idle connections after seconds, some without a word.
const spareTime = 1200 * time.Millisecond

// spares holds connections that were opened ahead and never used. Each carries one
// request, as any other does.
//
// A new connection costs a round trip before its request leaves, 25 ms between regions,
// at each of three stages and at the engine; opened while the call before is under way it
// costs none.
type spares struct {
	dialer *net.Dialer

	lock sync.Mutex
	held map[string]spare
}

type spare struct {
	conn   net.Conn
	opened time.Time
}

func newSpares(dialer *net.Dialer) *spares {
	return &spares{dialer: dialer, held: map[string]spare{}}
}

// dial returns the connection that was opened ahead, or opens one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := s.take(address); conn != nil {
		return conn, nil
	}
	return s.dialer.DialContext(ctx, network, address)
}

func (s *spares) take(address string) net.Conn {
	s.lock.Lock()
	held, found := s.held[address]
	delete(s.held, address)
	s.lock.Unlock()
	if !found {
		return nil
	}
	if time.Since(held.opened) > spareTime || !isQuiet(held.conn) {
		_ = held.conn.Close()
		return nil
	}
	return held.conn
}

// isQuiet tells whether a connection is open and nothing was sent on it.
//
// Guards against a server that closed or reset it meanwhile: a request sent there would
// be lost, and one that runs at most once would not be sent again.
func isQuiet(conn net.Conn) bool {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		_, _, received := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(received, unix.EAGAIN)
	})
	return err == nil && quiet
}

// warm opens a connection ahead unless there is one.
func (s *spares) warm(address netip.AddrPort) {
	s.lock.Lock()
	defer s.lock.Unlock()
	name := address.String()
	if held, found := s.held[name]; found && time.Since(held.opened) < spareTime/2 {
		return
	}
	go s.runOpen(name)
}

func (s *spares) runOpen(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the request opens one itself, and tells why it cannot
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for name, held := range s.held {
		if name == address || time.Since(held.opened) > spareTime {
			_ = held.conn.Close()
			delete(s.held, name)
		}
	}
	s.held[address] = spare{conn: conn, opened: time.Now()}
}
