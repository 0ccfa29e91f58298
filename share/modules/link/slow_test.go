package link_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
)

// slowProxy forwards the data from a target in small packets, with a pause after each.
type slowProxy struct {
	listener net.Listener
	target   netip.AddrPort
	pause    time.Duration
}

const slowPacketBytes = 4 << 10

func (p *slowProxy) run() {
	caller, err := p.listener.Accept()
	if err != nil {
		return
	}
	target, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = caller.Close()
		return
	}
	go p.runRequests(target, caller)
	for {
		if _, err := io.CopyN(caller, target, slowPacketBytes); err != nil {
			return
		}
		time.Sleep(p.pause)
	}
}

func (*slowProxy) runRequests(target, caller net.Conn) { _, _ = io.Copy(target, caller) }

// Guards against a session that is closed as silent while a large message arrives over a slow link.
// Heartbeats are queued behind the message, so they alone do not show that the peer is alive.
func TestSlowMessageDoesNotEndSession(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	agentOptions := newOptions("agent-1")
	agentOptions.HeartbeatInterval = 200 * time.Millisecond
	p := newPeer(t, agentOptions)
	proxy := &slowProxy{listener: listener, target: p.address(), pause: 20 * time.Millisecond}
	go proxy.run()

	options := newOptions("entry-1")
	options.SilenceTimeout = 600 * time.Millisecond
	s, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	stream, err := s.Open()
	is.NoErr(err)
	message := bytes.Repeat([]byte("spruce"), 60_000) // the echo takes about two seconds
	_, err = stream.Write(message)
	is.NoErr(err)
	_, err = io.ReadFull(stream, make([]byte, len(message)))
	is.NoErr(err)
	is.True(!s.IsClosed())
}
