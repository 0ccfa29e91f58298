package serve

import (
	"net/http"
	"time"
)

// lingerTime is how long a caller may take to close its connection after the last answer on it.
const lingerTime = time.Second

// leaveOpen has the caller close the connection after the answer, and not nbhttp.
//
// Guards against new connections that are closed without an answer, as
// share/modules/httpd does: nbhttp closes from a worker, and an event that the
// poller took just before then hits the connection that got the descriptor
// next. A test would see one order in several thousand with its outcome unknown.
func leaveOpen(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	w.Header().Set("Connection", "close")
}

// closeLater closes what the caller left open.
func (c *conn) closeLater() {
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}
