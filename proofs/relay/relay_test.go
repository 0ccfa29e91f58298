package relay_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/proofs/relay"
)

// echo answers every byte with itself.
type echo struct {
	listener net.Listener
}

func (e *echo) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.runCopy(conn)
	}
}

func (e *echo) runCopy(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func startRelay(t *testing.T) *relay.Relay {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e := &echo{listener: listener}
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

// ask sends the text and returns what comes back, at most as many bytes.
func ask(conn net.Conn, text string) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	answer := make([]byte, len(text))
	n, err := io.ReadFull(conn, answer)
	return string(answer[:n]), err
}

func TestRelayPassesAndCuts(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	conn := connect(t, r)
	got, err := ask(conn, "spruce")
	is.NoErr(err)
	is.Equal(got, "spruce")
	r.CutAfter(3)
	got, err = ask(conn, "plectrum")
	is.True(err != nil)
	is.Equal(got, "ple")
	is.Equal(r.CountCuts(), 1)
	got, err = ask(connect(t, r), "jack")
	is.NoErr(err)
	is.Equal(got, "jack")
}

// A connection goes silent: it stays open and carries nothing, while a new one works.
func TestRelaySilence(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	old := connect(t, r)
	_, err := ask(old, "first")
	is.NoErr(err)
	r.Silence()
	got, err := ask(connect(t, r), "second")
	is.NoErr(err)
	is.Equal(got, "second")
	_, err = old.Write([]byte("third"))
	is.NoErr(err)
	is.NoErr(old.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	timeout, isTimeout := err.(net.Error) //nolint:errorlint // the net package returns it unwrapped
	is.True(isTimeout && timeout.Timeout())
}

func TestRelayHoldsAndDrops(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	conn := connect(t, r)
	_, err := ask(conn, "first")
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
	_, err = ask(connect(t, r), "refused")
	is.True(err != nil)
}
