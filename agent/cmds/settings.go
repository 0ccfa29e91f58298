// Package cmds assembles the agent from its settings and runs it.
package cmds

import (
	"flag"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/setup"
)

// Peers is the table [peers]: the sessions with entries.
type Peers struct {
	// Listen is the address for the sessions of entries.
	Listen netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats. A session without any data for 3.5
	// times as long is closed.
	HeartbeatInterval time.Duration
	// Linger is the shortest time from the announcement of a stop to the stop.
	Linger time.Duration
}

// Register declares the keys of the section.
func (p *Peers) Register(fs *flag.FlagSet) {
	fs.TextVar(&p.Listen, "peers.listen", netip.AddrPort{}, "`ip:port` for the sessions of entries")
	fs.DurationVar(&p.HeartbeatInterval, "peers.beat-every", time.Second, "`time` between two heartbeats; a session without any data for three and a half times as long is closed")
	fs.DurationVar(&p.Linger, "peers.linger", time.Second, "shortest `time` from the announcement of a stop to the stop")
}

// Check returns the faults of the section.
func (p *Peers) Check() []error {
	faults := []error{}
	if !p.Listen.IsValid() {
		faults = append(faults, errs.New("peers.listen: must be set to ip:port"))
	}
	if p.HeartbeatInterval <= 0 {
		faults = append(faults, errs.New("peers.beat-every: must be above 0"))
	}
	return faults
}

// Backend is the table [backend]: the backend server that the agent serves.
type Backend struct {
	Address netip.AddrPort
	// Service is the name of the service that the backend server belongs to.
	Service string
	// Slots is how many calls the backend server runs at once, QueueLimit how many may wait.
	Slots      int
	QueueLimit int
	// QueueMode is "fair", or "fifo" as a baseline for experiments.
	QueueMode string
	// DefaultServiceTime is the assumed service time until runs have been measured.
	DefaultServiceTime time.Duration
	// Fencing is "checks" if the backend server checks fencing numbers, and otherwise "ignores".
	Fencing string
	// MaxAnswerBytes limits the size of one answer.
	MaxAnswerBytes int
}

const (
	defaultSlots          = 16
	defaultQueueLimit     = 256
	defaultServiceTime    = 50 * time.Millisecond
	defaultMaxAnswerBytes = 16 << 20
)

// Register declares the keys of the section.
func (b *Backend) Register(fs *flag.FlagSet) {
	fs.TextVar(&b.Address, "backend.address", netip.AddrPort{}, "`ip:port` of the backend server")
	fs.StringVar(&b.Service, "backend.service", "", "`name` of the service that the backend server belongs to")
	fs.IntVar(&b.Slots, "backend.slots", defaultSlots, "`number` of calls that the backend server runs at once")
	fs.IntVar(&b.QueueLimit, "backend.queue-limit", defaultQueueLimit, "`number` of calls that may wait")
	fs.StringVar(&b.QueueMode, "backend.queue-mode", "fair", "`order` of waiting calls: fair, or fifo as a baseline")
	fs.DurationVar(&b.DefaultServiceTime, "backend.service-guess", defaultServiceTime, "assumed service `time` until runs have been measured")
	fs.StringVar(&b.Fencing, "backend.fencing", "ignores", "whether the backend server `checks` or ignores the fencing numbers of orders")
	fs.IntVar(&b.MaxAnswerBytes, "backend.max-answer-bytes", defaultMaxAnswerBytes, "maximum size of an answer in `bytes`")
}

// Check returns the faults of the section.
func (b *Backend) Check() []error {
	faults := []error{}
	if !b.Address.IsValid() {
		faults = append(faults, errs.New("backend.address: must be set to ip:port"))
	}
	if b.Service == "" {
		faults = append(faults, errs.New("backend.service: must be set"))
	}
	if b.Slots < 1 {
		faults = append(faults, errs.New("backend.slots: must be at least 1"))
	}
	if b.QueueLimit < 0 {
		faults = append(faults, errs.New("backend.queue-limit: must not be negative"))
	}
	if b.QueueMode != "fair" && b.QueueMode != "fifo" {
		faults = append(faults, errs.New("backend.queue-mode: %q is neither fair nor fifo", b.QueueMode))
	}
	if b.Fencing != "checks" && b.Fencing != "ignores" {
		faults = append(faults, errs.New("backend.fencing: %q is neither checks nor ignores", b.Fencing))
	}
	if b.MaxAnswerBytes < 1 {
		faults = append(faults, errs.New("backend.max-answer-bytes: must be above 0"))
	}
	return faults
}

// Settings holds all tables of the agent's settings.
type Settings struct {
	Log      setup.Log
	Trace    setup.Trace
	Instance setup.Instance
	Platform setup.Platform
	Stop     setup.Stop
	TLS      setup.TLS
	Metrics  setup.Metrics
	Peers    Peers
	Backend  Backend
}

// Sections returns all tables, for loading them and for tests of example files.
func (s *Settings) Sections() []setup.Section {
	return []setup.Section{
		&s.Log, &s.Trace, &s.Instance, &s.Platform, &s.Stop,
		&s.TLS, &s.Metrics, &s.Peers, &s.Backend, &listenCheck{settings: s},
	}
}

// listenCheck rejects a listener without TLS beyond loopback. It is a section of its own because it
// needs two tables, [peers] and [tls].
type listenCheck struct {
	settings *Settings
}

// Register declares no key; listenCheck only checks.
func (l *listenCheck) Register(*flag.FlagSet) {}

// Check returns a fault if other machines can reach a listener without TLS.
func (l *listenCheck) Check() []error {
	return l.settings.TLS.CheckListen("peers.listen", l.settings.Peers.Listen)
}
