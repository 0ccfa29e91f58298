package cmds

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// auxServer is the HTTP server for readiness checks or the one for metrics.
type auxServer struct {
	server   *http.Server
	listener net.Listener
}

func (s auxServer) run() { _ = s.server.Serve(s.listener) } // returns when the server is closed

// listenHTTP listens at an address and serves there until the returned server is closed.
func listenHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s := auxServer{server: server, listener: listener}
	go s.run()
	return server, nil
}
