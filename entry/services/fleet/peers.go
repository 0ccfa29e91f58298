package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

const (
	// redialBase and redialMax set the backoff between two connection attempts to one agent. It
	// doubles with each failure up to redialMax, and jitter is applied to it. redialBase is also
	// the interval at which a session that is no longer wanted is checked for running calls.
	redialBase = 100 * time.Millisecond
	redialMax  = 5 * time.Second
	// fetchTimeout is the time limit for answering one fetch.
	fetchTimeout = 3 * time.Second
)

// peer is one agent and the session to it.
type peer struct {
	instance member.Instance
	// session is nil while no session is open; guarded by the fleet's lock.
	session *link.Session
	// dialing is set while runDial is connecting; guarded by the fleet's lock.
	dialing bool
	// failures counts consecutive failed connection attempts and sets the backoff before the next.
	failures int
	nextDial time.Time
}

// loop is the control loop: it reads the instance list and opens and closes sessions.
func (f *Fleet) loop(ctx context.Context) {
	ticker := time.NewTicker(f.options.ListInterval)
	defer ticker.Stop()
	f.updateMembers(ctx)
	for {
		f.reconcileSessions(ctx)
		select {
		case <-ctx.Done():
			f.closeAll()
			return
		case <-f.wake:
		case <-time.After(redialBase + f.options.ListInterval/4):
		case <-ticker.C:
			f.updateMembers(ctx)
		}
	}
}

// updateMembers updates the agents and entries from the instance list. A failed read leaves them
// unchanged.
func (f *Fleet) updateMembers(ctx context.Context) {
	agents, err := f.options.List.FindInstances(ctx, member.RoleAgent)
	if err != nil {
		f.options.Log.Warn("list-unavailable", zap.Error(err))
		return
	}
	entries, err := f.options.List.FindInstances(ctx, member.RoleEntry)
	if err == nil {
		f.lock.Lock()
		f.entries = max(1, len(entries))
		f.entryNames = namesOf(entries)
		f.lock.Unlock()
		f.options.Watcher.OnInstances(append(entries, agents...))
	}
	f.updatePeers(agents)
	now := time.Now()
	for _, s := range f.listServices(agents) {
		s.lock.Lock()
		s.router.OnMembers(now, agents)
		s.lock.Unlock()
	}
}

// updatePeers adds and updates the listed agents and removes unlisted ones without a session.
func (f *Fleet) updatePeers(agents []member.Instance) {
	f.lock.Lock()
	defer f.lock.Unlock()
	listed := make(map[string]bool, len(agents))
	for _, instance := range agents {
		listed[instance.Name] = true
		p := f.peers[instance.Name]
		if p == nil {
			p = &peer{}
			f.peers[instance.Name] = p
		}
		p.instance = instance
	}
	for name, p := range f.peers {
		if !listed[name] && p.session == nil {
			delete(f.peers, name)
		}
	}
}

// listServices adds the services of the given agents and returns all services.
func (f *Fleet) listServices(agents []member.Instance) []*service {
	for _, instance := range agents {
		f.getService(instance.Service)
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	all := make([]*service, 0, len(f.services))
	for _, s := range f.services {
		all = append(all, s)
	}
	return all
}

// reconcileSessions connects to the wanted agents and closes the sessions to all others.
func (f *Fleet) reconcileSessions(ctx context.Context) {
	wanted := map[string]bool{}
	for _, s := range f.listServices(nil) {
		s.lock.Lock()
		for _, name := range s.router.WantedAgents() {
			wanted[name] = true
		}
		s.lock.Unlock()
	}
	now := time.Now()
	f.lock.Lock()
	defer f.lock.Unlock()
	for name, p := range f.peers {
		if wanted[name] && p.session == nil && !p.dialing && now.After(p.nextDial) {
			p.dialing = true
			go f.runDial(ctx, p.instance)
		}
		if !wanted[name] && p.session != nil {
			go f.runRetire(ctx, p.session)
		}
	}
}

// runRetire closes a session that is no longer wanted as soon as no call uses it.
func (f *Fleet) runRetire(ctx context.Context, session *link.Session) {
	for session.CountBusy() > 0 && ctx.Err() == nil && !session.IsClosed() {
		time.Sleep(redialBase)
	}
	_ = session.Close()
}

func (f *Fleet) runDial(ctx context.Context, instance member.Instance) {
	options := f.options.Link
	options.OnHeartbeat = f.handleHeartbeat
	options.OnDown = f.removeSession
	session, err := link.Dial(ctx, instance.Address, options)
	f.lock.Lock()
	p := f.peers[instance.Name]
	if p == nil {
		p = &peer{instance: instance}
		f.peers[instance.Name] = p
	}
	p.dialing = false
	if err != nil {
		p.failures++
		backoff := min(redialMax, redialBase<<min(p.failures, 8))
		p.nextDial = time.Now().Add(time.Duration(float64(backoff) * (0.5 + rand.Float64()))) //nolint:gosec // jitter
		f.lock.Unlock()
		f.options.Log.Warn("session-failed", zap.String("agent", instance.Name), zap.Error(err))
		return
	}
	p.failures = 0
	p.session = session
	f.lock.Unlock()
	f.options.Log.Info("session-up", zap.String("agent", instance.Name))
	go f.runServe(session)
	f.onSession(instance, route.SessionUp, session.Peer().GetIncarnation())
	if session.IsClosed() {
		// The session ended before p.session was set, so removeSession had nothing to clear.
		f.removeSession(session, ErrFleet.New("session ended before it was registered"))
	}
}

// runServe answers the fetches that the agent sends over the session.
func (f *Fleet) runServe(session *link.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go f.runFetch(stream)
	}
}

