package serve

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// conn is an accepted connection that faults can mute. A muted connection passes no data and
// ignores Close.
type conn struct {
	*nbio.Conn
	// ctx ends when the connection closes.
	ctx    context.Context
	cancel context.CancelFunc
	// muted drops all data in both directions. Once set, it is never cleared.
	muted atomic.Bool
}

// newConn wraps a connection that has not been passed to nbio's engine yet.
func newConn(inner *nbio.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{Conn: inner, ctx: ctx, cancel: cancel}
}

// publish must be called before the connection is passed to nbio's engine. The accepting goroutine
// passes it to a poller goroutine through epoll only. That orders the two goroutines, but the race
// detector does not see it. This store and the load in onData make the order visible to the race
// detector.
func (c *conn) publish() {
	c.muted.Store(false)
}

// onData returns a data handler that passes received data to parse, and drops it on a muted
// connection.
func (c *conn) onData(parse func(*nbio.Conn, []byte)) func(*nbio.Conn, []byte) {
	return func(inner *nbio.Conn, data []byte) {
		if !c.muted.Load() {
			parse(inner, data)
		}
	}
}

// Write sends data. On a muted connection, it drops data and reports success.
func (c *conn) Write(data []byte) (int, error) {
	if c.muted.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection. A muted connection stays open, because its peer must not see a close
// either.
func (c *conn) Close() error {
	if c.muted.Load() {
		return nil
	}
	return c.Conn.Close()
}

// connOf returns the connection of a response, or nil if the response is not from a Server's
// connection.
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
