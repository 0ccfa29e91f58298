package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// httpServer is an HTTP server with its own listener on a loopback address.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	address  netip.AddrPort
}

const headerTimeout = 5 * time.Second

func listenHTTP(handler http.Handler) (*httpServer, error) {
	return listenAt("127.0.0.1:0", handler)
}

func listenAt(address string, handler http.Handler) (*httpServer, error) {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &httpServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, listener: listener, address: bound}
	go s.run()
	return s, nil
}

func (s *httpServer) run() {
	_ = s.server.Serve(s.listener) // returns when the server is closed
}

func (s *httpServer) close() { _ = s.server.Close() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has disconnected
}

// cut resets the connection of a request instead of completing the answer.
func cut(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a reset instead of a FIN
	}
	_ = conn.Close()
}
