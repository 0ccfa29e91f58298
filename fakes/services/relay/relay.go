// Package relay stands in for the links between regions: it carries TCP
// connections with a delay in each direction, counts their bytes, and can cut
// the links of a region without closing a connection.
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
	dialTimeout = 5 * time.Second
	pieceBytes  = 32 << 10
	// inFlight bounds the pieces on their way in one direction, as a link's buffers do.
	inFlight = 1024
)

// Target is where one listener's connections lead.
type Target struct {
	Name string
	// Region is the one that the target stands in; a cut of it stops the link.
	Region  string
	Address netip.AddrPort
}

// Relay carries the connections of its links.
type Relay struct {
	delay time.Duration

	lock  sync.Mutex
	links []*link
	// lifted is closed when the cuts in force change; cut names the regions that are cut off.
	lifted chan struct{}
	cut    map[string]bool
	bytes  uint64
}

// link is one listener and its target.
type link struct {
	relay    *Relay
	target   Target
	listener net.Listener
}

// NewRelay returns a relay that delays each direction.
func NewRelay(delay time.Duration) *Relay {
	return &Relay{delay: delay, lifted: make(chan struct{}), cut: map[string]bool{}}
}

// Open listens on a free port of loopback for the target.
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

// SetCut cuts off these regions and no others.
func (r *Relay) SetCut(regions []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cut = map[string]bool{}
	for _, region := range regions {
		r.cut[region] = true
	}
	close(r.lifted)
	r.lifted = make(chan struct{})
}

// Bytes returns how many were carried.
func (r *Relay) Bytes() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.bytes
}

// Close ends the listeners; connections end with the process.
func (r *Relay) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, l := range r.links {
		_ = l.listener.Close()
	}
}

// wait returns once the region is not cut off. Bytes that meet a cut are kept
// until then, since TCP would send them again.
func (r *Relay) wait(region string) {
	for {
		r.lock.Lock()
		cut, lifted := r.cut[region], r.lifted
		r.lock.Unlock()
		if !cut {
			return
		}
		<-lifted
	}
}

func (r *Relay) count(n int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.bytes += uint64(n) //nolint:gosec // a length
}

// loop takes connections until the listener closes.
func (l *link) loop() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := &carrier{link: l, near: near}
		go c.run()
	}
}

// carrier is one connection.
type carrier struct {
	link *link
	near net.Conn
}

func (c *carrier) run() {
	c.link.relay.wait(c.link.target.Region)
	dialer := &net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(context.Background(), "tcp", c.link.target.Address.String())
	if err != nil {
		_ = c.near.Close()
		return
	}
	out := newPipe(c.link, c.near, far)
	back := newPipe(c.link, far, c.near)
	go out.runRead()
	go out.runWrite()
	go back.runRead()
	go back.runWrite()
}

// pipe is one direction of a connection.
type pipe struct {
	link   *link
	from   net.Conn
	to     net.Conn
	pieces chan piece
}

// piece arrives at its due time.
type piece struct {
	due  time.Time
	data []byte
}

func newPipe(l *link, from, to net.Conn) *pipe {
	return &pipe{link: l, from: from, to: to, pieces: make(chan piece, inFlight)}
}

// runRead takes what one end sends.
func (p *pipe) runRead() {
	defer close(p.pieces)
	for {
		data := make([]byte, pieceBytes)
		n, err := p.from.Read(data)
		if n > 0 {
			p.link.relay.count(n)
			p.pieces <- piece{due: time.Now().Add(p.link.relay.delay), data: data[:n]}
		}
		if err != nil {
			return
		}
	}
}

// runWrite hands it on when it is due. The close of an end passes the same way.
func (p *pipe) runWrite() {
	last := time.Now()
	for next := range p.pieces {
		last = next.due
		p.pass(next)
	}
	time.Sleep(time.Until(last))
	p.link.relay.wait(p.link.target.Region)
	_ = p.to.Close()
	_ = p.from.Close()
}

func (p *pipe) pass(next piece) {
	time.Sleep(time.Until(next.due))
	p.link.relay.wait(p.link.target.Region)
	if _, err := p.to.Write(next.data); err != nil {
		_ = p.from.Close()
	}
}
