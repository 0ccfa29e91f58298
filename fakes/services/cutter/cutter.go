// Package cutter is a backend server whose answers stop: it sends the first bytes of an answer and closes the connection.
package cutter

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrCutter is the class of errors of this package.
var ErrCutter = errs.Class("cutter") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Answer is the answer to one request.
type Answer struct {
	// Text is the whole answer, from its status line on.
	Text string
	// Sent is how many bytes of it are sent at most before the connection is closed.
	Sent int
	// Pause is the time before each event of a stream but the first.
	Pause time.Duration
}

// Server answers one request on each connection, with what Handler returns after the body was read.
type Server struct {
	Handler func(r *http.Request) Answer

	listener net.Listener
	lock     sync.Mutex
	// open holds the open connections.
	open map[net.Conn]bool
}

// Start listens at a loopback address and begins to serve.
func (s *Server) Start() error {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return ErrCutter.Wrap(err)
	}
	s.listener = listener
	s.open = map[net.Conn]bool{}
	go s.run()
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String()) // a TCP listener has such an address
	return address
}

// Close closes the listener and all connections, as the kernel does for a process that is killed.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		s.lock.Lock()
		s.open[conn] = true
		s.lock.Unlock()
		go s.runConn(conn)
	}
}

func (s *Server) runConn(conn net.Conn) {
	defer s.drop(conn)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	answer := s.Handler(r)
	for n, part := range strings.SplitAfter(answer.Text[:min(answer.Sent, len(answer.Text))], "\n\n") {
		if n > 0 {
			time.Sleep(answer.Pause)
		}
		_, _ = io.WriteString(conn, part) // an error means that the caller has left
	}
}

func (s *Server) drop(conn net.Conn) {
	_ = conn.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, conn)
}
