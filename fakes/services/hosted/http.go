package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// httpServer is an HTTP server with its own listener on a loopback address.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	address  netip.AddrPort

	lock sync.Mutex
	// taken holds the connections that an answer has taken over from the HTTP server.
	taken []net.Conn
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
	s := &httpServer{listener: listener, address: bound}
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ConnState: s.trackState}
	go s.run()
	return s, nil
}

func (s *httpServer) run() {
	_ = s.server.Serve(s.listener) // returns when the server is closed
}

func (s *httpServer) trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateHijacked {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.taken = append(s.taken, conn)
	}
}

// close closes the listener and all connections.
func (s *httpServer) close() {
	_ = s.server.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, conn := range s.taken {
		_ = conn.Close() // an answer that has ended has closed it before
	}
}

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
