// Package httpd is the HTTP server that all programs use. It runs nbhttp and cancels the context of
// a request when its caller disconnects.
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

// DefaultWriteBuffer is the default of Options.WriteBuffer.
const DefaultWriteBuffer = 4 << 20

// Options are the settings of a Server.
type Options struct {
	Address netip.AddrPort
	Handler http.Handler
	// MaxBodyBytes is the largest request body accepted, which also limits the memory that one
	// connection can occupy; 0: the limits of nbhttp.
	MaxBodyBytes int
	// Refuse returns the answer to a request that is refused before it reaches the handler; nil: the
	// connection is closed without an answer.
	Refuse RefuseFunc
	// Certificate is the certificate of the server; nil: no TLS.
	Certificate *Certificate
	// WriteBuffer is how many bytes may wait for one slow reader; a connection that exceeds it is
	// closed. 0: DefaultWriteBuffer.
	WriteBuffer int
}

// sweepInterval is how often the server checks for callers that have disconnected.
const sweepInterval = 25 * time.Millisecond

// closable is a connection that reports whether it is closed.
type closable interface {
	IsClosed() (bool, error)
	Close() error
}

// Server is an HTTP server on nbhttp.
type Server struct {
	options  Options
	engine   *nbhttp.Engine
	handler  http.Handler
	listener net.Listener
	done     chan struct{}
	// wake makes loop start to sweep; it buffers one signal.
	wake chan struct{}

	// opened counts accepted connections. nbio passes a connection from the accepting goroutine to a
	// polling one through the kernel, which the race detector cannot see. The counter is written
	// before and read after that, so that the race detector sees their order.
	opened atomic.Uint64

	lock sync.Mutex
	// running holds the connection and cancel function of each request whose handler has not returned.
	running map[*http.Request]runningRequest
	// lingering holds the connections that their callers should close, oldest first.
	lingering []lingeringConn
	// newConns holds the open connections on which no request has reached the handler yet.
	newConns map[closable]bool
}

type runningRequest struct {
	conn   closable
	cancel context.CancelFunc
}

// NewServer listens on options.Address and starts to serve.
func NewServer(options Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	if options.WriteBuffer == 0 {
		options.WriteBuffer = DefaultWriteBuffer
	}
	s := &Server{
		options:  options,
		handler:  options.Handler,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		running:  map[*http.Request]runningRequest{},
		newConns: map[closable]bool{},
	}
	s.engine = nbhttp.NewEngine(s.newConfig())
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(s.onData)
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
		// The parser keeps a body of known length until it is complete. Its own limit for that is
		// 64 MB per connection.
		c.ReadLimit = s.options.MaxBodyBytes + maxHeaderBytes + readBufferSize
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

// Address returns the address on which the server listens.
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

// serve runs the handler with a context that is canceled when the request's connection closes.
// nbhttp does not cancel it, and calls its close hook only after the handler has returned: the work
// of a caller that disconnected would occupy its slot in every stage until its deadline.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	running := runningRequest{cancel: cancel}
	if response, ok := w.(*nbhttp.Response); ok {
		running.conn = connOf(response)
		w = statusWriter{response}
	}
	if r.Close && running.conn != nil {
		leaveOpen(w, r)
		defer s.linger(running.conn)
	}
	r = r.WithContext(ctx)
	s.lock.Lock()
	s.running[r] = running
	delete(s.newConns, running.conn)
	s.lock.Unlock()
	s.wakeLoop()
	defer s.removeRunning(r)
	s.handler.ServeHTTP(newChunkWriter(w), r)
}

// connOf returns the network connection under the layers of nbhttp and TLS, or nil.
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

func (s *Server) removeRunning(r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.running, r)
}

// loop sweeps while requests run or connections linger, and blocks otherwise: in an idle server the
// timer of the sweep would use as much CPU time as its heartbeats.
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

// sweepUntilIdle sweeps until nothing is left to check. It returns false if the server is closed
// before that.
func (s *Server) sweepUntilIdle() bool {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return false
		case <-ticker.C:
		}
		if s.cancelDisconnected() {
			return true
		}
	}
}

// wakeLoop starts the sweep. It is called after a request or a lingering connection was recorded.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// cancelDisconnected cancels the requests whose caller has disconnected and closes overdue
// lingering connections. It reports whether nothing is left to check.
func (s *Server) cancelDisconnected() (idle bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closeLingering(time.Now())
	for _, running := range s.running {
		if running.conn == nil {
			continue
		}
		if closed, _ := running.conn.IsClosed(); closed {
			running.cancel()
		}
	}
	return len(s.running) == 0 && len(s.lingering) == 0
}
