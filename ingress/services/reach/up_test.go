package reach_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/platform/heads"
)

// acceptor accepts connections, and closes or resets them at once if closes or resets is set.
type acceptor struct {
	listener       net.Listener
	closes, resets bool
}

func (t *acceptor) run() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok && t.resets {
			_ = tcp.SetLinger(0) // Close sends a reset instead of a FIN
		}
		if t.closes || t.resets {
			_ = conn.Close()
		}
	}
}

// Guards against a crashed server being considered up because a relay in front of it accepts
// connections.
func TestServerIsUpOnlyIfItKeepsConnectionsOpen(t *testing.T) {
	for _, closes := range []bool{false, true} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go (&acceptor{listener: listener, closes: closes}).run()
		c := reach.NewClient(heads.Codec{}, noRates{})
		address := netip.MustParseAddrPort(listener.Addr().String())
		is.Equal(c.IsUp(context.Background(), address), !closes)
		is.NoErr(listener.Close())
		is.True(!c.IsUp(context.Background(), address))
	}
}

// Guards against a whole answer being taken for broken because its server resets a connection that is one too many.
func TestServerHasGoneOnlyIfItRefusesOrClosesConnections(t *testing.T) {
	for a, hasGone := range map[acceptor]bool{{}: false, {closes: true}: true, {resets: true}: false} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		a.listener = listener
		go a.run()
		c := reach.NewClient(heads.Codec{}, noRates{})
		address := netip.MustParseAddrPort(listener.Addr().String())
		is.Equal(c.HasGone(context.Background(), address, 50*time.Millisecond), hasGone)
		is.NoErr(listener.Close())
		is.True(c.HasGone(context.Background(), address, 0))
	}
}
