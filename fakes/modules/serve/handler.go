package serve

import (
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
	if r.Close {
		leaveOpen(w, r)
		defer c.closeLater()
	}
	settings := s.faults.GetFor(r.Method)
	if !s.hold(r.Method, time.Duration(settings.Slow)) {
		return
	}
	if settings.Status != 0 {
		http.Error(w, http.StatusText(settings.Status), settings.Status)
		return
	}
	kind := s.options.KindOf(r)
	s.calls.open(kind)
	defer s.calls.end(kind)
	lost := s.faults.TakeLostAnswer(r.Method)
	if lost {
		c.muted.Store(true)
	}
	s.options.Handler.ServeHTTP(&writer{ResponseWriter: w, server: s, conn: c, method: r.Method}, r.WithContext(c.ctx))
	if lost {
		_ = c.Conn.Close()
		return
	}
	s.waitThaw(r.Method, c.ctx.Done())
}

// hold keeps a call back while the stand-in is slow or frozen; false means that the stand-in stops.
// It does not end when the caller goes away: what a real service has read, it carries out.
func (s *Server) hold(method string, delay time.Duration) bool {
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-s.stopping:
			return false
		case <-timer.C:
		}
	}
	return s.waitThaw(method, nil)
}

// waitThaw returns when no freeze is in force; false means that gone was closed or the stand-in stops.
func (s *Server) waitThaw(method string, gone <-chan struct{}) bool {
	thawed := s.faults.Thawed(method)
	if thawed == nil {
		return true
	}
	select {
	case <-gone:
		return false
	case <-s.stopping:
		return false
	case <-thawed:
		return true
	}
}

// writer holds the parts of an answer back while the stand-in is frozen, and cuts the answer off where that is asked for.
type writer struct {
	http.ResponseWriter
	server *Server
	conn   *conn
	method string
	writes int
}

// Write passes data on once no freeze is in force.
func (w *writer) Write(data []byte) (int, error) {
	w.server.waitThaw(w.method, w.conn.ctx.Done())
	if err := w.conn.ctx.Err(); err != nil {
		return 0, ErrServe.Wrap(err)
	}
	w.writes++
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
	cut := w.server.faults.GetFor(w.method).CutAfter
	if cut > 0 && w.writes >= cut {
		_ = w.conn.Conn.Close()
	}
}
