package serve

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// conn is an accepted connection that faults can mute.
type conn struct {
	*nbio.Conn
	// ctx ends when the connection closes.
	ctx    context.Context
	cancel context.CancelFunc
	// muted drops everything written from now on; it is never taken back.
	muted atomic.Bool
}

// newConn returns a conn for a connection that nbio does not serve yet.
func newConn(inner *nbio.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{Conn: inner, ctx: ctx, cancel: cancel}
}

// publish precedes the handing over to nbio. That goes from the accepting
// goroutine to a poller by epoll alone, which orders the two but not in the
// sight of the race detector; this store and the load in onData do.
func (c *conn) publish() {
	c.muted.Store(false)
}

// onData passes on what arrives, or drops it when the connection is silent.
func (c *conn) onData(parse func(*nbio.Conn, []byte)) func(*nbio.Conn, []byte) {
	return func(inner *nbio.Conn, data []byte) {
		if !c.muted.Load() {
			parse(inner, data)
		}
	}
}

// Write sends data, or drops it while it tells the writer that all went well.
func (c *conn) Write(data []byte) (int, error) {
	if c.muted.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection, unless it is muted: a silent connection shows no end either.
func (c *conn) Close() error {
	if c.muted.Load() {
		return nil
	}
	return c.Conn.Close()
}

// connOf returns the connection that a response goes to.
func connOf(w http.ResponseWriter) *conn {
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	outer, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	c, _ := outer.Conn.(*conn)
	return c
}
