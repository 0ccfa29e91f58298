// Package mesh connects an ingress to the other ingresses: it opens a session to one when it is
// needed and tracks which of them are reachable. It also distributes the records of the platform's
// store: a Feeder receives changes from another ingress and pushes them to its followers, and a
// Puller asks other ingresses for records that reach this one in no other way.
package mesh

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/rhash"
	"verbenaroad.example/share/modules/wire"
)

// ErrMesh is the class of errors of this package.
var ErrMesh = errs.Class("mesh") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	// reconnectBackoff is the delay before the next attempt to reach an ingress that could not
	// be reached.
	reconnectBackoff = 600 * time.Millisecond
	// dialTimeout limits opening a session, which takes three one-way trips. Between regions each
	// of them takes 12 ms.
	dialTimeout = 600 * time.Millisecond
	// syncStallTimeout limits the time between two parts of the answer to a wire.Sync. The
	// complete answer takes as long as the link needs for it.
	syncStallTimeout = 700 * time.Millisecond
)

// Options are the settings of a Mesh.
type Options struct {
	Self site.Ingress
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// IsLeaving reports whether this process is stopping.
	IsLeaving func() bool
	Link      link.Options
	// OnBacklog is called with the backlog of each service that another ingress batches for, as
	// reported in its heartbeats.
	OnBacklog func(backlog *wire.Outlook)
	// OnStoreStatus is called with the state of another ingress's connection to the store and of
	// its copy of the records, as reported in its heartbeats.
	// NotBefore is the earliest time of the status, as uptime.Now tells it; zero: not known.
	OnStoreStatus func(name string, status *wire.Reading, notBefore time.Time)
	// OnStatements is called with each heartbeat of another ingress for what backend servers have
	// stated. It may be nil.
	OnStatements func(name string, beat *wire.Beat)
	Log          *zap.Logger
}

// Mesh holds the sessions that this ingress opened to the other ingresses.
type Mesh struct {
	options Options

	lock sync.Mutex
	// known are the registered ingresses by name, excluding this one. Each of them has an entry
	// in peers.
	known map[string]site.Ingress
	peers map[string]*peer
	// changes counts the changes of the set of reachable ingresses and of their registrations.
	changes uint64
}

// peer is one other ingress.
type peer struct {
	address netip.AddrPort
	// dialing protects session and is held while one is opened, so that it is opened only once.
	dialing sync.Mutex
	session *link.Session
	// failed peers get no work until a session to them has been opened again, which is next
	// attempted at retryAt. Peers that are leaving, that is shutting down, get no work either.
	failed  bool
	retryAt time.Time
	leaving bool
}

// NewMesh returns a mesh without peers.
func NewMesh(options Options) *Mesh {
	return &Mesh{options: options, known: map[string]site.Ingress{}, peers: map[string]*peer{}}
}

// Self returns the name of this ingress.
func (m *Mesh) Self() string { return m.options.Self.Name }

// SetView replaces the registered ingresses by those of a new view.
func (m *Mesh) SetView(v *state.View) {
	m.lock.Lock()
	defer m.lock.Unlock()
	known := map[string]site.Ingress{}
	for _, i := range v.Ingresses {
		if i.Name == m.options.Self.Name {
			continue
		}
		known[i.Name] = i
		p := m.peers[i.Name]
		if p == nil || p.address != i.Address {
			m.peers[i.Name] = &peer{address: i.Address}
		}
	}
	if maps.Equal(known, m.known) {
		return // only other parts of the view changed
	}
	m.known = known
	m.changes++
}

// listReachable returns the other reachable ingresses and the change count to which this list
// belongs.
func (m *Mesh) listReachable() ([]site.Ingress, uint64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	list := []site.Ingress{}
	for name, i := range m.known {
		if p := m.peers[name]; !p.failed && !p.leaving {
			list = append(list, i)
		}
	}
	return list, m.changes
}

// countKnown returns the number of other registered ingresses.
func (m *Mesh) countKnown() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.known)
}

// countChanges returns the current change count, as listReachable does.
func (m *Mesh) countChanges() uint64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.changes
}

// Follow asks another ingress to send the records that this one lacks, now and after each change.
func (m *Mesh) Follow(ctx context.Context, name string, f *wire.Follow, onArrival func()) (*link.Feed, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Follow(ctx, session, f, onArrival)
}

