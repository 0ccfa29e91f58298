package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// httpServer is a server on a loopback address of its own.
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
	at, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &httpServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, listener: listener, address: at}
	go s.run()
	return s, nil
}

func (s *httpServer) run() {
	_ = s.server.Serve(s.listener) // ends when it is closed
}

func (s *httpServer) close() { _ = s.server.Close() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

// cut resets the connection without an answer.
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
		_ = tcp.SetLinger(0) // a reset and not an orderly end
	}
	_ = conn.Close()
}
