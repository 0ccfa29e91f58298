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

// Resetter is a connection that can be closed by a reset.
type Resetter interface {
	Reset() error
}

// abort is deferred by a handler whose answer may break off. The HTTP server then closes the connection. An answer without a
// length to a caller of HTTP/1.0 would look whole, since it ends with its connection; abort resets that connection.
func abort(r *http.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if conn, ok := r.Context().Value(connKey{}).(Resetter); ok && !r.ProtoAtLeast(1, 1) {
		_ = conn.Reset() // the HTTP server closes it again
	}
	panic(reason)
}
