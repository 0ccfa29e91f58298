package mesh_test

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
)

// memoryNetwork connects listeners and dialers within the process, so that a test may run with a clock of its
// own.
type memoryNetwork struct {
	lock      sync.Mutex
	listeners map[netip.AddrPort]*memoryListener
	conns     []net.Conn
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[netip.AddrPort]*memoryListener{}}
}

// memoryListener accepts connections of a memoryNetwork.
type memoryListener struct {
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

// maxQueued is the number of connections that wait to be accepted at most.
const maxQueued = 4096

func (n *memoryNetwork) listen() net.Listener {
	n.lock.Lock()
	defer n.lock.Unlock()
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+len(n.listeners))) //nolint:gosec // a small number
	l := &memoryListener{address: address, accepted: make(chan net.Conn, maxQueued), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *memoryNetwork) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, errs.New("nothing listens at %s", address)
	}
	here, there := net.Pipe()
	n.conns = append(n.conns, here, there)
	select {
	case l.accepted <- there:
		return here, nil
	default:
		return nil, errs.New("too many connections wait at %s", address)
	}
}

// closeAll closes all connections.
func (n *memoryNetwork) closeAll() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
