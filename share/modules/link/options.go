// Package link implements the sessions between the system's own processes. A session is one yamux
// session over TCP or TLS. It has a control stream for the hello and the heartbeats, and one stream
// for each call in flight.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/wire"
)

// ErrLink is the class of errors of this package.
var ErrLink = errs.Class("link") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	// DefaultHeartbeatInterval is the time between two heartbeats that one end sends.
	DefaultHeartbeatInterval = time.Second
	// DefaultSilenceTimeout is the time without any data from the peer after which a session is
	// closed.
	DefaultSilenceTimeout = 3500 * time.Millisecond
	// DefaultHelloTimeout limits the time for connecting and exchanging hellos.
	DefaultHelloTimeout = 3 * time.Second

	streamWindowBytes = 1 << 20
	writeTimeout      = 5 * time.Second
)

// Options are the settings of one end of a session.
type Options struct {
	// Hello is sent to the peer when the session is opened. The configuration revision is sent with
	// the heartbeats.
	Hello *wire.Hello
	// TLS is the TLS configuration; nil means sessions without TLS.
	TLS *tls.Config
	// Private allows sessions without TLS beyond loopback. It is meant for a network that only the
	// deployment's own instances can reach.
	Private bool
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without any data from the peer after which the session is closed. An
	// open connection can go silent for good while new connections work, so a new connection is
	// tried before the peer is treated as failed.
	SilenceTimeout time.Duration
	// HelloTimeout limits the time for connecting and exchanging hellos.
	HelloTimeout time.Duration
	// Dial opens the connection to a peer; nil: over TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// ConnectAttempt limits one attempt to connect, which is repeated until HelloTimeout; 0: one attempt
	// only. The first packet to a peer that is about to start is lost, and the kernel sends it again only
	// after a second.
	ConnectAttempt time.Duration
	// NewHeartbeat returns a heartbeat with the content of the sender, for example its configuration
	// revision, load and leaving flag. The session sets the sequence and the echo fields.
	NewHeartbeat func() *wire.Beat
	// OnHeartbeat is called for each heartbeat of the peer. notBefore is the earliest local time at
	// which the peer can have written it. It is zero if the heartbeat echoes no heartbeat of this
	// end whose send time is still known.
	OnHeartbeat func(s *Session, beat *wire.Beat, notBefore time.Time)
	// OnFrame, if set, is called for each frame that a stream of the session sent or received, with the
	// name of the frame's body and the encoded size in bytes.
	OnFrame func(sent bool, body string, bytes int)
	// OnDown is called once, when the session has ended.
	OnDown func(s *Session, reason error)
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.HelloTimeout == 0 {
		o.HelloTimeout = DefaultHelloTimeout
	}
	return o
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// The heartbeats on the control stream detect a dead session, so yamux's own pings are not needed.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	// Each call has its own deadline. A timeout in yamux would end the whole session.
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}
