// Package stand runs lightweight stand-ins of agents and entries, many in one process. Stand-in
// agents accept sessions and stand-in entries open one each, with real heartbeats on them; none of
// them handles calls.
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

// silenceFactor times the heartbeat interval is how long a session may be silent before it is
// closed. Agents, entries and ingresses use the same factor.
const silenceFactor = 3.5

// registerAttempts limits the attempts of one registration.
const registerAttempts = 5

// confirmedAge is the time since the key-value service confirmed the revision, as every heartbeat
// reports it.
const confirmedAge = 600 * time.Millisecond

// Options determine which stand-ins are started.
type Options struct {
	// List is the address of the instance list, where the stand-ins are registered.
	List netip.AddrPort
	// Agents is the number of stand-in agents, which accept sessions. Entries is the number of
	// stand-in entries, which open one session each to Target. Listed is the number of entries
	// that are only registered.
	Agents  int
	Entries int
	Listed  int
	// Services is the number of services; the agents are assigned to them in turn.
	Services int
	// Target is the session address of a real agent.
	Target            netip.AddrPort
	Region            string
	Domain            string
	HeartbeatInterval time.Duration
}

// Group is the set of stand-ins of one process.
type Group struct {
	options Options
	list    *roster.Client
	// revision is the highest configuration revision that the process under test has reported.
	revision atomic.Uint64
}

// NewGroup returns a group whose stand-ins Start starts.
func NewGroup(options Options) *Group {
	list := roster.NewClient(roster.Options{Address: options.List})
	return &Group{options: options, list: list}
}

// Start starts all stand-ins. They run in the background until ctx is canceled.
func (g *Group) Start(ctx context.Context) error {
	for i := range g.options.Agents {
		if err := g.startAgent(ctx, i); err != nil {
			return err
		}
	}
	for i := range g.options.Entries {
		if err := g.startEntry(ctx, i); err != nil {
			return err
		}
	}
	for i := range g.options.Listed {
		instance := g.newInstance(member.RoleEntry, fmt.Sprintf("listed-%04d", i))
		if err := g.register(ctx, instance); err != nil {
			return err
		}
	}
	return nil
}

// register registers the instance and retries on an error: on a busy machine one call in a thousand
// gets no answer, and registering twice does no harm.
func (g *Group) register(ctx context.Context, instance member.Instance) error {
	err := g.list.RegisterInstance(ctx, instance)
	for range registerAttempts - 1 {
		if err == nil || ctx.Err() != nil {
			break
		}
		err = g.list.RegisterInstance(ctx, instance)
	}
	return ErrStand.Wrap(err)
}

func (g *Group) newInstance(role member.Role, name string) member.Instance {
	return member.Instance{
		Name:    name,
		Role:    role,
		Region:  g.options.Region,
		Domain:  g.options.Domain,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1),
		Labels:  config.Labels{"tier": "reserved", "rack": "r1"},
	}
}

func (g *Group) startAgent(ctx context.Context, i int) error {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return ErrStand.Wrap(err)
	}
	instance := g.newInstance(member.RoleAgent, fmt.Sprintf("stand-agent-%04d", i))
	instance.Service = fmt.Sprintf("service-%02d", i%max(1, g.options.Services))
	instance.Address, err = netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return ErrStand.Wrap(err)
	}
	a := &acceptor{listener: listener, options: g.newLinkOptions(&instance)}
	go a.loop(ctx)
	return g.register(ctx, instance)
}

func (g *Group) startEntry(ctx context.Context, i int) error {
	instance := g.newInstance(member.RoleEntry, fmt.Sprintf("stand-entry-%04d", i))
	session, err := link.Dial(ctx, g.options.Target, g.newLinkOptions(&instance))
	if err != nil {
		return ErrStand.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = session.Close() })
	return g.register(ctx, instance)
}

// newLinkOptions returns the options of a session; its heartbeats are as large as those of real
// instances.
func (g *Group) newLinkOptions(instance *member.Instance) link.Options {
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
		HeartbeatInterval: g.options.HeartbeatInterval,
		SilenceTimeout:    time.Duration(silenceFactor * float64(g.options.HeartbeatInterval)),
		NewHeartbeat:      g.newHeartbeat(instance.Role),
		OnHeartbeat:       g.handleHeartbeat,
	}
}

// newHeartbeat returns a function that creates the heartbeats of a role. They report the highest
// revision received from the process under test as confirmed, as instances do while the
// configuration does not change.
func (g *Group) newHeartbeat(role member.Role) func() *wire.Beat {
	return func() *wire.Beat {
		beat := &wire.Beat{Revision: g.revision.Load(), ConfirmedAgeNanos: int64(confirmedAge)}
		if role == member.RoleAgent {
			beat.Load = &wire.Load{Running: 3, Slots: 16, WaitNanos: 1_000_000, ServiceNanos: 50_000_000}
		}
		return beat
	}
}

func (g *Group) handleHeartbeat(_ *link.Session, beat *wire.Beat, _ time.Time) {
	if beat.GetRevision() > g.revision.Load() {
		g.revision.Store(beat.GetRevision())
	}
}

// acceptor accepts the sessions of one stand-in agent.
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
