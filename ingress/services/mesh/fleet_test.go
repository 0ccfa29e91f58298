package mesh_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/peers"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	silenceTimeout    = 1050 * time.Millisecond
	leaseTTL          = 6 * time.Second
	// callBytes is the approximate size of a small call to the store and of its answer.
	callBytes = 400
	// packetBytes is how many bytes a line transfers at once.
	packetBytes = 4 << 10
)

// line is one direction of an instance's network link; a nil line is infinitely fast.
type line struct {
	bytesPerSecond float64

	lock sync.Mutex
	// freeAt is when the line will have transferred everything that was queued on it.
	freeAt time.Time
	// transferred counts the bytes that were queued on the line, including those in flight.
	transferred int
}

func newLine(mbps float64) *line {
	const bitsPerByte, million = 8, 1e6
	return &line{bytesPerSecond: mbps * million / bitsPerByte}
}

// transfer waits until the line has transferred n bytes, in packets that share it with all others.
func (l *line) transfer(ctx context.Context, n int) error {
	for n > 0 && l != nil {
		packet := min(n, packetBytes)
		n -= packet
		l.lock.Lock()
		l.transferred += packet
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(packet) / l.bytesPerSecond * float64(time.Second)))
		wait := time.Until(l.freeAt)
		l.lock.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// countBytes returns how many bytes were queued on the line so far.
func (l *line) countBytes() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.transferred
}

// proxy forwards connections to a target over two lines.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	// toTarget and toCaller carry the two directions.
	toTarget, toCaller *line
}

func newProxy(t *testing.T, target netip.AddrPort, toTarget, toCaller *line) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{listener: listener, target: target, toTarget: toTarget, toCaller: toCaller}
	go p.loop()
	return p
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) loop() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.run(caller)
	}
}

func (p *proxy) run(caller net.Conn) {
	target, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = caller.Close()
		return
	}
	go p.runCopy(target, caller, p.toTarget)
	p.runCopy(caller, target, p.toCaller)
}

func (*proxy) runCopy(to, from net.Conn, l *line) {
	defer func() { _, _ = to.Close(), from.Close() }()
	packet := make([]byte, packetBytes)
	for {
		n, err := from.Read(packet)
		if err != nil {
			return
		}
		if l.transfer(context.Background(), n) != nil {
			return
		}
		if _, err := to.Write(packet[:n]); err != nil {
			return
		}
	}
}

// store is the platform's store, reached by one instance over its own link.
type store struct {
	*sharedRecords
	// name is the name of the instance.
	name string
	down *line
	book *state.Book
}

// errLeaseGone is never returned, because no lease ends in these tests.
var errLeaseGone = errors.New("the lease has ended")

// errHistoryGone is returned to a watch of an earlier era.
var errHistoryGone = errors.New("the history is gone")

// sharedRecords are the records of the platform's store, which all instances share.
type sharedRecords struct {
	lock     sync.Mutex
	changed  *sync.Cond
	revision site.Revision
	all      map[string]site.Record
	// callTime is the time that a listing, a grant and a write take in addition to their transfer.
	callTime time.Duration
	// lists is the number of listings of all records, and watchers holds the instances that have watched.
	lists    int
	watchers map[string]bool
}

func newSharedRecords() *sharedRecords {
	r := &sharedRecords{all: map[string]site.Record{}, watchers: map[string]bool{}}
	r.changed = sync.NewCond(&r.lock)
	return r
}

func (r *sharedRecords) put(key string, value []byte) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.revision.Number++
	r.all[key] = site.Record{Key: key, Value: value, Revision: r.revision}
	r.changed.Broadcast()
}

// backup returns the records, and the revision that they had reached.
func (r *sharedRecords) backup() (map[string]site.Record, site.Revision) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.all), r.revision
}

// restore goes back to a backup, in a new era.
func (r *sharedRecords) restore(all map[string]site.Record, revision site.Revision) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.revision = site.Revision{Era: r.revision.Era + 1, Number: revision.Number}
	r.all = map[string]site.Record{}
	for key, rec := range all {
		rec.Revision.Era = r.revision.Era
		r.all[key] = rec
	}
}

func (r *sharedRecords) since(revision site.Revision) ([]site.Record, site.Revision) {
	r.lock.Lock()
	defer r.lock.Unlock()
	found := []site.Record{}
	for _, rec := range r.all {
		if rec.Revision.IsAfter(revision) {
			found = append(found, rec)
		}
	}
	return found, r.revision
}

