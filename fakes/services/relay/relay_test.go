package relay_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/relay"
)

// echo answers each connection with what it reads.
type echo struct {
	listener net.Listener
}

func (e *echo) loop() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.run(conn)
	}
}

func (e *echo) run(conn net.Conn) {
	data := make([]byte, 64)
	for {
		n, err := conn.Read(data)
		if err != nil {
			return
		}
		_, _ = conn.Write(data[:n])
	}
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{listener: listener}
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
	is.True(time.Since(started) >= 2*delay) // a lower bound: the delay is the subject
}

// A caller sees an open connection that answers nothing for a while: its
// region is cut off, which closes no connection. Once the cut is lifted, what
// was sent meanwhile arrives.
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
	is.True(err != nil) // nothing comes while the region is cut off
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	r.SetCut(nil)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "order")
}
