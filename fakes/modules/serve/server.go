// Package serve runs one stand-in as an nbhttp server whose faults are
// switched over a second address.
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
	// keepaliveTime is long enough that no blocking query of a stand-in meets it.
	keepaliveTime = 15 * time.Minute
	drainTick     = 5 * time.Millisecond
)

// Options holds the settings of a Server.
type Options struct {
	// Listen is where callers connect; port 0 takes a free one.
	Listen netip.AddrPort
	// Handler answers the calls. The context of its requests ends when the caller goes away.
	Handler http.Handler
	// KindOf names the kind under which a call is counted.
	KindOf func(*http.Request) string
}

// Server serves one address.
type Server struct {
	options Options
	engine  *nbhttp.Engine
	faults  *fault.Switch
	calls   *calls
	// stopping is closed when Stop no longer waits for calls.
	stopping chan struct{}

	mutex    sync.Mutex
	address  netip.AddrPort
	listener net.Listener
	conns    map[*nbio.Conn]*conn
	stopped  bool
	jobs     int
}

// NewServer returns a Server that does not listen yet.
func NewServer(options Options) *Server {
	s := &Server{
		options: options,
		faults:  fault.NewSwitch(),
		calls:   newCalls(),
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
	// The hook is set on nbio's engine, not on nbhttp's: the latter runs it on
	// the connection's job list behind the handler, so a handler could not
	// learn that its caller went away before it is done.
	s.engine.Engine.OnClose(s.onClose)
	return s
}

// Start listens and serves; the address is known when it returns.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return ErrServe.Wrap(err)
	}
	return s.listen()
}

// Address returns the bound address.
func (s *Server) Address() netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop takes no new connections, lets the calls that run end until ctx is over, and closes.
func (s *Server) Stop(ctx context.Context) error {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.unlisten()
	err := s.drain(ctx)
	close(s.stopping)
	s.closeConns()
	s.engine.Stop()
	return err
}

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

// execute gives each job a goroutine of its own, so that calls that wait never hold up others.
func (s *Server) execute(job func()) {
	go s.run(job)
}

func (s *Server) run(job func()) {
	job()
}

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

func (s *Server) unlisten() {
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

// addConn does what nbhttp does for an accepted connection, with a conn in between that faults can mute.
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
	parser := nbhttp.NewParser(outer, s.engine, nbhttp.NewServerProcessor(), false, s.counted(inner))
	outer.Parser = parser
	inner.SetSession(parser)
	inner.OnData(c.onData(s.engine.DataHandler))
	c.publish()
	if _, err := s.engine.AddConn(inner); err != nil {
		s.forget(inner)
		return
	}
	_ = inner.SetReadDeadline(time.Now().Add(keepaliveTime))
}

// counted wraps the connection's job list, so that Stop waits until answers are written.
func (s *Server) counted(inner *nbio.Conn) func(func()) bool {
	return func(job func()) bool {
		s.addJobs(1)
		taken := inner.Execute(func() {
			defer s.addJobs(-1)
			job()
		})
		if !taken {
			s.addJobs(-1)
		}
		return taken
	}
}

// forget ends the connection's context, which tells the handler that its caller went away.
func (s *Server) forget(inner *nbio.Conn) {
	s.mutex.Lock()
	c := s.conns[inner]
	delete(s.conns, inner)
	s.mutex.Unlock()
	if c != nil {
		c.cancel()
	}
}

func (s *Server) onClose(inner *nbio.Conn, err error) {
	s.forget(inner)
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

// AnyLoopbackPort returns the address that takes a free port.
func AnyLoopbackPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}