func (f *Fleet) runFetch(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(fetchTimeout))
	frame, err := wire.NewReader(stream).Next()
	if err != nil || frame.GetFetch() == nil {
		return
	}
	answer := f.options.Watcher.AnswerFetch(frame.GetFetch())
	_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Chunks{Chunks: answer}})
}

func (f *Fleet) onSession(instance member.Instance, state route.Session, incarnation string) {
	s := f.getService(instance.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.router.OnSession(time.Now(), instance.Name, state, incarnation)
}

// removeSession removes an ended session and wakes the control loop so that it connects again
// without delay. The router does not choose the agent until it is connected again, but does not
// count the end of the session as a fault of the agent.
func (f *Fleet) removeSession(session *link.Session, reason error) {
	name := session.Peer().GetName()
	f.lock.Lock()
	p := f.peers[name]
	if p == nil || p.session != session {
		f.lock.Unlock()
		return
	}
	p.session = nil
	instance := p.instance
	if instance.Region != f.options.Self.Region {
		read, written := session.Traffic()
		f.closedCrossBytes += read + written
	}
	f.lock.Unlock()
	f.options.Log.Warn("session-down", zap.String("agent", name), zap.Error(reason))
	f.onSession(instance, route.SessionDown, session.Peer().GetIncarnation())
	f.options.Watcher.OnPeerDisconnected(name)
	f.wakeLoop()
}

// handleHeartbeat passes a heartbeat to the watcher, and its load report and leaving flag to the
// router.
func (f *Fleet) handleHeartbeat(session *link.Session, heartbeat *wire.Beat, notBefore time.Time) {
	name := session.Peer().GetName()
	f.options.Watcher.OnPeerHeartbeat(name, heartbeat, notBefore)
	s := f.getService(session.Peer().GetService())
	now := time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	if heartbeat.GetLeaving() {
		s.router.OnLeaving(now, name)
	}
	if report := LoadOf(heartbeat.GetLoad()); report != nil {
		s.router.OnReport(now, name, *report)
	}
}

// LoadOf converts a load report to the router's type; it returns nil for nil.
func LoadOf(l *wire.Load) *route.Load {
	if l == nil {
		return nil
	}
	return &route.Load{
		Running:     int(l.GetRunning()),
		Queued:      int(l.GetQueued()),
		Slots:       int(l.GetSlots()),
		Wait:        time.Duration(l.GetWaitNanos()),
		ServiceTime: time.Duration(l.GetServiceNanos()),
	}
}

func (f *Fleet) getSession(name string) *link.Session {
	f.lock.Lock()
	defer f.lock.Unlock()
	p := f.peers[name]
	if p == nil {
		return nil
	}
	return p.session
}

func (f *Fleet) closeAll() {
	f.lock.Lock()
	sessions := []*link.Session{}
	for _, p := range f.peers {
		if p.session != nil {
			sessions = append(sessions, p.session)
		}
	}
	f.lock.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
}

// FetchChunks requests chunks of the configuration from an agent.
func (f *Fleet) FetchChunks(ctx context.Context, name string, fetch *wire.Fetch) (*wire.Chunks, error) {
	session := f.getSession(name)
	if session == nil {
		return nil, ErrFleet.New("no session to %s", name)
	}
	return link.FetchChunks(ctx, session, fetch)
}

// RequestTombstone asks an agent to tombstone a claimed attempt that has not started, so that the
// agent never starts it, and returns the attempt's state.
func (f *Fleet) RequestTombstone(ctx context.Context, name string, ask *wire.Ask) (*wire.Told, error) {
	session := f.getSession(name)
	if session == nil {
		return nil, ErrFleet.New("no session to %s", name)
	}
	return link.RequestTombstone(ctx, session, ask)
}
