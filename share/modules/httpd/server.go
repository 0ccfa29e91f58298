// Package httpd is the HTTP server of all programs: nbhttp, with a request
// context that ends when the caller hangs up.
package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/listen"
)

// ErrServer is the class of errors of this package.
var ErrServer = errs.Class("http server") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// DefaultWriteBuffer bounds what may wait for one slow reader; over it the connection is closed.
const DefaultWriteBuffer = 4 << 20

// Options are the settings of a Server.
type Options struct {
	Address netip.AddrPort
	Handler http.Handler
	// MaxBodyBytes bounds a request body, and with it what one connection can make the server hold.
	MaxBodyBytes int
	// Refuse answers what never becomes a request for the handler; nil: the connection just closes.
	Refuse Refuse
	// Certificate is the server's; nil: plain.
	Certificate *Certificate
	// WriteBuffer bounds what may wait for one slow reader.
	WriteBuffer int
}

// sweepEvery is how soon the work of a caller that hung up is ended.
const sweepEvery = 25 * time.Millisecond

// closable is a connection that knows whether the other end has gone.
type closable interface {
	IsClosed() (bool, error)
	Close() error
}

// Server is an nbhttp server.
type Server struct {
	options  Options
	engine   *nbhttp.Engine
	handler  http.Handler
	listener net.Listener
	done     chan struct{}
	// wake asks the loop to sweep; it holds one request at most.
	wake chan struct{}

	// opened counts connections. nbio hands one from the accepting goroutine to
	// a polling one through the kernel, which the race detector cannot see; this
	// is written before and read after it.
	opened atomic.Uint64

	lock sync.Mutex
	// running holds the cancel function of each request whose handler has not returned.
	running map[*http.Request]runningCall
	// lingering holds the connections that their callers should close, the oldest first.
	lingering []lingering
	// fresh holds the connections that have brought no request yet.
	fresh map[closable]bool
}

type runningCall struct {
	conn   closable
	cancel context.CancelFunc
}

// NewServer listens and serves at once.
func NewServer(options Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	if options.WriteBuffer == 0 {
		options.WriteBuffer = DefaultWriteBuffer
	}
	s := &Server{
		options: options,
		handler: options.Handler,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		running: map[*http.Request]runningCall{},
		fresh:   map[closable]bool{},
	}
	s.engine = nbhttp.NewEngine(s.newConfig())
	s.engine.OnOpen(s.noteOpen)
	s.engine.OnClose(s.noteClosed)
	s.engine.OnData(s.takeData)
	if err := s.engine.Start(); err != nil {
		return nil, ErrServer.Wrap(err)
	}
	go s.loop()
	return s, nil
}

func (s *Server) newConfig() nbhttp.Config {
	c := nbhttp.Config{
		Network:            "tcp",
		Listen:             s.listen,
		Handler:            http.HandlerFunc(s.serve),
		MaxHTTPBodySize:    s.options.MaxBodyBytes,
		MaxWriteBufferSize: s.options.WriteBuffer,
	}
	if s.options.MaxBodyBytes > 0 {
		// The parser keeps a body of known length until it is whole, and its own
		// limit for that is 64 MB a connection.
		c.ReadLimit = s.options.MaxBodyBytes + maxHeadBytes + readChunk
	}
	address := []string{s.options.Address.String()}
	if s.options.Certificate == nil {
		c.Addrs = address
		return c
	}
	c.AddrsTLS = address
	c.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*s.options.Certificate}}
	return c
}

func (s *Server) listen(_, _ string) (net.Listener, error) {
	listener, err := listen.Open(context.Background(), s.options.Address, net.KeepAliveConfig{})
	s.listener = listener
	return listener, err
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return address
}

// CountRunning returns the number of requests whose handler has not returned.
func (s *Server) CountRunning() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.running)
}

// serve ends the request's context with its connection. nbhttp does not do so
// by itself, and its close hook waits behind the running handler: the work of
// a caller that hung up would hold its slot in every stage until its deadline.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	call := runningCall{cancel: cancel}
	if response, ok := w.(*nbhttp.Response); ok {
		call.conn = connOf(response)
		w = writer{response}
	}
	if r.Close && call.conn != nil {
		leaveOpen(w, r)
		defer s.linger(call.conn)
	}
	r = r.WithContext(ctx)
	s.lock.Lock()
	s.running[r] = call
	delete(s.fresh, call.conn)
	s.lock.Unlock()
	s.wakeLoop()
	defer s.forget(r)
	s.handler.ServeHTTP(newPieceWriter(w), r)
}

func connOf(response *nbhttp.Response) closable {
	conn := response.Parser.Conn
	if outer, ok := conn.(*nbhttp.Conn); ok {
		conn = outer.Conn
	}
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.Conn()
	}
	inner, _ := conn.(closable)
	return inner
}

func (s *Server) forget(r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.running, r)
}

// loop sweeps while there is something to look at, and rests otherwise: an
// idle server's timer would cost as much processor time as its heartbeats.
func (s *Server) loop() {
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		if !s.sweepUntilIdle() {
			return
		}
	}
}

// sweepUntilIdle returns false once the server is closed.
func (s *Server) sweepUntilIdle() bool {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return false
		case <-ticker.C:
		}
		if s.cancelGone() {
			return true
		}
	}
}

// wakeLoop begins the sweep; called after something to look at was noted.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cancelGone looks once for requests whose caller has gone, and reports whether nothing is left to look at.
func (s *Server) cancelGone() (idle bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closeLingering(time.Now())
	for _, call := range s.running {
		if call.conn == nil {
			continue
		}
		if gone, _ := call.conn.IsClosed(); gone {
			call.cancel()
		}
	}
	return len(s.running) == 0 && len(s.lingering) == 0
}
