package relay_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/proofs/relay"
)

// echoServer sends back every byte that it receives.
type echoServer struct {
	listener net.Listener
}

func (e *echoServer) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.runCopy(conn)
	}
}

func (e *echoServer) runCopy(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func startRelay(t *testing.T) *relay.Relay {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e := &echoServer{listener: listener}
	go e.run()
	t.Cleanup(func() { _ = listener.Close() })
	target, err := netip.ParseAddrPort(listener.Addr().String())
	is.NoErr(err)
	r, err := relay.NewRelay(target)
	is.NoErr(err)
	t.Cleanup(r.Close)
	return r
}

func connect(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends the text and returns what the echo server sends back, at most as many bytes.
func exchange(conn net.Conn, text string) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	answer := make([]byte, len(text))
	n, err := io.ReadFull(conn, answer)
	return string(answer[:n]), err
}

// The relay cuts a connection at another byte than it was set to, or new connections fail after the
// cut.
func TestRelayCutsAfterGivenByte(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	conn := connect(t, r)
	got, err := exchange(conn, "spruce")
	is.NoErr(err)
	is.Equal(got, "spruce")
	r.CutAfter(3)
	got, err = exchange(conn, "plectrum")
	is.True(err != nil)
	is.Equal(got, "ple")
	is.Equal(r.CountCuts(), 1)
	got, err = exchange(connect(t, r), "jack")
	is.NoErr(err)
	is.Equal(got, "jack")
}

// A silent connection must stay open and carry nothing, while a new connection works. A relay that
// closes it would let the processes under test notice the fault at once.
func TestRelaySilence(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	old := connect(t, r)
	_, err := exchange(old, "first")
	is.NoErr(err)
	r.Silence()
	got, err := exchange(connect(t, r), "second")
	is.NoErr(err)
	is.Equal(got, "second")
	_, err = old.Write([]byte("third"))
	is.NoErr(err)
	is.NoErr(old.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	timeout, isTimeout := err.(net.Error) //nolint:errorlint // the net package returns it unwrapped
	is.True(isTimeout && timeout.Timeout())
}

// Held bytes are lost instead of forwarded after Resume, or connections survive Drop and Refuse.
func TestRelayHoldDropAndRefuse(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	conn := connect(t, r)
	_, err := exchange(conn, "first")
	is.NoErr(err)
	r.Hold()
	_, err = conn.Write([]byte("late"))
	is.NoErr(err)
	r.Resume()
	answer := make([]byte, 4)
	_, err = io.ReadFull(conn, answer)
	is.NoErr(err)
	is.Equal(string(answer), "late")
	r.Drop()
	_, err = conn.Read(answer)
	is.True(err != nil)
	r.Refuse(true)
	_, err = exchange(connect(t, r), "refused")
	is.True(err != nil)
}

// Guards against a reset that reaches the other end as the end of an answer: one that ends with its connection then
// looks complete.
func TestRelayPassesOnResets(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	target, err := netip.ParseAddrPort(listener.Addr().String())
	is.NoErr(err)
	r, err := relay.NewRelay(target)
	is.NoErr(err)
	t.Cleanup(r.Close)
	for name, end := range map[string]func(server net.Conn){
		"reset by the server": func(server net.Conn) {
			_ = server.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // the listener is of TCP
			_ = server.Close()
		},
		"reset on the way":     func(net.Conn) { r.Reset() },
		"closed by the server": func(server net.Conn) { _ = server.Close() },
	} {
		conn := connect(t, r)
		server, err := listener.Accept()
		is.NoErr(err)
		_, err = server.Write([]byte("half of"))
		is.NoErr(err)
		buffer := make([]byte, 16)
		n, err := conn.Read(buffer)
		is.NoErr(err)
		is.Equal(string(buffer[:n]), "half of")
		end(server)
		_, err = conn.Read(buffer)
		is.Equal(errors.Is(err, io.EOF), name == "closed by the server")
		_ = server.Close()
	}
}
