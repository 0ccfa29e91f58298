package serve

import (
	"net/http"
	"strconv"
	"time"

	"verbenaroad.example/fakes/modules/fault"
)

// SetFault replaces the fault settings in force. It closes the listener and all connections if the
// settings have Down, and listens again if they do not.
func (s *Server) SetFault(settings fault.Settings) error {
	s.faults.Set(settings)
	if settings.Silent {
		s.mute()
	}
	if settings.Down {
		s.closeListener()
		s.closeConns()
		return nil
	}
	return s.listen()
}

// GetFault returns the fault settings in force.
func (s *Server) GetFault() fault.Settings {
	return s.faults.Get()
}

// mute permanently mutes every open connection.
func (s *Server) mute() {
	for _, c := range s.listConns() {
		c.muted.Store(true)
	}
}

// serveHTTP applies the faults in force around the stand-in's own handler.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(w)
	if c == nil || c.muted.Load() {
		// The connection was muted while the call was queued on it: the call takes no effect.
		return
	}
	if r.Close {
		leaveOpen(w, r)
		defer c.closeLater()
	}
	settings := s.faults.GetFor(r.Method)
	if !s.delayCall(r.Method, time.Duration(settings.Slow)) {
		return
	}
	if settings.Status != 0 {
		if settings.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(settings.RetryAfter))
		}
		http.Error(w, http.StatusText(settings.Status), settings.Status)
		return
	}
	kind := s.options.KindOf(r)
	s.calls.begin(kind)
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

// delayCall waits for delay, and then until no freeze is in force. It returns false if the server
// stops first. It does not return early when the caller disconnects, because a real service carries
// out a request that it has read.
func (s *Server) delayCall(method string, delay time.Duration) bool {
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

// waitThaw waits until no freeze is in force for calls of a method. It returns false if gone is
// closed or the server stops first.
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

// writer delays the parts of an answer during a freeze, and closes the connection where CutAfter
// requires it.
type writer struct {
	http.ResponseWriter
	server *Server
	conn   *conn
	method string
	writes int
}

// Write waits until no freeze is in force and writes data. It fails if the connection has closed.
func (w *writer) Write(data []byte) (int, error) {
	w.server.waitThaw(w.method, w.conn.ctx.Done())
	if err := w.conn.ctx.Err(); err != nil {
		return 0, ErrServe.Wrap(err)
	}
	w.writes++
	return w.ResponseWriter.Write(data)
}

// Flush sends the data written so far and closes the connection if it has had CutAfter writes.
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
