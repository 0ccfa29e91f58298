package relay_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/relay"
)

// echoServer writes back the bytes that it reads on each connection.
type echoServer struct {
	listener net.Listener
}

func (e *echoServer) loop() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.run(conn)
	}
}

func (e *echoServer) run(conn net.Conn) {
	data := make([]byte, 64)
	for {
		n, err := conn.Read(data)
		if err != nil {
			return
		}
		_, _ = conn.Write(data[:n])
	}
}

// dial starts an echo server and returns a connection to it through the relay.
func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echoServer{listener: listener}
	go e.loop()
	address, err := r.Open(relay.Target{Name: "a", Region: "north", Address: netip.MustParseAddrPort(listener.Addr().String())})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(); _ = listener.Close(); r.Close() })
	return conn
}

func TestRelayDelaysBothDirections(t *testing.T) {
	is := is.New(t)
	const delay = 20 * time.Millisecond
	conn := dial(t, relay.NewRelay(delay))
	started := time.Now()
	_, err := conn.Write([]byte("order"))
	is.NoErr(err)
	answer := make([]byte, 5)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "order")
	is.True(time.Since(started) >= 2*delay) // a lower bound only: a slow machine takes longer
}

// The region of a connection is cut off, so the connection stays open but delivers nothing. Once
// the cut ends, the bytes that were sent meanwhile must arrive.
func TestRelayKeepsBytesDuringCut(t *testing.T) {
	is := is.New(t)
	r := relay.NewRelay(0)
	conn := dial(t, r)
	r.SetCut([]string{"north"})
	_, err := conn.Write([]byte("order"))
	is.NoErr(err)
	answer := make([]byte, 5)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = conn.Read(answer)
	is.True(err != nil) // nothing arrives while the region is cut off
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	r.SetCut(nil)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "order")
}
