// Package link keeps the sessions between the system's own processes: one
// yamux session over TCP or TLS with a control stream for hello and
// heartbeats, and one stream for each call.
package link

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/wire"
)

// ErrLink is the class of errors of this package.
var ErrLink = errs.Class("link") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	// DefaultBeatEvery is the time between two heartbeats of one end.
	DefaultBeatEvery = time.Second
	// DefaultSilentAfter is how long a session may bring nothing before it counts as silent.
	DefaultSilentAfter = 3500 * time.Millisecond
	// DefaultHelloTimeout bounds connecting and the exchange of hellos.
	DefaultHelloTimeout = 3 * time.Second

	streamWindowBytes = 1 << 20
	writeTimeout      = 5 * time.Second
)

// Options are the settings of one end of a session.
type Options struct {
	// Hello is sent to the peer; its revision is filled in by Beat.
	Hello *wire.Hello
	// TLS is nil for plain sessions.
	TLS *tls.Config
	// Private allows plain sessions beyond loopback, on a network that only the
	// deployment's own instances reach.
	Private bool
	// BeatEvery is the time between two heartbeats.
	BeatEvery time.Duration
	// SilentAfter is how long the peer may be silent. An open connection can go
	// silent for good while new ones work, so a silent session is closed and
	// a fresh connection is tried before the peer is blamed.
	SilentAfter time.Duration
	// HelloTimeout bounds connecting and the exchange of hellos.
	HelloTimeout time.Duration
	// Beat fills in the revision, age, load and leaving mark of each heartbeat.
	Beat func() *wire.Beat
	// OnBeat is told of each heartbeat of the peer, with the earliest local time at
	// which the peer can have written it; zero when the heartbeat echoes none.
	OnBeat func(s *Session, beat *wire.Beat, notBefore time.Time)
	// OnDown is told once when the session has ended.
	OnDown func(s *Session, reason error)
}

func (o Options) withDefaults() Options {
	if o.BeatEvery == 0 {
		o.BeatEvery = DefaultBeatEvery
	}
	if o.SilentAfter == 0 {
		o.SilentAfter = DefaultSilentAfter
	}
	if o.HelloTimeout == 0 {
		o.HelloTimeout = DefaultHelloTimeout
	}
	return o
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// The control stream's heartbeats watch the session; yamux's own pings would double them.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	// Each call has its own deadline; yamux would end the whole session.
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}
