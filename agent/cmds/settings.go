// Package cmds assembles the agent from its settings.
package cmds

import (
	"flag"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/setup"
)

// Peers is the table [peers]: the address for the entries' sessions.
type Peers struct {
	Listen netip.AddrPort
	// BeatEvery is the time between two heartbeats; a session is silent after 3.5 of them.
	BeatEvery time.Duration
	// Linger is the shortest time between announcing a stop and stopping.
	Linger time.Duration
}

// Register declares the keys of the section.
func (p *Peers) Register(fs *flag.FlagSet) {
	fs.TextVar(&p.Listen, "peers.listen", netip.AddrPort{}, "`ip:port` for the sessions of entries")
	fs.DurationVar(&p.BeatEvery, "peers.beat-every", time.Second, "`time` between two heartbeats")
	fs.DurationVar(&p.Linger, "peers.linger", time.Second, "shortest `time` from announcing a stop to stopping")
}

// Check returns the faults of the section.
func (p *Peers) Check() []error {
	faults := []error{}
	if !p.Listen.IsValid() {
		faults = append(faults, errs.New("peers.listen: must be set to ip:port"))
	}
	if p.BeatEvery <= 0 {
		faults = append(faults, errs.New("peers.beat-every: must be above 0"))
	}
	return faults
}

// Backend is the table [backend]: the backend server beside the agent.
type Backend struct {
	Address netip.AddrPort
	// Service is the name of the service that it belongs to.
	Service string
	// Slots is how many calls it takes at once; QueueLimit how many may wait.
	Slots      int
	QueueLimit int
	// QueueMode is fair, or fifo as a baseline for experiments.
	QueueMode string
	// ServiceGuess stands for the service time until runs tell it.
	ServiceGuess time.Duration
	// Fencing says whether it checks fencing numbers: checks or ignores.
	Fencing string
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int
}

const (
	defaultSlots        = 16
	defaultQueueLimit   = 256
	defaultServiceGuess = 50 * time.Millisecond
	defaultMaxAnswer    = 16 << 20
)

// Register declares the keys of the section.
func (b *Backend) Register(fs *flag.FlagSet) {
	fs.TextVar(&b.Address, "backend.address", netip.AddrPort{}, "`ip:port` of the backend server")
	fs.StringVar(&b.Service, "backend.service", "", "`name` of the service it belongs to")
	fs.IntVar(&b.Slots, "backend.slots", defaultSlots, "`number` of calls it takes at once")
	fs.IntVar(&b.QueueLimit, "backend.queue-limit", defaultQueueLimit, "`number` of calls that may wait")
	fs.StringVar(&b.QueueMode, "backend.queue-mode", "fair", "`order` of waiting calls: fair, or fifo as a baseline")
	fs.DurationVar(&b.ServiceGuess, "backend.service-guess", defaultServiceGuess, "service `time` until runs tell it")
	fs.StringVar(&b.Fencing, "backend.fencing", "ignores", "whether it `checks` or ignores fencing numbers of orders")
	fs.IntVar(&b.MaxAnswerBytes, "backend.max-answer-bytes", defaultMaxAnswer, "longest answer in `bytes`")
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

// Settings are all tables of the agent's settings.
type Settings struct {
	Log      setup.Log
	Trace    setup.Trace
	Instance setup.Instance
	Platform setup.Platform
	Stop     setup.Stop
	Secure   setup.TLS
	Metrics  setup.Metrics
	Peers    Peers
	Backend  Backend
}

// Sections lists the tables for loading and for checks of example files.
func (s *Settings) Sections() []setup.Section {
	return []setup.Section{
		&s.Log, &s.Trace, &s.Instance, &s.Platform, &s.Stop,
		&s.Secure, &s.Metrics, &s.Peers, &s.Backend, &listenCheck{settings: s},
	}
}

// listenCheck refuses a plain listener beyond loopback, which takes two tables to see.
type listenCheck struct {
	settings *Settings
}

// Register declares no key.
func (l *listenCheck) Register(*flag.FlagSet) {}

// Check returns the fault of a plain listener that others can reach.
func (l *listenCheck) Check() []error {
	return l.settings.Secure.CheckListen("peers.listen", l.settings.Peers.Listen)
}
