package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/uptime"
	"verbenaroad.example/share/modules/wire"
)

// peer accepts sessions and echoes all data on each stream.
type peer struct {
	listener net.Listener
	options  link.Options
	sessions chan *link.Session
}

func newPeer(t testing.TB, options link.Options) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener, options: options, sessions: make(chan *link.Session, 4)}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return p
}

func (p *peer) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *peer) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		s, err := link.Accept(conn, p.options)
		if err != nil {
			continue
		}
		p.sessions <- s
		go p.runEcho(s)
	}
}

func (p *peer) runEcho(s *link.Session) {
	for {
		stream, err := s.Accept()
		if err != nil {
			return
		}
		go p.runStream(stream)
	}
}

func (p *peer) runStream(stream net.Conn) {
	_, _ = io.Copy(stream, stream)
	_ = stream.Close()
}

func newOptions(name string) link.Options {
	return link.Options{
		Hello:             &wire.Hello{Version: wire.Version, Name: name},
		HeartbeatInterval: 10 * time.Millisecond,
		NewHeartbeat:      func() *wire.Beat { return &wire.Beat{Revision: 7} },
	}
}

func TestSessionCarriesHelloHeartbeatsAndStreams(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, newOptions("agent-1"))
	options := newOptions("entry-1")
	beats := make(chan uint64, 100)
	options.OnHeartbeat = func(_ *link.Session, beat *wire.Beat, _ time.Time) { beats <- beat.GetRevision() }
	s, err := link.Dial(context.Background(), p.address(), options)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	is.Equal(s.Peer().GetName(), "agent-1")
	is.Equal((<-p.sessions).Peer().GetName(), "entry-1")
	is.Equal(<-beats, uint64(7))

	stream, err := s.Open()
	is.NoErr(err)
	is.NoErr(wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: []byte("spruce")}}}))
	frame, err := wire.NewReader(stream).Next()
	is.NoErr(err)
	is.Equal(string(frame.GetPart().GetData()), "spruce")
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, newOptions("agent-1"))
	options := newOptions("entry-1")
	options.Hello.Version = wire.Version + 1
	_, err := link.Dial(context.Background(), p.address(), options)
	var result *codes.Result
	is.True(errors.As(err, &result))
	is.Equal(result.Code, codes.UnknownVersion)
	is.Equal(result.Outcome, codes.OutcomeNotRun)
}

func TestPlainSessionBeyondLoopbackIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := link.Dial(context.Background(), netip.MustParseAddrPort("192.0.2.1:7000"), newOptions("entry-1"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "needs TLS"))
}

// Guards against calls that hang until their deadline on a session that has gone silent for good,
// for example because a firewall has lost track of the connection: nothing arrives and no error
// shows. The session must end by itself, so that a new one can be tried.
func TestSilentSessionEnds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	silentOptions := newOptions("agent-1")
	silentOptions.HeartbeatInterval = time.Hour
	p := &peer{listener: listener, options: silentOptions, sessions: make(chan *link.Session, 1)}
	go p.run()

	options := newOptions("entry-1")
	options.SilenceTimeout = 50 * time.Millisecond
	down := make(chan error, 1)
	options.OnDown = func(_ *link.Session, reason error) { down <- reason }
	s, err := link.Dial(context.Background(), p.address(), options)
	is.NoErr(err)
	is.True(<-down != nil)
	is.True(s.IsClosed())
}

// Guards against an age of what a peer states that counts from when its heartbeat was read: the heartbeat may have waited
// unread for any time.
func TestHeartbeatThatWaitedIsAsOldAsItsEcho(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, newOptions("ingress-1"))
	options := newOptions("ingress-0")
	earliest := make(chan time.Duration, 100)
	waited := atomic.Bool{}
	options.OnHeartbeat = func(s *link.Session, beat *wire.Beat, _ time.Time) {
		if written := s.EarliestWrite(beat); !written.IsZero() {
			earliest <- uptime.Since(written)
			if waited.CompareAndSwap(false, true) {
				time.Sleep(100 * time.Millisecond) // the heartbeats after this one wait
			}
		}
	}
	s, err := link.Dial(context.Background(), p.address(), options)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	<-earliest
	is.True(<-earliest >= 80*time.Millisecond)
}
