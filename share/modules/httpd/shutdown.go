package httpd

import (
	"context"
	"errors"
	"net"
	"time"

	"verbenaroad.example/share/modules/listen"
)

// freshTime is how long a stop waits for the first request of a connection that was accepted just before.
const freshTime = 500 * time.Millisecond

// Shutdown stops accepting, waits until nothing is left to answer or the context ends, and closes.
func (s *Server) Shutdown(ctx context.Context) error {
	err := listen.Quiesce(ctx, s.listener)
	_ = s.listener.Close()
	err = errors.Join(err, s.waitIdle(ctx))
	close(s.done)
	s.engine.Stop()
	return ErrServer.Wrap(err)
}

// waitIdle waits for handlers to return, for requests on their way and for callers to take their answers.
func (s *Server) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	limit := time.Now().Add(freshTime)
	for !s.isIdle(time.Now().After(limit)) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// isIdle tells whether nothing is left to answer.
//
// Guards against requests that are cut by a stop because they came on a
// connection accepted just before: their callers would see EOF and not know
// whether they ran. Such a request gets its refusal. A connection without any
// request may be a balancer's probe, so the wait for it is short.
func (s *Server) isIdle(patient bool) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.running) == 0 && len(s.lingering) == 0 && (patient || len(s.fresh) == 0)
}

func (s *Server) noteOpen(conn net.Conn) {
	s.opened.Add(1)
	if c, ok := conn.(closable); ok {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.fresh[c] = true
	}
}

func (s *Server) noteClosed(conn net.Conn, _ error) {
	if c, ok := conn.(closable); ok {
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.fresh, c)
	}
}

// CountFresh returns the number of open connections that have brought no request yet.
func (s *Server) CountFresh() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.fresh)
}
