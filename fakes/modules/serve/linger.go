package serve

import (
	"net/http"
	"time"
)

// lingerTime is how long a caller has to close its connection after the last answer on it.
const lingerTime = time.Second

// leaveOpen keeps nbhttp from closing the connection after the answer and asks the caller to close
// it.
//
// Guards against new connections that are closed without an answer, as share/modules/httpd does.
// nbhttp closes the connection of a request with "Connection: close" from a worker. If the poller
// has just seen the caller's own close, it then acts on the number of the descriptor, which by then
// may belong to a connection that was accepted since: the first request of another caller ends in
// EOF. Tests that send orders would see an unknown outcome for one order in several thousand.
func leaveOpen(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	w.Header().Set("Connection", "close")
}

// closeLater closes the connection after lingerTime, in case the caller does not.
func (c *conn) closeLater() {
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}
