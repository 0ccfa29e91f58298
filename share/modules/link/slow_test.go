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

// slowPath passes the answers of a target on in small packets with a pause after each.
type slowPath struct {
	listener net.Listener
	target   netip.AddrPort
	pause    time.Duration
}

const slowPacket = 4 << 10

func (p *slowPath) run() {
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
		if _, err := io.CopyN(caller, target, slowPacket); err != nil {
			return
		}
		time.Sleep(p.pause)
	}
}

func (*slowPath) runRequests(target, caller net.Conn) { _, _ = io.Copy(target, caller) }

// Guards against a session that ends for silence while a large message arrives, behind which heartbeats wait.
func TestSlowMessageKeepsTheSession(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	quiet := newOptions("agent-1")
	quiet.BeatEvery = 200 * time.Millisecond
	p := newPeer(t, quiet)
	path := &slowPath{listener: listener, target: p.address(), pause: 20 * time.Millisecond}
	go path.run()

	options := newOptions("entry-1")
	options.SilentAfter = 600 * time.Millisecond
	s, err := link.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), options)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	stream, err := s.Open()
	is.NoErr(err)
	message := bytes.Repeat([]byte("spruce"), 60_000) // it is echoed, which takes some two seconds
	_, err = stream.Write(message)
	is.NoErr(err)
	_, err = io.ReadFull(stream, make([]byte, len(message)))
	is.NoErr(err)
	is.True(!s.IsClosed())
}
