// Package peers accepts the sessions that other processes open to this one.
package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// ErrPeers is the class of errors of this package.
var ErrPeers = errs.Class("peers") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Handler serves the streams of a session until the session ends.
type Handler interface {
	ServeSession(ctx context.Context, session *link.Session)
}

// Options are the settings of a Server.
type Options struct {
	Address netip.AddrPort
	Link    link.Options
	Handler Handler
	Log     *zap.Logger
}

// Server accepts sessions and keeps the open ones by process name.
type Server struct {
	options  Options
	listener net.Listener

	lock sync.Mutex
	// sessions holds the latest open session of each process, by the name of the process.
	sessions map[string]*link.Session
}

// NewServer returns a Server that listens on options.Address. It accepts sessions only after Start.
func NewServer(options Options) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, ErrPeers.Wrap(err)
	}
	return NewServerOn(listener, options), nil
}

// NewServerOn returns a Server that accepts sessions on a listener. options.Address is not used.
func NewServerOn(listener net.Listener, options Options) *Server {
	return &Server{options: options, listener: listener, sessions: map[string]*link.Session{}}
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return address
}

// Start accepts sessions until Close. ctx is passed to the handler.
func (s *Server) Start(ctx context.Context) {
	go s.loop(ctx)
}

// Close stops accepting sessions and ends those that GetSession can return.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.lock.Lock()
	open := make([]*link.Session, 0, len(s.sessions))
	for _, session := range s.sessions {
		open = append(open, session)
	}
	s.lock.Unlock()
	for _, session := range open {
		_ = session.Close()
	}
}

// GetSession returns the latest open session of a process, or nil.
func (s *Server) GetSession(name string) *link.Session {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.sessions[name]
}

// CountSessions returns the number of processes that have an open session.
func (s *Server) CountSessions() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.sessions)
}

// CountBytes returns the bytes read and written so far on the latest open session of each process.
func (s *Server) CountBytes() (read, written uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, session := range s.sessions {
		sessionRead, sessionWritten := session.Traffic()
		read += sessionRead
		written += sessionWritten
	}
	return read, written
}

const (
	// minAcceptPause is the pause after a connection could not be accepted, such as when no file
	// descriptor is left. It doubles with each further failure in a row, up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// loop accepts connections until the listener is closed.
func (s *Server) loop(ctx context.Context) {
	pause := minAcceptPause
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			pause = minAcceptPause
			go s.run(ctx, conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.options.Log.Warn("session-not-accepted", zap.Duration("pause", pause), logs.Err(err))
		if !pauses.Wait(ctx, pause) {
			return
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// run opens a session on an accepted connection and serves it until it ends.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	options := s.options.Link
	options.OnDown = s.removeSession
	session, err := link.Accept(conn, options)
	if err != nil {
		_ = conn.Close()
		s.options.Log.Warn("session-refused", logs.Err(err))
		return
	}
	name := session.Peer().GetName()
	s.lock.Lock()
	// A process that connects again has abandoned its old session, which may still look open here. The
	// old session keeps its streams until it ends by itself.
	s.sessions[name] = session
	s.lock.Unlock()
	s.options.Log.Info("session-up", zap.String("peer", name))
	s.options.Handler.ServeSession(ctx, session)
}

// removeSession removes a session that has ended, unless the process has already opened another.
func (s *Server) removeSession(session *link.Session, reason error) {
	name := session.Peer().GetName()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.sessions[name] == session {
		delete(s.sessions, name)
	}
	s.options.Log.Info("session-down", zap.String("peer", name), logs.Err(reason))
}
