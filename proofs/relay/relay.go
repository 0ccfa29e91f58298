// Package relay forwards TCP connections between two processes of a test and injects network
// faults: it can close, refuse, delay, hold or cut connections, or make them silent for good.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrRelay is the class of errors of this package.
var ErrRelay = errs.Class("relay") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	bufferBytes = 32 << 10
	// noCut is the value of Relay.cutAfter while no cut is set.
	noCut = -1
)

// Relay listens on loopback and forwards every connection to its target. The bytes from the target
// to the caller are called answers.
type Relay struct {
	target   string
	listener net.Listener

	// lock guards the fields below and pair.silent.
	lock sync.Mutex
	// pairs holds the open connections.
	pairs map[*pair]bool
	// resumed is closed by Resume; nil while no bytes are held.
	resumed chan struct{}
	// holdAnswersOnly is set if only the answers are held, as on a link that has failed in one
	// direction.
	holdAnswersOnly bool
	// refusing is set while new connections are closed at once.
	refusing bool
	delay    time.Duration
	// cutAfter is the number of answer bytes until a connection is closed; noCut: none is closed.
	cutAfter int
	// cuts is the number of connections that were closed because of cutAfter.
	cuts int
	// forwardedBytes is the number of answer bytes that were forwarded.
	forwardedBytes int
}

// pair is a connection from a caller and the connection to the target that continues it.
type pair struct {
	caller, target net.Conn
	// silent is set once the pair must not carry any more bytes. It is never reset.
	silent bool
}

// NewRelay listens on a free port and forwards connections to the target.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrRelay.Wrap(err)
	}
	r := &Relay{target: target.String(), listener: listener, pairs: map[*pair]bool{}, cutAfter: noCut}
	go r.loop()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(r.listener.Addr().String())
	return address
}

// Close stops the relay and closes every connection through it.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Resume()
	r.Drop()
}

// Silence makes the open connections carry no more bytes, for good, while they stay open. New
// connections work.
func (r *Relay) Silence() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for p := range r.pairs {
		p.silent = true
	}
}

// Drop closes the open connections.
func (r *Relay) Drop() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Reset resets the open connections.
func (r *Relay) Reset() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// Refuse sets whether new connections are closed at once.
func (r *Relay) Refuse(refusing bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.refusing = refusing
}

// Hold holds all bytes back until Resume, including those of new connections.
func (r *Relay) Hold() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.holdAnswersOnly = false
	if r.resumed == nil {
		r.resumed = make(chan struct{})
	}
}

// HoldAnswers holds the answers back until Resume, while the bytes of requests are forwarded.
func (r *Relay) HoldAnswers() {
	r.Hold()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.holdAnswersOnly = true
}

// Resume ends Hold and HoldAnswers.
func (r *Relay) Resume() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.resumed != nil {
		close(r.resumed)
		r.resumed = nil
	}
}

// Delay makes the relay wait for d before it forwards what it has read.
func (r *Relay) Delay(d time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.delay = d
}

// CutAfter closes the connection that carries the n-th answer byte from now on, right after that
// byte. A negative n cancels the cut.
func (r *Relay) CutAfter(n int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.cutAfter = n
}

// CountCuts returns the number of connections that CutAfter closed.
func (r *Relay) CountCuts() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.cuts
}

// CountPassed returns the number of answer bytes that were forwarded.
func (r *Relay) CountPassed() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.forwardedBytes
}

// CountOpen returns the number of open connections.
func (r *Relay) CountOpen() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.pairs)
}

func (r *Relay) loop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.run(conn)
	}
}

func (r *Relay) run(caller net.Conn) {
	dialer := net.Dialer{}
	target, err := dialer.DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p := &pair{caller: caller, target: target}
	if !r.add(p) {
		p.close()
		return
	}
	go r.runCopy(p, caller, target, false)
	r.runCopy(p, target, caller, true)
}

func (r *Relay) add(p *pair) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.refusing {
		return false
	}
	r.pairs[p] = true
	return true
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.target.Close()
}

// reset ends both connections so that neither end takes what it has received for complete.
func (p *pair) reset() {
	for _, conn := range []net.Conn{p.caller, p.target} {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // Close then discards what was not sent, and resets the connection
		}
	}
	p.close()
}

// runCopy forwards one direction of a pair until it ends. answers is set for the direction to the
// caller.
func (r *Relay) runCopy(p *pair, from, to net.Conn, answers bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.forward(p, to, buffer[:n], answers) {
			break
		}
		if err != nil {
			wasReset := !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed)
			r.remove(p, wasReset)
			return
		}
	}
	r.remove(p, false)
}

// remove closes both connections of a pair that has ended, or resets them if one of them was reset, unless the pair is
// silent: neither end of a silent pair may notice that the other has closed its connection.
func (r *Relay) remove(p *pair, wasReset bool) {
	r.lock.Lock()
	silent := p.silent
	delete(r.pairs, p)
	r.lock.Unlock()
	switch {
	case silent:
	case wasReset:
		p.reset()
	default:
		p.close()
	}
}

// forward writes the data as far as the injected faults allow. It returns false if the pair must be
// closed.
func (r *Relay) forward(p *pair, to net.Conn, data []byte, answers bool) bool {
	r.lock.Lock()
	resumed, delay := r.resumed, r.delay
	if r.holdAnswersOnly && !answers {
		resumed = nil
	}
	r.lock.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if resumed != nil {
		<-resumed
	}
	r.lock.Lock()
	silent := p.silent
	cut := false
	if answers && !silent {
		data, cut = r.countAnswer(data)
	}
	r.lock.Unlock()
	if silent {
		return true
	}
	_, err := to.Write(data)
	return err == nil && !cut
}

// countAnswer counts the answer bytes. It returns the part of the data up to the cut, and whether
// the cut is in the data. It is called under the lock.
func (r *Relay) countAnswer(data []byte) (rest []byte, cut bool) {
	if r.cutAfter >= 0 {
		cut = len(data) >= r.cutAfter
		if cut {
			data = data[:r.cutAfter]
			r.cutAfter = noCut
			r.cuts++
		} else {
			r.cutAfter -= len(data)
		}
	}
	r.forwardedBytes += len(data)
	return data, cut
}