// receive waits until records have been transferred over the instance's link. The store's answers
// contain them in base64.
func (s store) receive(ctx context.Context, found []site.Record) error {
	bytes := callBytes
	for _, rec := range found {
		bytes += len(rec.Value) * 4 / 3
	}
	for ; bytes > 0; bytes -= packetBytes {
		if err := s.down.transfer(ctx, min(bytes, packetBytes)); err != nil {
			return err
		}
		s.book.ObserveOwnAnswer(time.Now())
	}
	return nil
}

func (s store) List(ctx context.Context, prefix string) ([]site.Record, site.Revision, error) {
	s.countList(prefix)
	time.Sleep(s.callTime)
	found, at := s.since(site.Revision{})
	found = slices.DeleteFunc(found, func(r site.Record) bool { return !strings.HasPrefix(r.Key, prefix) })
	return found, at, s.receive(ctx, found)
}

func (r *sharedRecords) countList(prefix string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if prefix == "" {
		r.lists++
	}
}

// countReads returns the number of listings of all records and that of the instances that have watched.
func (r *sharedRecords) countReads() (lists, watchers int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.lists, len(r.watchers)
}

func (s store) Watch(ctx context.Context, _ string, after site.Revision, wait time.Duration) ([]site.Record, site.Revision, error) {
	s.lock.Lock()
	s.watchers[s.name] = true
	s.lock.Unlock()
	for ends := time.Now().Add(wait); ; {
		found, at := s.since(after)
		if at.Era != after.Era {
			return nil, site.Revision{}, errHistoryGone
		}
		if len(found) > 0 || time.Now().After(ends) {
			return found, at, s.receive(ctx, found)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, site.Revision{}, ctx.Err()
		}
	}
}

func (store) Close() {}

func (s store) Grant(ctx context.Context, _ time.Duration) (site.Lease, error) {
	time.Sleep(s.callTime)
	return site.Lease{ID: 1}, s.down.transfer(ctx, callBytes)
}

func (s store) Put(ctx context.Context, key string, value []byte, _ site.Lease) (site.Revision, error) {
	time.Sleep(s.callTime)
	s.put(key, value)
	return site.Revision{}, s.down.transfer(ctx, callBytes)
}

func (s store) Renew(ctx context.Context, _ site.Lease) error { return s.down.transfer(ctx, callBytes) }

// instance is an ingress without callers.
type instance struct {
	self   site.Ingress
	book   *state.Book
	mesh   *mesh.Mesh
	feeder *mesh.Feeder
	puller *mesh.Puller
	server *peers.Server
	// up and down are the two directions of its link.
	up, down *line
}

// fleet is a set of ingresses that reach each other and the store over their links.
type fleet struct {
	t   *testing.T
	log *zap.Logger
	// lines are the log lines of all instances.
	lines     *observer.ObservedLogs
	records   *sharedRecords
	regions   map[string]string
	instances []*instance
	// network connects the instances without TCP; nil: over TCP.
	network *memoryNetwork
	// inbound holds, by name, the addresses at which the others reach an instance on a slow link;
	// outbound, by its name followed by the other's, those at which it reaches each of the others.
	inbound  map[string]netip.AddrPort
	outbound map[string]netip.AddrPort
}

// linkRate is the failure domain of an instance and the rate of its link; 0: infinitely fast.
type linkRate struct {
	domain string
	mbps   float64
}

func newFleet(t *testing.T, regions map[string]string, rates []linkRate) *fleet {
	t.Helper()
	return newFleetOn(t, nil, regions, rates)
}

// newFleetOn returns a fleet on a network; nil: over TCP.
func newFleetOn(t *testing.T, network *memoryNetwork, regions map[string]string, rates []linkRate) *fleet {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	f := &fleet{
		t: t, log: zap.New(core), lines: lines, records: newSharedRecords(), regions: regions, network: network,
		inbound: map[string]netip.AddrPort{}, outbound: map[string]netip.AddrPort{},
	}
	for number, rate := range rates {
		f.add(fmt.Sprintf("ingress-%d", number), rate)
	}
	f.connect()
	return f
}

