package cmds

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/routers/public"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/modules/listen"
	"verbenaroad.example/share/modules/logs"
)

const (
	// headerTimeout limits the time to read a request's header. It does not depend on the
	// configuration, whose own limit is a few seconds.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of a request's header. It does not depend on the
	// configuration, whose own limit is 16 KB.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long a connection may be idle if there is no configuration yet, or if
	// the configuration sets no idle timeout.
	defaultIdleTimeout = time.Minute
	// idleMargin times the configured idle timeout is how long an idle connection is kept. A caller
	// that reuses its connection just before the configured timeout never finds it closed.
	idleMargin = 1.25
	// sweepInterval is the time between two checks for idle connections.
	sweepInterval = time.Second
	// closeInterval is the same while the server closes. There are minCloseRounds of these checks at least, so that a
	// process that has had to wait until its deadline answers what has arrived meanwhile.
	closeInterval  = 5 * time.Millisecond
	minCloseRounds = 10
	// quietTime is how long a connection has been idle at least when it is closed: the caller may just be sending.
	quietTime = 100 * time.Millisecond
	// TCP keep-alive probes detect callers that disappeared without closing their connections.
	keepAliveIdle, keepAliveInterval, keepAliveCount = 5 * time.Second, 2 * time.Second, 3
)

// Views provides the current view of the deployment.
type Views interface {
	View() *state.View
}

// CallerServerOptions are the settings of a CallerServer.
type CallerServerOptions struct {
	Address netip.AddrPort
	Handler http.Handler
	Views   Views
	Log     *zap.Logger
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// Gate decides which new connections are taken.
	Gate Gate
}

// CallerServer is the HTTP server for callers. It closes connections that have been idle for longer
// than the configuration in force allows.
type CallerServer struct {
	options  CallerServerOptions
	server   *http.Server
	listener net.Listener

	// isClosing is set once the listener is closed.
	isClosing atomic.Bool

	lock sync.Mutex
	// idleSince holds when each idle connection became idle. A new connection counts as idle until its
	// first request.
	idleSince map[net.Conn]time.Time
	// open is the number of open connections.
	open int
}

// NewCallerServer listens at options.Address and starts to serve.
func NewCallerServer(ctx context.Context, options CallerServerOptions) (*CallerServer, error) {
	listener, err := listen.Open(ctx, options.Address, net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	if err != nil {
		return nil, err
	}
	c := &CallerServer{options: options, listener: listener, idleSince: map[net.Conn]time.Time{}}
	c.server = &http.Server{
		Handler:           options.Handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         c.trackState,
		ConnContext:       public.WithConn,
		ErrorLog:          zap.NewStdLog(options.Log.With(zap.String("part", "callers"))),
		IdleTimeout:       -1, // no timeout here: loop closes idle connections
	}
	go c.run()
	go c.loop(ctx)
	return c, nil
}

// Address returns the address on which the server listens.
func (c *CallerServer) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(c.listener.Addr().String()) // a TCP listener has such an address
	return address
}

func (c *CallerServer) run() {
	if err := c.server.Serve(gatedListener{Listener: c.listener, gate: c.options.Gate}); err != nil && !c.isClosing.Load() {
		c.options.Log.Error("caller-server-failed", logs.Err(err))
	}
}

// trackState keeps idleSince and open up to date and limits the number of open connections.
func (c *CallerServer) trackState(conn net.Conn, s http.ConnState) {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch s {
	case http.StateNew:
		c.open++
		if c.open > c.options.MaxConnections {
			c.closeLongestIdle()
		}
		c.idleSince[conn] = time.Now()
	case http.StateIdle:
		if idle, ok := conn.(*callerConn); ok {
			idle.setIdle()
		}
		c.idleSince[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.idleSince, conn)
	default:
		delete(c.idleSince, conn)
	}
}

// closeLongestIdle makes room for a new connection by closing the one that has been idle longest.
// It is called under the lock.
//
// It guards against callers that open connections and leave them idle: once the process runs out of
// file descriptors, it cannot even connect to a backend server for a request that it has accepted.
func (c *CallerServer) closeLongestIdle() {
	var longest net.Conn
	for conn, since := range c.idleSince {
		if longest == nil || since.Before(c.idleSince[longest]) {
			longest = conn
		}
	}
	if longest == nil {
		return
	}
	if idle, ok := longest.(*callerConn); ok && (idle.closeIdle() || idle.closeSlow()) {
		delete(c.idleSince, longest)
		c.options.Log.Warn("connection-closed", zap.String("reason", "too many open connections"), zap.Int("open", c.open))
	}
}

// closeIdle closes a connection that is idle, unless a request has arrived on it meanwhile.
func closeIdle(conn net.Conn) (closed bool) {
	c, ok := conn.(*callerConn)
	return ok && c.closeIdle()
}

func (c *CallerServer) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

// sweep closes the connections that have been idle for too long.
func (c *CallerServer) sweep(now time.Time) {
	limit := defaultIdleTimeout
	if table := c.options.Views.View().Table; table != nil && table.Config().Limits.IdleTimeout > 0 {
		limit = time.Duration(idleMargin * float64(table.Config().Limits.IdleTimeout))
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit {
			closeIdle(conn)
		}
	}
}

// Close stops listening, waits for the requests that have arrived and closes the other connections. If the deadline of
// the context passes first, it closes all connections.
//
// http.Server.Shutdown closes a connection on which a request has arrived that was not read yet. In a process that waits for
// a processor, its caller may have sent that request long before.
func (c *CallerServer) Close(ctx context.Context) error {
	if err := listen.Quiesce(ctx, c.listener); err != nil {
		c.options.Log.Warn("listener-closed-early", logs.Err(err))
	}
	c.isClosing.Store(true)
	err := c.listener.Close()
	for round := 0; c.closeQuiet(time.Now()) > 0; round++ {
		if ctx.Err() != nil && round >= minCloseRounds {
			break
		}
		time.Sleep(closeInterval)
	}
	c.logCut()
	return errors.Join(err, c.server.Close())
}

// closeQuiet closes the connections that have been idle for quietTime, and returns the number of open ones.
func (c *CallerServer) closeQuiet(now time.Time) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) >= quietTime && closeIdle(conn) {
			delete(c.idleSince, conn)
		}
	}
	return c.open
}

// logCut logs the connections that are still open when all are closed.
func (c *CallerServer) logCut() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.open == 0 {
		return
	}
	c.options.Log.Warn("connections-cut", zap.Int("idle", len(c.idleSince)), zap.Int("busy", c.open-len(c.idleSince)))
}
