// Package relay passes bytes between two processes of a test and can drop,
// delay or cut connections, or let them fall silent for good.
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
	pieceBytes = 32 << 10
	// noCut stands for a cut that is not set.
	noCut = -1
)

// Relay listens on loopback and passes every connection on to its target.
type Relay struct {
	target   string
	listener net.Listener

	lock sync.Mutex
	// pairs holds the open connections.
	pairs map[*pair]bool
	// held is closed when bytes may pass again; nil while they may.
	held chan struct{}
	// answersOnly holds only the bytes of answers: a link that is cut one way.
	answersOnly bool
	// refusing is set while new connections are closed at once.
	refusing bool
	delay    time.Duration
	// cutAfter counts down the bytes of answers until a connection is closed; noCut: never.
	cutAfter int
	// cuts counts the connections that were closed so.
	cuts int
	// passed counts the bytes of answers.
	passed int
}

// pair is one connection and its continuation.
type pair struct {
	caller, target net.Conn
	// silent is set for good once the pair carries nothing any more.
	silent bool
}

// NewRelay listens on a free port and passes connections on to the target.
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

// Address returns where the relay listens.
func (r *Relay) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(r.listener.Addr().String())
	return address
}

// Close ends the relay and every connection through it.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Resume()
	r.Drop()
}

// Silence lets the open connections stay open and carry nothing, for good; new ones work.
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

// Refuse says whether new connections are closed at once.
func (r *Relay) Refuse(refusing bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.refusing = refusing
}

// Hold keeps all bytes back until Resume, also those of new connections.
func (r *Relay) Hold() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.answersOnly = false
	if r.held == nil {
		r.held = make(chan struct{})
	}
}

// HoldAnswers keeps the bytes of answers back until Resume; those of requests pass.
func (r *Relay) HoldAnswers() {
	r.Hold()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.answersOnly = true
}

// Resume lets the bytes pass again.
func (r *Relay) Resume() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.held != nil {
		close(r.held)
		r.held = nil
	}
}

// Delay passes each piece on later by d.
func (r *Relay) Delay(d time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.delay = d
}

// CutAfter closes the connection that carries the n-th byte of answers from now on, after that byte.
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

// CountPassed returns the number of bytes of answers that were passed on.
func (r *Relay) CountPassed() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.passed
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

// runCopy passes one direction on until it ends; answers is set for the one towards the caller.
func (r *Relay) runCopy(p *pair, from, to net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !r.pass(p, to, piece[:n], answers) {
			break
		}
		if err != nil {
			break
		}
	}
	r.end(p)
}

// end closes both connections, but not those of a silent pair: neither end may learn of the other's end.
func (r *Relay) end(p *pair) {
	r.lock.Lock()
	silent := p.silent
	delete(r.pairs, p)
	r.lock.Unlock()
	if !silent {
		p.close()
	}
}

// pass writes a piece under the faults in force; false ends the connection.
func (r *Relay) pass(p *pair, to net.Conn, piece []byte, answers bool) bool {
	r.lock.Lock()
	held, delay := r.held, r.delay
	if r.answersOnly && !answers {
		held = nil
	}
	r.lock.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if held != nil {
		<-held
	}
	r.lock.Lock()
	silent := p.silent
	cut := false
	if answers && !silent {
		piece, cut = r.count(piece)
	}
	r.lock.Unlock()
	if silent {
		return true
	}
	_, err := to.Write(piece)
	return err == nil && !cut
}

// count takes the piece off the bytes until the cut; called under the lock.
func (r *Relay) count(piece []byte) (rest []byte, cut bool) {
	if r.cutAfter >= 0 {
		cut = len(piece) >= r.cutAfter
		if cut {
			piece = piece[:r.cutAfter]
			r.cutAfter = noCut
			r.cuts++
		} else {
			r.cutAfter -= len(piece)
		}
	}
	r.passed += len(piece)
	return piece, cut
}
