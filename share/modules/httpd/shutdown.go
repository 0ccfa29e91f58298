package httpd

import (
	"context"
	"errors"
	"net"
	"time"

	"verbenaroad.example/share/modules/listen"
)

// newConnTime is how long Shutdown waits for the first request of a connection that was accepted
// just before.
const newConnTime = 500 * time.Millisecond

// Shutdown stops accepting connections, waits until nothing is left to answer or ctx ends, and
// closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	err := listen.Quiesce(ctx, s.listener)
	_ = s.listener.Close()
	err = errors.Join(err, s.waitIdle(ctx))
	close(s.done)
	s.engine.Stop()
	return ErrServer.Wrap(err)
}

// waitIdle waits until handlers have returned, new connections have delivered their first request
// and lingering connections are closed. It waits for new connections for newConnTime at most.
func (s *Server) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	newConnDeadline := time.Now().Add(newConnTime)
	for !s.isIdle(time.Now().After(newConnDeadline)) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// isIdle reports whether nothing is left to answer. With ignoreNew it disregards connections that
// have delivered no request yet.
//
// Guards against requests that a shutdown cuts off because they arrive on a connection that was
// accepted just before: their callers would get EOF and not know whether the requests ran. Such a
// request still reaches the handler, which can refuse it. A connection without any request may be
// the probe of a load balancer, so the wait for it is short.
func (s *Server) isIdle(ignoreNew bool) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.running) == 0 && len(s.lingering) == 0 && (ignoreNew || len(s.newConns) == 0)
}

func (s *Server) onOpen(conn net.Conn) {
	s.opened.Add(1)
	if c, ok := conn.(closable); ok {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.newConns[c] = true
	}
}

func (s *Server) onClose(conn net.Conn, _ error) {
	if c, ok := conn.(closable); ok {
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.newConns, c)
	}
}

// CountNewConns returns the number of open connections on which no request has reached the handler
// yet.
func (s *Server) CountNewConns() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.newConns)
}
