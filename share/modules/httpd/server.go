// Package httpd is the HTTP server of all programs: nbhttp, with a request
// context that ends when the caller hangs up.
package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/zeebo/errs"
)

// ErrServer is the class of errors of this package.
var ErrServer = errs.Class("http server") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// DefaultWriteBuffer bounds what may wait for one slow reader; over it the connection is closed.
const DefaultWriteBuffer = 4 << 20

// Options are the settings of a Server.
type Options struct {
	Address netip.AddrPort
	Handler http.Handler
	// MaxBodyBytes bounds a request body; a longer one ends its connection.
	MaxBodyBytes int
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
	engine   *nbhttp.Engine
	handler  http.Handler
	listener net.Listener
	done     chan struct{}

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
		handler: options.Handler,
		done:    make(chan struct{}),
		running: map[*http.Request]runningCall{},
		fresh:   map[closable]bool{},
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{options.Address.String()},
		Listen:             s.listen,
		Handler:            http.HandlerFunc(s.serve),
		MaxHTTPBodySize:    options.MaxBodyBytes,
		MaxWriteBufferSize: options.WriteBuffer,
	})
	s.engine.OnOpen(s.noteOpen)
	s.engine.OnClose(s.noteClosed)
	if err := s.engine.Start(); err != nil {
		return nil, ErrServer.Wrap(err)
	}
	go s.loop()
	return s, nil
}

func (s *Server) listen(network, address string) (net.Listener, error) {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), network, address)
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
	defer s.forget(r)
	s.handler.ServeHTTP(w, r)
}

func connOf(response *nbhttp.Response) closable {
	conn := response.Parser.Conn
	if outer, ok := conn.(*nbhttp.Conn); ok {
		conn = outer.Conn
	}
	inner, _ := conn.(closable)
	return inner
}

func (s *Server) forget(r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.running, r)
}

// loop looks for requests whose caller has gone.
func (s *Server) loop() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.cancelGone()
		}
	}
}

func (s *Server) cancelGone() {
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
}
