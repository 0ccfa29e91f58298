// Package mesh reaches the other ingresses: it opens a session when one is
// needed, tells which of them can be reached, and asks them for records when
// the store does not answer here.
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
	// retryPause is how long an ingress that could not be reached is left alone.
	retryPause = 600 * time.Millisecond
	// dialTimeout bounds opening a session; a link between regions needs three ways of 12 ms.
	dialTimeout = 600 * time.Millisecond
	// syncStall bounds the pauses in the answer to a question for records. The whole answer
	// takes as long as the link needs for it.
	syncStall = 700 * time.Millisecond
)

// Options are the settings of a Mesh.
type Options struct {
	Self site.Ingress
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// IsLeaving tells whether this process is stopping.
	IsLeaving func() bool
	Link      link.Options
	// OnOutlook is told what a batcher's jobs have to expect.
	OnOutlook func(told *wire.Outlook)
	// OnReading is told how well another ingress knows the store.
	OnReading func(name string, told *wire.Reading)
	Log       *zap.Logger
}

// Mesh holds the sessions that this ingress opened.
type Mesh struct {
	options Options

	lock sync.Mutex
	// known are the registered ingresses by name, without this one.
	known map[string]site.Ingress
	peers map[string]*peer
	// changes counts what changed of which ingresses can be reached.
	changes uint64
}

// peer is one other ingress.
type peer struct {
	address netip.AddrPort
	// dialing guards the session against being opened twice.
	dialing sync.Mutex
	session *link.Session
	// failed peers are not given work until a session to them was opened again, which
	// is tried at retryAt. Leaving peers are not given work either.
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

// TakeView takes the registered ingresses of a new view.
func (m *Mesh) TakeView(v *state.View) {
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
		return // a view of other servers
	}
	m.known = known
	m.changes++
}

// listReachable returns the other ingresses that can be reached, and a count that
// changes with them.
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

// countKnown returns the number of the other registered ingresses.
func (m *Mesh) countKnown() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.known)
}

// countChanges returns the count of listReachable.
func (m *Mesh) countChanges() uint64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.changes
}

// Follow has another ingress send what this one's records lack, now and after each change.
func (m *Mesh) Follow(ctx context.Context, name string, f *wire.Follow, onArrival func()) (*link.Feed, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Follow(ctx, session, f, onArrival)
}

// listNear returns the names of the ingresses that can be reached in an order of chance,
// those of the own failure domain first and then those of the own region: what they
// tell crosses no slow link.
func (m *Mesh) listNear() []string {
	reachable, _ := m.listReachable()
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	slices.SortStableFunc(reachable, func(a, b site.Ingress) int { return cmp.Compare(m.distance(a), m.distance(b)) })
	names := make([]string, 0, len(reachable))
	for _, i := range reachable {
		names = append(names, i.Name)
	}
	return names
}

// distance is 0 in the own failure domain, 1 in the own region, 2 beyond.
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

// isOpen tells whether there is a session to another ingress, or one is being opened.
func (m *Mesh) isOpen(name string) bool {
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

// Reach opens a session to another ingress where there is none, for its heartbeats.
func (m *Mesh) Reach(ctx context.Context, name string) error {
	_, err := m.getSession(ctx, name)
	return err
}

// listLive returns the other ingresses that can be reached.
func (m *Mesh) listLive() []rhash.Weighted {
	m.lock.Lock()
	defer m.lock.Unlock()
	live := []rhash.Weighted{}
	for name, i := range m.known {
		p := m.peers[name]
		if p.failed || p.leaving {
			continue
		}
		live = append(live, weigh(i))
	}
	return live
}

// Produce has another ingress make the results of a stage.
func (m *Mesh) Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	got, err := link.Produce(ctx, session, p)
	if err != nil && ctx.Err() == nil {
		m.fail(name, err)
	}
	return got, err
}

// Assign has another ingress place a request.
func (m *Mesh) Assign(ctx context.Context, name string, a *wire.Assign) (*link.Assignment, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Assign(ctx, session, a)
}

// Discard has another ingress release results.
func (m *Mesh) Discard(name string, d *wire.Discard) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	session, err := m.getSession(ctx, name)
	if err != nil {
		return err
	}
	return link.Discard(session, d)
}

// TellCrash tells another ingress that a request ended with its server.
func (m *Mesh) TellCrash(ctx context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.ReportCrash(ctx, session, c)
}

// TellServed tells another ingress that a request was served.
func (m *Mesh) TellServed(ctx context.Context, name string, s *wire.Served) error {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return err
	}
	return link.ReportServed(session, s)
}

// Sync asks another ingress for records.
func (m *Mesh) Sync(ctx context.Context, name string, s *wire.Sync, onArrival func()) (*wire.Records, error) {
	session, err := m.getSession(ctx, name)
	if err != nil {
		return nil, err
	}
	return link.Sync(ctx, session, s, syncStall, onArrival)
}

// SyncAt asks an ingress of which only the address is known.
func (m *Mesh) SyncAt(ctx context.Context, address netip.AddrPort, s *wire.Sync, onArrival func()) (*wire.Records, error) {
	if address == m.options.Self.Address {
		return nil, ErrMesh.New("%s is this ingress", address)
	}
	session, err := link.Dial(ctx, address, m.options.Link)
	if err != nil {
		return nil, err
	}
	defer func() { _ = session.Close() }()
	return link.Sync(ctx, session, s, syncStall, onArrival)
}

func (m *Mesh) getSession(ctx context.Context, name string) (*link.Session, error) {
	m.lock.Lock()
	p := m.peers[name]
	m.lock.Unlock()
	if p == nil {
		return nil, ErrMesh.New("%s is not registered", name)
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	options := m.options.Link
	options.OnHeartbeat = func(_ *link.Session, beat *wire.Beat, _ time.Time) { m.noteBeat(name, beat) }
	options.OnDown = func(_ *link.Session, reason error) { m.fail(name, reason) }
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := link.Dial(dialCtx, p.address, options)
	if err != nil {
		if ctx.Err() == nil {
			m.fail(name, err)
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

func (m *Mesh) noteBeat(name string, beat *wire.Beat) {
	for _, o := range beat.GetOutlooks() {
		m.options.OnOutlook(o)
	}
	if beat.GetReading() != nil {
		m.options.OnReading(name, beat.GetReading())
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

// fail gives an ingress no work until it was reached again, so that jobs go on at
// the next one at once and no request waits for a peer that is frozen or cut off.
func (m *Mesh) fail(name string, reason error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	p := m.peers[name]
	if p == nil {
		return
	}
	p.retryAt = time.Now().Add(retryPause)
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

// Start tries lost ingresses again until the context ends.
func (m *Mesh) Start(ctx context.Context) {
	go m.loop(ctx)
}

func (m *Mesh) loop(ctx context.Context) {
	for pauses.Wait(ctx, retryPause/2) {
		for _, name := range m.listDue() {
			go m.runRetry(ctx, name)
		}
	}
}

func (m *Mesh) runRetry(ctx context.Context, name string) {
	if _, err := m.getSession(ctx, name); err != nil {
		m.options.Log.Debug("peer-still-lost", zap.String("ingress", name), logs.Err(err))
	}
}

// listDue returns the lost ingresses that are to be tried now.
func (m *Mesh) listDue() []string {
	m.lock.Lock()
	defer m.lock.Unlock()
	now := time.Now()
	names := []string{}
	for name := range m.known {
		p := m.peers[name]
		if p.failed && now.After(p.retryAt) {
			p.retryAt = now.Add(dialTimeout + retryPause)
			names = append(names, name)
		}
	}
	return names
}