// listByProximity returns the names of the other reachable ingresses: first those of the own
// failure domain, then those of the own region, then all others, each group in random order.
// Answers of nearby ingresses cross no slow link between regions.
func (m *Mesh) listByProximity() []string {
	reachable, _ := m.listReachable()
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	slices.SortStableFunc(reachable, func(a, b site.Ingress) int { return cmp.Compare(m.distance(a), m.distance(b)) })
	names := make([]string, 0, len(reachable))
	for _, i := range reachable {
		names = append(names, i.Name)
	}
	return names
}

// distance returns 0 for an ingress in the own failure domain, 1 for another one in the own region,
// and 2 for one in another region.
func (m *Mesh) distance(i site.Ingress) int {
	switch {
	case i.Domain == m.options.Self.Domain:
		return 0
	case m.options.Regions[i.Domain] == m.options.Regions[m.options.Self.Domain]:
		return 1
	default:
		return 2
	}
}

// hasSession reports whether a session to another ingress is open or being opened.
func (m *Mesh) hasSession(name string) bool {
	m.lock.Lock()
	p := m.peers[name]
	m.lock.Unlock()
	if p == nil {
		return false
	}
	if !p.dialing.TryLock() {
		return true
	}
	defer p.dialing.Unlock()
	return p.session != nil && !p.session.IsClosed()
}

// CountSessions returns how many sessions that this ingress opened are open.
func (m *Mesh) CountSessions() int {
	m.lock.Lock()
	names := slices.Collect(maps.Keys(m.peers))
	m.lock.Unlock()
	count := 0
	for _, name := range names {
		if m.hasSession(name) {
			count++
		}
	}
	return count
}

// Connect opens a session to another ingress unless one is open, in order to receive its
// heartbeats.
func (m *Mesh) Connect(ctx context.Context, name string) error {
	_, err := m.getSession(ctx, name)
	return err
}

// listWeighted returns the other reachable ingresses with their weights.
func (m *Mesh) listWeighted() []rhash.Weighted {
	m.lock.Lock()
	defer m.lock.Unlock()
	weighted := []rhash.Weighted{}
	for name, i := range m.known {
		p := m.peers[name]
		if p.failed || p.leaving {
			continue
		}
		weighted = append(weighted, weigh(i))
	}
	return weighted
}

// Produce asks another ingress to produce the results of a stage.
func (m *Mesh) Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	got, err := link.Produce(ctx, session, p)
	if err != nil && ctx.Err() == nil {
		m.markFailed(name, err)
	}
	return got, err
}

// Assign asks another ingress to place a request.
func (m *Mesh) Assign(ctx context.Context, name string, a *wire.Assign) (*link.Assignment, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Assign(ctx, session, a)
}

// Discard asks another ingress to release results. There is no answer.
func (m *Mesh) Discard(name string, d *wire.Discard) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	session, err := m.getSession(ctx, name)
	if err != nil {
		return err
	}
	return link.Discard(session, d)
}

// ReportCrash reports to another ingress that an attempt of a request failed because its server
// crashed. The answer reports whether the request is quarantined.
func (m *Mesh) ReportCrash(ctx context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.ReportCrash(ctx, session, c)
}

// ReportPartCrash reports to another ingress that a server crashed before it answered a request whose
// prompt has parts. The answer names the parts that are quarantined.
func (m *Mesh) ReportPartCrash(ctx context.Context, name string, c *wire.PartCrash) (*wire.PartCrashNoted, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.ReportPartCrash(ctx, session, c)
}

// ReportServed reports to another ingress that a request was served.
func (m *Mesh) ReportServed(ctx context.Context, name string, s *wire.Served) error {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return err
	}
	return link.ReportServed(session, s)
}

// SendMemos makes another ingress keep facts about requests. There is no answer.
func (m *Mesh) SendMemos(ctx context.Context, name string, memos *wire.Memos) error {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return err
	}
	return link.SendMemos(session, memos)
}

// Recall asks another ingress for a fact about a request.
func (m *Mesh) Recall(ctx context.Context, name string, r *wire.Recall) (*wire.Recalled, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Recall(ctx, session, r)
}

