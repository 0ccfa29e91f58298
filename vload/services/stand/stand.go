// Package stand keeps light stand-ins of agents and entries, many in one
// process: each has a session of its own with real heartbeats, and takes no calls.
package stand

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/models/roster"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// ErrStand is the class of errors of this package.
var ErrStand = errs.Class("stand-ins") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// silentBeats is how many heartbeats may be missing before a session counts as silent, as in the programs.
const silentBeats = 3.5

// registerTries bounds the calls for one registration.
const registerTries = 5

// confirmedAge is the age of the confirmation in every heartbeat.
const confirmedAge = 600 * time.Millisecond

// Options say which stand-ins there are.
type Options struct {
	// List takes the registrations.
	List netip.AddrPort
	// Agents accept sessions; Entries open one each to Target; Listed only stand on the list.
	Agents  int
	Entries int
	Listed  int
	// Services is the number of services that the agents belong to, in turns.
	Services int
	// Target is a real agent's address for sessions.
	Target    netip.AddrPort
	Region    string
	Domain    string
	BeatEvery time.Duration
}

// Stands are the stand-ins of one process.
type Stands struct {
	options Options
	list    *roster.Client
	// revision is the highest that the process under test told.
	revision atomic.Uint64
}

// NewStands returns the stand-ins; Start brings them up.
func NewStands(options Options) *Stands {
	list := roster.NewClient(roster.Options{Address: options.List})
	return &Stands{options: options, list: list}
}

// Start brings up every stand-in and keeps them until the context ends.
func (s *Stands) Start(ctx context.Context) error {
	for i := range s.options.Agents {
		if err := s.startAgent(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.options.Entries {
		if err := s.startEntry(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.options.Listed {
		instance := s.newInstance(member.RoleEntry, fmt.Sprintf("listed-%04d", i))
		if err := s.register(ctx, instance); err != nil {
			return err
		}
	}
	return nil
}

// register tries again where the list does not answer: on a busy machine one
// call of a thousand ends without an answer, and registering twice does no harm.
func (s *Stands) register(ctx context.Context, instance member.Instance) error {
	err := s.list.RegisterInstance(ctx, instance)
	for range registerTries - 1 {
		if err == nil || ctx.Err() != nil {
			break
		}
		err = s.list.RegisterInstance(ctx, instance)
	}
	return ErrStand.Wrap(err)
}

func (s *Stands) newInstance(role member.Role, name string) member.Instance {
	return member.Instance{
		Name:    name,
		Role:    role,
		Region:  s.options.Region,
		Domain:  s.options.Domain,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1),
		Labels:  config.Labels{"tier": "reserved", "rack": "r1"},
	}
}

func (s *Stands) startAgent(ctx context.Context, i int) error {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return ErrStand.Wrap(err)
	}
	instance := s.newInstance(member.RoleAgent, fmt.Sprintf("stand-agent-%04d", i))
	instance.Service = fmt.Sprintf("service-%02d", i%max(1, s.options.Services))
	instance.Address, err = netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return ErrStand.Wrap(err)
	}
	a := &acceptor{listener: listener, options: s.newLink(&instance)}
	go a.loop(ctx)
	return s.register(ctx, instance)
}

func (s *Stands) startEntry(ctx context.Context, i int) error {
	instance := s.newInstance(member.RoleEntry, fmt.Sprintf("stand-entry-%04d", i))
	session, err := link.Dial(ctx, s.options.Target, s.newLink(&instance))
	if err != nil {
		return ErrStand.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = session.Close() })
	return s.register(ctx, instance)
}

// newLink returns a session's settings; its heartbeats are as long as those of the programs.
func (s *Stands) newLink(instance *member.Instance) link.Options {
	return link.Options{
		Hello: &wire.Hello{
			Version:     wire.Version,
			Name:        instance.Name,
			Incarnation: "0123456789abcdef",
			Role:        string(instance.Role),
			Region:      instance.Region,
			Domain:      instance.Domain,
			Service:     instance.Service,
		},
		HeartbeatInterval: s.options.BeatEvery,
		SilenceTimeout:    time.Duration(silentBeats * float64(s.options.BeatEvery)),
		NewHeartbeat:      s.newBeat(instance.Role),
		OnHeartbeat:       s.takeBeat,
	}
}

// newBeat returns the heartbeats of a role. They repeat the revision that the
// process under test told, and confirm it as a fleet at rest does.
func (s *Stands) newBeat(role member.Role) func() *wire.Beat {
	return func() *wire.Beat {
		beat := &wire.Beat{Revision: s.revision.Load(), ConfirmedAgeNanos: int64(confirmedAge)}
		if role == member.RoleAgent {
			beat.Load = &wire.Load{Running: 3, Slots: 16, WaitNanos: 1_000_000, ServiceNanos: 50_000_000}
		}
		return beat
	}
}

func (s *Stands) takeBeat(_ *link.Session, beat *wire.Beat, _ time.Time) {
	if beat.GetRevision() > s.revision.Load() {
		s.revision.Store(beat.GetRevision())
	}
}

// acceptor takes the sessions of one stand-in agent.
type acceptor struct {
	listener net.Listener
	options  link.Options
}

func (a *acceptor) loop(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = a.listener.Close() })
	defer stop()
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.run(conn)
	}
}

func (a *acceptor) run(conn net.Conn) {
	if _, err := link.Accept(conn, a.options); err != nil {
		_ = conn.Close()
	}
}
