// Package relay is a stand-in for the network links between regions. It forwards TCP connections
// with a delay in each direction, counts their bytes, and can cut the links of a region without
// closing a connection.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrRelay is the class of errors of this package.
var ErrRelay = errs.Class("relay") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	dialTimeout   = 5 * time.Second
	maxChunkBytes = 32 << 10
	// maxChunksInFlight limits the chunks in flight in one direction of a connection, as the
	// buffers of a network link do.
	maxChunksInFlight = 1024
)

// Target is the address to which the connections of one listener are forwarded.
type Target struct {
	Name string
	// Region is the region of the target; while it is cut off, the link forwards nothing.
	Region  string
	Address netip.AddrPort
}

// Relay forwards the connections of its links.
type Relay struct {
	delay time.Duration

	lock  sync.Mutex
	links []*link
	// cutChanged is closed and replaced when cut, the set of regions that are cut off, is replaced.
	cutChanged chan struct{}
	cut        map[string]bool
	bytes      uint64
}

// link is one listener and its target.
type link struct {
	relay    *Relay
	target   Target
	listener net.Listener
}

// NewRelay returns a Relay that delays the bytes of each direction by delay.
func NewRelay(delay time.Duration) *Relay {
	return &Relay{delay: delay, cutChanged: make(chan struct{}), cut: map[string]bool{}}
}

// Open listens on a free loopback port, forwards its connections to the target, and returns the
// listener's address.
func (r *Relay) Open(target Target) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, ErrRelay.Wrap(err)
	}
	l := &link{relay: r, target: target, listener: listener}
	r.lock.Lock()
	r.links = append(r.links, l)
	r.lock.Unlock()
	go l.loop()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// SetCut cuts off exactly the given regions; it restores all others.
func (r *Relay) SetCut(regions []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cut = map[string]bool{}
	for _, region := range regions {
		r.cut[region] = true
	}
	close(r.cutChanged)
	r.cutChanged = make(chan struct{})
}

// Bytes returns the number of bytes received from both ends of all connections.
func (r *Relay) Bytes() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.bytes
}

// Close closes the listeners. It does not close the connections, which end with the process.
func (r *Relay) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, l := range r.links {
		_ = l.listener.Close()
	}
}

// waitWhileCut blocks while the region is cut off. Bytes that reach a cut link are kept until then,
// since TCP would retransmit them.
func (r *Relay) waitWhileCut(region string) {
	for {
		r.lock.Lock()
		cut, changed := r.cut[region], r.cutChanged
		r.lock.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

func (r *Relay) count(n int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.bytes += uint64(n) //nolint:gosec // a length
}

// loop accepts connections until the listener is closed.
func (l *link) loop() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := &forwarder{link: l, client: client}
		go c.run()
	}
}

// forwarder forwards one connection.
type forwarder struct {
	link   *link
	client net.Conn
}

func (c *forwarder) run() {
	c.link.relay.waitWhileCut(c.link.target.Region)
	dialer := &net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(context.Background(), "tcp", c.link.target.Address.String())
	if err != nil {
		_ = c.client.Close()
		return
	}
	out := newPipe(c.link, c.client, server)
	back := newPipe(c.link, server, c.client)
	go out.runRead()
	go out.runWrite()
	go back.runRead()
	go back.runWrite()
}

// pipe forwards one direction of a connection.
type pipe struct {
	link   *link
	from   net.Conn
	to     net.Conn
	chunks chan chunk
}

// chunk is a part of the bytes of one direction, to be written at its due time.
type chunk struct {
	due  time.Time
	data []byte
}

func newPipe(l *link, from, to net.Conn) *pipe {
	return &pipe{link: l, from: from, to: to, chunks: make(chan chunk, maxChunksInFlight)}
}

// runRead reads chunks from one end and queues them with their due time.
func (p *pipe) runRead() {
	defer close(p.chunks)
	for {
		data := make([]byte, maxChunkBytes)
		n, err := p.from.Read(data)
		if n > 0 {
			p.link.relay.count(n)
			p.chunks <- chunk{due: time.Now().Add(p.link.relay.delay), data: data[:n]}
		}
		if err != nil {
			return
		}
	}
}

// runWrite writes the queued chunks when they are due. The close of the reading end is forwarded
// with the same delay.
func (p *pipe) runWrite() {
	last := time.Now()
	for next := range p.chunks {
		last = next.due
		p.write(next)
	}
	time.Sleep(time.Until(last))
	p.link.relay.waitWhileCut(p.link.target.Region)
	_ = p.to.Close()
	_ = p.from.Close()
}

// write writes a chunk when it is due and the region is not cut off. If the write fails, it closes
// the reading end.
func (p *pipe) write(next chunk) {
	time.Sleep(time.Until(next.due))
	p.link.relay.waitWhileCut(p.link.target.Region)
	if _, err := p.to.Write(next.data); err != nil {
		_ = p.from.Close()
	}
}
