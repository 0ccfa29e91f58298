// Package stats serves the expvar variables, profiles, health and readiness of a process on a
// separate address.
package stats

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// ErrStats is the class of errors of this package.
var ErrStats = errs.Class("stats") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// headerTimeout is how long a client has to send the header lines of a request.
const headerTimeout = 5 * time.Second

// ReadyFunc returns why the process is not ready, or nil if it is ready.
type ReadyFunc func() error

// Server serves /debug/vars, /debug/pprof, /healthz and /readyz.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// NewServer listens on the address and starts to serve. The address is for operators' tools, not
// for callers. /readyz fails with the error of ready, if any.
func NewServer(address netip.AddrPort, ready ReadyFunc) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, ErrStats.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	publishUsage()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s := &Server{server: server, listener: listener}
	go s.run()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return address
}

func (s *Server) run() {
	_ = s.server.Serve(s.listener)
}

// Close stops the server after the running requests have ended, or when ctx ends.
func (s *Server) Close(ctx context.Context) error {
	return ErrStats.Wrap(s.server.Shutdown(ctx))
}
