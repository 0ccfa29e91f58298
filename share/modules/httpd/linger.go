package httpd

import (
	"net/http"
	"time"
)

// lingerTime is how long a caller has to close its connection after the last answer on it.
const lingerTime = time.Second

// lingeringConn is a connection whose last answer was sent and that its caller should close.
type lingeringConn struct {
	conn  closable
	since time.Time
}

// leaveOpen keeps nbhttp from closing the connection after the answer and asks the caller to close
// it.
//
// Guards against new connections that are closed without an answer. nbhttp closes the connection of
// a request with "Connection: close" from a worker. If the poller has just seen the caller's own
// close, it then acts on the number of the descriptor, which by then may belong to a connection
// that was accepted since: the first request of another caller ends in EOF although the server is
// healthy. A descriptor that only the poller closes cannot be reused while the poller holds an
// event for it. If the caller does not close the connection within lingerTime, closeLingering does.
func leaveOpen(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	w.Header().Set("Connection", "close")
}

// linger starts to wait for the caller of an answered request to close conn.
func (s *Server) linger(conn closable) {
	s.lock.Lock()
	s.lingering = append(s.lingering, lingeringConn{conn: conn, since: time.Now()})
	s.lock.Unlock()
	s.wakeLoop()
}

// closeLingering closes the connections that their callers left open for longer than lingerTime.
// The caller of closeLingering holds s.lock.
func (s *Server) closeLingering(now time.Time) {
	kept := s.lingering[:0]
	for _, l := range s.lingering {
		closed, _ := l.conn.IsClosed()
		switch {
		case closed:
		case now.Sub(l.since) > lingerTime:
			_ = l.conn.Close()
		default:
			kept = append(kept, l)
		}
	}
	clear(s.lingering[len(kept):])
	s.lingering = kept
}
