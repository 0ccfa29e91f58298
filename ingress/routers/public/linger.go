package public

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// WithConn adds the connection of a request to its context, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// LingerConn is a connection that can be closed by a reset.
type LingerConn interface {
	// SetLinger with 0 lets each close of the connection reset it, also that of the kernel for a process that is killed; with
	// -1 the connection is closed in order.
	SetLinger(seconds int) error
}

const (
	lingerReset = 0
	lingerClose = -1
)

// setLinger sets how the connection of a caller of HTTP/1.0 is closed. An answer without a length ends with its connection
// there, and looks whole unless that is reset. Callers of later versions are told the end of an answer.
func setLinger(r *http.Request, seconds int) {
	if conn, ok := r.Context().Value(connKey{}).(LingerConn); ok && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(seconds) // fails only if the connection is closed
	}
}
