package reach_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/platform/heads"
)

// acceptor accepts connections, and closes them at once if closes is set.
type acceptor struct {
	listener net.Listener
	closes   bool
}

func (t *acceptor) run() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		if t.closes {
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
