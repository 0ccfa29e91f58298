package hosted

import (
	"io"
	"net"
	"net/http"
)

// unframed is an answer with neither a length nor chunks.
type unframed struct{ conn net.Conn }

// beginUnframed writes the status and headers of such an answer, those that are set in w. It returns nil if
// the connection cannot be taken over.
func beginUnframed(w http.ResponseWriter) *unframed {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	header := w.Header().Clone()
	header.Set("Connection", "close")
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return &unframed{conn: conn}
}

func (u *unframed) write(text string) { _, _ = io.WriteString(u.conn, text) }

// end closes the connection.
func (u *unframed) end() { _ = u.conn.Close() }

// reset resets the connection.
func (u *unframed) reset() {
	if tcp, ok := u.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a reset instead of a FIN
	}
	_ = u.conn.Close()
}

// answerUnframed answers a plain request. With UnframedReset it resets the connection after half of the answer.
func answerUnframed(w http.ResponseWriter, text string, fault Fault) {
	sign(w)
	u := beginUnframed(w)
	if u == nil {
		return
	}
	if fault == UnframedReset {
		u.write(text[:len(text)/2])
		u.reset()
		return
	}
	u.write(text)
	u.end()
}