func (f *fleet) add(name string, rate linkRate) {
	f.t.Helper()
	i := &instance{self: site.Ingress{Name: name, Domain: rate.domain, Capacity: 0.8}}
	if rate.mbps > 0 {
		i.self.Capacity = 0.144
		i.up, i.down = newLine(rate.mbps), newLine(rate.mbps)
	}
	log := f.log.With(zap.String("instance", name))
	i.book = state.NewBook(state.Options{Codec: record.Codec{}, Log: log, OnChange: func(v *state.View) { f.setView(i, v) }})
	options := link.Options{
		Hello: &wire.Hello{Version: wire.Version, Name: name}, HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout,
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{Reading: mesh.EncodeStoreStatus(i.book)} },
	}
	if f.network != nil {
		options.Dial = f.network.dial
	}
	isLeaving := func() bool { return false }
	i.mesh = mesh.NewMesh(mesh.Options{
		Self: i.self, Regions: f.regions, IsLeaving: isLeaving, Link: options, Log: log,
		OnBacklog: func(*wire.Outlook) {},
		OnStoreStatus: func(name string, status *wire.Reading, notBefore time.Time) {
			i.feeder.ObserveStoreStatus(name, status, notBefore)
		},
	})
	i.puller = &mesh.Puller{Mesh: i.mesh, Book: i.book, Log: log}
	i.feeder = mesh.NewFeeder(mesh.FeederOptions{
		Mesh: i.mesh, Book: i.book, Puller: i.puller, Self: i.self, Regions: f.regions, LeaseTTL: leaseTTL, IsLeaving: isLeaving, Log: log,
		Reader: &state.Reader{Book: i.book, Store: f.newStore(i), Name: name, Domain: rate.domain, Wait: 4 * time.Second, HistoryGone: errHistoryGone, Log: log},
	})
	i.puller.Feed = i.feeder
	i.server = peers.NewServerOn(f.listen(), peers.Options{Link: options, Handler: &mesh.Handler{Feeder: i.feeder, Log: log}, Log: log})
	f.t.Cleanup(i.server.Close)
	i.self.Address = i.server.Address()
	f.instances = append(f.instances, i)
}

// listen returns a listener for an instance.
func (f *fleet) listen() net.Listener {
	f.t.Helper()
	if f.network != nil {
		return f.network.listen()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	return listener
}

func (f *fleet) newStore(i *instance) store {
	return store{sharedRecords: f.records, name: i.self.Name, down: i.down, book: i.book}
}

// connect creates the proxies of the instances on slow links.
func (f *fleet) connect() {
	for _, slow := range f.instances {
		if slow.down == nil {
			continue
		}
		f.inbound[slow.self.Name] = newProxy(f.t, slow.self.Address, slow.down, slow.up).address()
		for _, other := range f.instances {
			f.outbound[slow.self.Name+other.self.Name] = newProxy(f.t, other.self.Address, slow.up, slow.down).address()
		}
	}
}

// setView gives an instance a view with the addresses at which it reaches the others.
func (f *fleet) setView(i *instance, v *state.View) {
	adjusted := *v
	adjusted.Ingresses = nil
	for _, other := range v.Ingresses {
		if address, slow := f.inbound[other.Name]; slow {
			other.Address = address
		}
		if address, slow := f.outbound[i.self.Name+other.Name]; slow {
			other.Address = address
		}
		adjusted.Ingresses = append(adjusted.Ingresses, other)
	}
	i.mesh.SetView(&adjusted)
}

// start starts all instances and connects each of them to all others, as their requests would do.
func (f *fleet) start() {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	for _, i := range f.instances {
		f.startInstance(ctx, i)
	}
	f.eventually("all know each other", func(i *instance) bool { return len(i.book.View().Ingresses) == len(f.instances) })
	for _, i := range f.instances {
		for _, other := range f.instances {
			if i != other {
				_ = i.mesh.Connect(ctx, other.self.Name) // the mesh retries an instance that cannot be reached now
			}
		}
	}
}

// startInstance starts one instance.
func (f *fleet) startInstance(ctx context.Context, i *instance) {
	i.feeder.Start(ctx)
	(&state.Registrar{
		Leases: f.newStore(i), Codec: record.Codec{}, Self: i.self, TTL: leaseTTL, Book: i.book,
		ProbeEvery: feed.ProbeEvery, LeaseGone: errLeaseGone, Looked: i.book.Looked(), Log: f.log,
	}).Start(ctx)
	(&state.Sweeper{Book: i.book}).Start(ctx)
	i.mesh.Start(ctx)
	i.puller.Start(ctx)
	i.server.Start(ctx)
}

// eventually waits until a condition holds at all instances.
func (f *fleet) eventually(what string, check func(i *instance) bool) {
	f.t.Helper()
	const timeout = 20 * time.Second
	if took := f.wait(timeout, check); took >= timeout {
		f.t.Fatalf("not reached within %v: %s", timeout, what)
	}
}

// wait waits until a condition holds at all instances and returns how long that took, at most
// limit.
func (f *fleet) wait(limit time.Duration, check func(i *instance) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		all := true
		for _, i := range f.instances {
			all = all && check(i)
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit
}

// countReceivedBytes returns how many bytes each instance on a slow link has received so far.
func (f *fleet) countReceivedBytes() map[*instance]int {
	counts := map[*instance]int{}
	for _, i := range f.instances {
		if i.down != nil {
			counts[i] = i.down.countBytes()
		}
	}
	return counts
}