// Sync asks another ingress for the records that this one lacks.
func (m *Mesh) Sync(ctx context.Context, name string, s *wire.Sync, onArrival func()) (*wire.Records, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Sync(ctx, session, s, syncStallTimeout, onArrival)
}

// SyncAddress is like Sync, for an ingress of which only the address is known.
func (m *Mesh) SyncAddress(ctx context.Context, address netip.AddrPort, s *wire.Sync, onArrival func()) (*wire.Records, error) {
	if address == m.options.Self.Address {
		return nil, ErrMesh.New("address %s belongs to this ingress itself", address)
	}
	session, err := link.Dial(ctx, address, m.options.Link)
	if err != nil {
		return nil, err
	}
	defer func() { _ = session.Close() }()
	return link.Sync(ctx, session, s, syncStallTimeout, onArrival)
}

// getSession returns the open session to another ingress and opens one if there is none.
func (m *Mesh) getSession(ctx context.Context, name string) (*link.Session, error) {
	m.lock.Lock()
	p := m.peers[name]
	m.lock.Unlock()
	if p == nil {
		return nil, ErrMesh.New("ingress %s is not registered", name)
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	options := m.options.Link
	options.OnHeartbeat = func(s *link.Session, beat *wire.Beat, _ time.Time) {
		m.observeHeartbeat(name, beat, s.EarliestWrite(beat))
	}
	options.OnDown = func(_ *link.Session, reason error) { m.markFailed(name, reason) }
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := link.Dial(dialCtx, p.address, options)
	if err != nil {
		if ctx.Err() == nil {
			m.markFailed(name, err)
		}
		return nil, err
	}
	p.session = session
	m.lock.Lock()
	if p.failed {
		m.changes++
	}
	p.failed = false
	m.lock.Unlock()
	m.options.Log.Info("peer-reached", zap.String("ingress", name), zap.Stringer("address", p.address))
	return session, nil
}

func (m *Mesh) observeHeartbeat(name string, beat *wire.Beat, notBefore time.Time) {
	for _, o := range beat.GetOutlooks() {
		m.options.OnBacklog(o)
	}
	if beat.GetReading() != nil {
		m.options.OnStoreStatus(name, beat.GetReading(), notBefore)
	}
	if m.options.OnStatements != nil {
		m.options.OnStatements(name, beat)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	p := m.peers[name]
	if p == nil || p.leaving == beat.GetLeaving() {
		return
	}
	p.leaving = beat.GetLeaving()
	m.changes++
	m.options.Log.Info("peer-leaving", zap.String("ingress", name), zap.Bool("leaving", p.leaving))
}

// markFailed excludes an ingress from new work until it has been reached again. Jobs thus move to
// the next ingress at once, and no request waits for a peer that is frozen or partitioned.
func (m *Mesh) markFailed(name string, reason error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	p := m.peers[name]
	if p == nil {
		return
	}
	p.retryAt = time.Now().Add(reconnectBackoff)
	if p.leaving {
		m.changes++
	}
	p.leaving = false
	if p.failed {
		return
	}
	p.failed = true
	m.changes++
	m.options.Log.Warn("peer-lost", zap.String("ingress", name), zap.Stringer("address", p.address), logs.Err(reason))
}

// Start reconnects to failed ingresses until the context ends.
func (m *Mesh) Start(ctx context.Context) {
	go m.loop(ctx)
}

func (m *Mesh) loop(ctx context.Context) {
	for pauses.Wait(ctx, reconnectBackoff/2) {
		for _, name := range m.listRetryDue() {
			go m.runReconnect(ctx, name)
		}
	}
}

func (m *Mesh) runReconnect(ctx context.Context, name string) {
	if _, err := m.getSession(ctx, name); err != nil {
		m.options.Log.Debug("peer-still-lost", zap.String("ingress", name), logs.Err(err))
	}
}

// listRetryDue returns the failed ingresses for which the next connection attempt is due.
func (m *Mesh) listRetryDue() []string {
	m.lock.Lock()
	defer m.lock.Unlock()
	now := time.Now()
	names := []string{}
	for name := range m.known {
		p := m.peers[name]
		if p.failed && now.After(p.retryAt) {
			p.retryAt = now.Add(dialTimeout + reconnectBackoff)
			names = append(names, name)
		}
	}
	return names
}
