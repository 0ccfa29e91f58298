// Package serve runs a stand-in as an nbhttp server whose faults are switched over a second
// address, the control address.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/zeebo/errs"

	"verbenaroad.example/fakes/modules/fault"
)

// ErrServe is the class of errors of this package.
var ErrServe = errs.Class("serve") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	maxConnections = 1 << 17
	maxBodyBytes   = 64 << 20
	// keepaliveTime is longer than any blocking query of a stand-in, so that it does not end one.
	keepaliveTime = 15 * time.Minute
	// drainTick is the interval of the checks of drain, and the pause after a failed accept.
	drainTick = 5 * time.Millisecond
)

// Options holds the settings of a Server.
type Options struct {
	// Listen is the address that callers connect to; port 0 selects a free port.
	Listen netip.AddrPort
	// Handler answers the calls. The context of a request is canceled when its connection closes.
	Handler http.Handler
	// KindOf returns the kind under which a call is counted.
	KindOf func(*http.Request) string
}

// Server serves a handler on one address, with the faults in force.
type Server struct {
	options Options
	engine  *nbhttp.Engine
	faults  *fault.Switch
	calls   *callCounter
	// stopping is closed when Stop no longer waits for calls.
	stopping chan struct{}

	mutex    sync.Mutex
	address  netip.AddrPort
	listener net.Listener
	conns    map[*nbio.Conn]*conn
	stopped  bool
	// jobs is the number of jobs that are queued on a connection or running.
	jobs int
}

// NewServer returns a Server that does not listen yet.
func NewServer(options Options) *Server {
	s := &Server{
		options: options,
		faults:  fault.NewSwitch(),
		calls:   newCallCounter(),
		address: options.Listen,
		conns:   map[*nbio.Conn]*conn{},

		stopping: make(chan struct{}),
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:              "fakes",
		MaxLoad:           maxConnections,
		MaxHTTPBodySize:   maxBodyBytes,
		KeepaliveTime:     keepaliveTime,
		Handler:           http.HandlerFunc(s.serveHTTP),
		ServerExecutor:    s.execute,
		SupportServerOnly: true,
	})
	// The hook is set on nbio's engine because nbhttp's engine queues its hook on the connection's
	// job list behind the handler, so a running handler would not be notified that its caller
	// has disconnected.
	s.engine.Engine.OnClose(s.onClose)
	return s
}

// Start listens and serves. Address is valid when it returns.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return ErrServe.Wrap(err)
	}
	return s.listen()
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop closes the listener, waits for the calls in flight until ctx ends, and then closes all
// connections.
func (s *Server) Stop(ctx context.Context) error {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.closeListener()
	err := s.drain(ctx)
	close(s.stopping)
	s.closeConns()
	s.engine.Stop()
	return err
}

// drain waits until no jobs are left; it fails if ctx ends first.
func (s *Server) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for s.countJobs() > 0 {
		select {
		case <-ctx.Done():
			return ErrServe.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) countJobs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobs
}

func (s *Server) addJobs(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.jobs += n
}

// execute runs each job in its own goroutine, so that waiting calls do not block others.
func (s *Server) execute(job func()) {
	go s.run(job)
}

func (s *Server) run(job func()) {
	job()
}

// listen opens the listener unless it is open or the server has stopped.
func (s *Server) listen() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address.String()) //nolint:noctx // binding does not block
	if err != nil {
		return ErrServe.Wrap(err)
	}
	s.listener = listener
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	go s.runAccept(listener)
	return nil
}

func (s *Server) closeListener() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
}

func (s *Server) runAccept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(drainTick)
			continue
		}
		s.addConn(accepted)
	}
}

// addConn sets up an accepted connection as nbhttp does, but with a conn in between that faults can
// mute.
func (s *Server) addConn(accepted net.Conn) {
	inner, err := nbio.NBConn(accepted)
	if err != nil {
		_ = accepted.Close()
		return
	}
	c := newConn(inner)
	s.mutex.Lock()
	s.conns[inner] = c
	s.mutex.Unlock()
	outer := &nbhttp.Conn{Conn: c}
	parser := nbhttp.NewParser(outer, s.engine, nbhttp.NewServerProcessor(), false, s.countingExecutor(inner))
	outer.Parser = parser
	inner.SetSession(parser)
	inner.OnData(c.onData(s.engine.DataHandler))
	c.publish()
	if _, err := s.engine.AddConn(inner); err != nil {
		s.removeConn(inner)
		return
	}
	_ = inner.SetReadDeadline(time.Now().Add(keepaliveTime))
}

// countingExecutor returns the executor of the connection's job list. It counts the jobs, so that
// Stop waits until their answers are written.
func (s *Server) countingExecutor(inner *nbio.Conn) func(func()) bool {
	return func(job func()) bool {
		s.addJobs(1)
		accepted := inner.Execute(func() {
			defer s.addJobs(-1)
			job()
		})
		if !accepted {
			s.addJobs(-1)
		}
		return accepted
	}
}

// removeConn removes a closed connection and cancels its context, so that the handler stops working
// for it.
func (s *Server) removeConn(inner *nbio.Conn) {
	s.mutex.Lock()
	c := s.conns[inner]
	delete(s.conns, inner)
	s.mutex.Unlock()
	if c != nil {
		c.cancel()
	}
}

func (s *Server) onClose(inner *nbio.Conn, err error) {
	s.removeConn(inner)
	inner.MustExecute(func() {
		if parser, ok := inner.Session().(nbhttp.ParserCloser); ok {
			parser.CloseAndClean(err)
		}
	})
}

func (s *Server) listConns() []*conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		list = append(list, c)
	}
	return list
}

func (s *Server) closeConns() {
	for _, c := range s.listConns() {
		_ = c.Conn.Close()
	}
}

// AnyLoopbackPort returns the loopback address with port 0, which selects a free port.
func AnyLoopbackPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}
