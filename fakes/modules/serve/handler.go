package serve

import (
	"context"
	"net/http"
	"time"

	"verbenaroad.example/fakes/modules/fault"
)

// SetFault puts the settings in force.
func (s *Server) SetFault(settings fault.Settings) error {
	s.faults.Set(settings)
	if settings.Silent {
		s.mute()
	}
	if settings.Down {
		s.unlisten()
		s.closeConns()
		return nil
	}
	return s.listen()
}

// GetFault returns the settings in force.
func (s *Server) GetFault() fault.Settings {
	return s.faults.Get()
}

// mute makes every open connection silent for good.
func (s *Server) mute() {
	for _, c := range s.listConns() {
		c.muted.Store(true)
	}
}

// serveHTTP applies the faults in force around the stand-in's own handler.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(w)
	if c == nil || c.muted.Load() {
		// The connection went silent while the call waited its turn: it takes no effect.
		return
	}
	if !s.hold(c.ctx) {
		return
	}
	if status := s.faults.Get().Status; status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	kind := s.options.KindOf(r)
	s.calls.open(kind)
	defer s.calls.end(kind)
	lost := s.faults.TakeLostAnswer(r.Method)
	if lost {
		c.muted.Store(true)
	}
	s.options.Handler.ServeHTTP(&writer{ResponseWriter: w, server: s, conn: c}, r.WithContext(c.ctx))
	if lost {
		_ = c.Conn.Close()
		return
	}
	s.waitThaw(c.ctx)
}

// hold keeps a call back while the stand-in is slow or frozen; false means that the caller went away.
func (s *Server) hold(ctx context.Context) bool {
	if delay := time.Duration(s.faults.Get().Slow); delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	return s.waitThaw(ctx)
}

func (s *Server) waitThaw(ctx context.Context) bool {
	thawed := s.faults.Thawed()
	if thawed == nil {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-thawed:
		return true
	}
}

// writer holds the parts of an answer back while the stand-in is frozen.
type writer struct {
	http.ResponseWriter
	server *Server
	conn   *conn
}

// Write passes data on once no freeze is in force.
func (w *writer) Write(data []byte) (int, error) {
	w.server.waitThaw(w.conn.ctx)
	if err := w.conn.ctx.Err(); err != nil {
		return 0, ErrServe.Wrap(err)
	}
	return w.ResponseWriter.Write(data)
}

// Flush sends what was written so far.
func (w *writer) Flush() {
	if w.conn.ctx.Err() != nil {
		return
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
