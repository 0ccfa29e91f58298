package httpd

import (
	"net/http"
	"time"
)

// lingerTime is how long a caller may take to close its connection after the last answer on it.
const lingerTime = time.Second

// lingering is a connection that its caller should close.
type lingering struct {
	conn  closable
	since time.Time
}

// leaveOpen has the caller close the connection after the answer, and not nbhttp.
//
// Guards against new connections that are closed without an answer. nbhttp
// closes the connection of a request with "Connection: close" from a worker;
// where the caller's own close was noticed by the poller just before, the
// poller acts on the number of the descriptor, which by then belongs to a
// connection that was accepted since. A caller sees that its first request
// ends in EOF, though the server is well. A descriptor that only the poller
// closes cannot be reused while the poller holds an event of it. A caller
// that does not close is closed on after a second.
func leaveOpen(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	w.Header().Set("Connection", "close")
}

// linger begins the wait for the caller of an answered request to close.
func (s *Server) linger(conn closable) {
	s.lock.Lock()
	s.lingering = append(s.lingering, lingering{conn: conn, since: time.Now()})
	s.lock.Unlock()
	s.wakeLoop()
}

// closeLingering closes what its callers left open; called under the lock.
func (s *Server) closeLingering(now time.Time) {
	kept := s.lingering[:0]
	for _, l := range s.lingering {
		gone, _ := l.conn.IsClosed()
		switch {
		case gone:
		case now.Sub(l.since) > lingerTime:
			_ = l.conn.Close()
		default:
			kept = append(kept, l)
		}
	}
	clear(s.lingering[len(kept):])
	s.lingering = kept
}
