package main

import (
	"net"
	"sync"
	"time"
)

// relay is a link: it forwards the connections of one machine to an address. It can make the open
// connections go silent for good, while new ones work, and it can reset them.
type relay struct {
	target  string
	address string

	lock  sync.Mutex
	pairs map[*pair]bool
}

type pair struct {
	caller, target net.Conn
	silent         bool
}

func newRelay(target string) *relay {
	listener := listen()
	r := &relay{target: target, address: listener.Addr().String(), pairs: map[*pair]bool{}}
	go r.loop(listener)
	return r
}

func (r *relay) loop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.run(conn)
	}
}

func (r *relay) run(caller net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = caller.Close()
		return
	}
	p := &pair{caller: caller, target: target}
	r.lock.Lock()
	r.pairs[p] = true
	r.lock.Unlock()
	go r.copy(p, target, caller)
	r.copy(p, caller, target)
}

// copy forwards one direction until it ends or the pair goes silent. The sockets of a silent pair stay
// open until the program ends: neither end learns anything.
func (r *relay) copy(p *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.lock.Lock()
		silent := p.silent
		r.lock.Unlock()
		if silent {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			r.lock.Lock()
			delete(r.pairs, p)
			r.lock.Unlock()
			_ = p.caller.Close()
			_ = p.target.Close()
			return
		}
	}
}

// silence makes the open connections carry no more bytes, and returns their number.
func (r *relay) silence() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	for p := range r.pairs {
		p.silent = true
	}
	return len(r.pairs)
}
