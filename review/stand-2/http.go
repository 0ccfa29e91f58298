package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// listener is an HTTP server on a loopback address. Its connections can be closed all at once, as those of a
// process that has ended are.
type listener struct {
	handler http.Handler
	address string

	lock   sync.Mutex
	server *http.Server
}

func listen(handler http.Handler) (*listener, error) {
	l := &listener{handler: handler, address: "127.0.0.1:0"}
	return l, l.open()
}

// open listens at the address that the listener has, or at a free one.
func (l *listener) open() error {
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.address = socket.Addr().String()
	l.server = &http.Server{Handler: l.handler}
	go func(s *http.Server) { _ = s.Serve(socket) }(l.server)
	return nil
}

// close stops listening and closes all connections.
func (l *listener) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	_ = l.server.Close()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
