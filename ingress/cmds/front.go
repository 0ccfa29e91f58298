package cmds

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/modules/listen"
	"verbenaroad.example/share/modules/logs"
)

const (
	// headerTimeout bounds reading a request's header; configurations allow a few seconds.
	headerTimeout = 5 * time.Second
	// maxHeadBytes bounds a request's header; configurations allow 16 KB.
	maxHeadBytes = 64 << 10
	// defaultIdle is how long a connection may be idle before a configuration says so.
	defaultIdle = time.Minute
	// idleMargin is how much longer than the configured time an idle connection is kept,
	// so that a caller that uses it up to the limit never meets its close.
	idleMargin = 1.25
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
	// probe finds callers that are gone without a word.
	probeIdle, probeEvery, probeCount = 5 * time.Second, 2 * time.Second, 3
)

// Views tells what is known of the deployment.
type Views interface {
	View() *state.View
}

// FrontOptions are the settings of a Front.
type FrontOptions struct {
	Address netip.AddrPort
	Handler http.Handler
	Views   Views
	Log     *zap.Logger
	// MaxConnections bounds the open connections.
	MaxConnections int
}

// Front is the callers' HTTP server. It closes connections that are idle for
// longer than the configuration in force allows.
type Front struct {
	options  FrontOptions
	server   *http.Server
	listener net.Listener

	lock sync.Mutex
	// idle holds since when each idle connection has been so.
	idle map[net.Conn]time.Time
	// open counts the connections.
	open int
}

// NewFront listens and serves at once.
func NewFront(ctx context.Context, options FrontOptions) (*Front, error) {
	listener, err := listen.Open(ctx, options.Address, net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	})
	if err != nil {
		return nil, err
	}
	f := &Front{options: options, listener: listener, idle: map[net.Conn]time.Time{}}
	f.server = &http.Server{
		Handler:           options.Handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         f.noteState,
		ErrorLog:          zap.NewStdLog(options.Log.With(zap.String("part", "callers"))),
		IdleTimeout:       -1, // the loop closes idle connections
	}
	go f.run()
	go f.loop(ctx)
	return f, nil
}

func (f *Front) run() {
	if err := f.server.Serve(f.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.options.Log.Error("callers-closed", logs.Err(err))
	}
}

func (f *Front) noteState(conn net.Conn, s http.ConnState) {
	f.lock.Lock()
	defer f.lock.Unlock()
	switch s {
	case http.StateNew:
		f.open++
		if f.open > f.options.MaxConnections {
			f.closeOldest()
		}
		f.idle[conn] = time.Now()
	case http.StateIdle:
		f.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		f.open--
		delete(f.idle, conn)
	default:
		delete(f.idle, conn)
	}
}

// closeOldest makes room for a new connection by closing the one that has been
// idle for the longest time.
//
// Guards against callers that open connections and leave them: descriptors run
// out, and then not even a request that was accepted can be sent on.
func (f *Front) closeOldest() {
	var oldest net.Conn
	for conn, since := range f.idle {
		if oldest == nil || since.Before(f.idle[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil {
		return
	}
	delete(f.idle, oldest)
	f.options.Log.Warn("connection-closed", zap.String("reason", "too many are open"), zap.Int("open", f.open))
	_ = oldest.Close() // the server forgets it
}

func (f *Front) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.sweep(now)
		}
	}
}

// sweep closes what has been idle for too long.
func (f *Front) sweep(now time.Time) {
	limit := defaultIdle
	if table := f.options.Views.View().Table; table != nil && table.Config().Limits.IdleTimeout > 0 {
		limit = time.Duration(idleMargin * float64(table.Config().Limits.IdleTimeout))
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for conn, since := range f.idle {
		if now.Sub(since) > limit {
			_ = conn.Close() // the server forgets it
		}
	}
}

// Close stops listening, closes idle connections and waits for the others.
func (f *Front) Close(ctx context.Context) error {
	if err := listen.Quiesce(ctx, f.listener); err != nil {
		f.options.Log.Warn("listener-closed-early", logs.Err(err))
	}
	err := f.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return f.server.Close()
	}
	return err
}
