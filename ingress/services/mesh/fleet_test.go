package mesh_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

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
	beatEvery   = 300 * time.Millisecond
	silentAfter = 1050 * time.Millisecond
	// callBytes is about the size of a small call to the store and of its answer.
	callBytes = 400
	// packetBytes is what passes a line at once.
	packetBytes = 4 << 10
)

// line is one direction of an instance's network link; a nil line is infinitely fast.
type line struct {
	bytesPerSecond float64

	lock sync.Mutex
	// free is when the line has passed all that was put on it.
	free time.Time
	// passed counts the bytes.
	passed int
}

func newLine(mbps float64) *line {
	const bitsPerByte, million = 8, 1e6
	return &line{bytesPerSecond: mbps * million / bitsPerByte}
}

// pass waits until n bytes have passed, in packets that share the line with all others.
func (l *line) pass(ctx context.Context, n int) error {
	for n > 0 && l != nil {
		packet := min(n, packetBytes)
		n -= packet
		l.lock.Lock()
		l.passed += packet
		if now := time.Now(); l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(packet) / l.bytesPerSecond * float64(time.Second)))
		wait := time.Until(l.free)
		l.lock.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// count returns the bytes that were put on the line so far.
func (l *line) count() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.passed
}

// wan passes connections on to a target over two lines.
type wan struct {
	listener net.Listener
	target   netip.AddrPort
	// toTarget and toCaller carry the two directions.
	toTarget, toCaller *line
}

func newWAN(t *testing.T, target netip.AddrPort, toTarget, toCaller *line) *wan {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	w := &wan{listener: listener, target: target, toTarget: toTarget, toCaller: toCaller}
	go w.loop()
	return w
}

func (w *wan) address() netip.AddrPort { return netip.MustParseAddrPort(w.listener.Addr().String()) }

func (w *wan) loop() {
	for {
		caller, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.run(caller)
	}
}

func (w *wan) run(caller net.Conn) {
	target, err := net.Dial("tcp", w.target.String())
	if err != nil {
		_ = caller.Close()
		return
	}
	go w.runCopy(target, caller, w.toTarget)
	w.runCopy(caller, target, w.toCaller)
}

func (*wan) runCopy(to, from net.Conn, l *line) {
	defer func() { _, _ = to.Close(), from.Close() }()
	packet := make([]byte, packetBytes)
	for {
		n, err := from.Read(packet)
		if err != nil {
			return
		}
		if l.pass(context.Background(), n) != nil {
			return
		}
		if _, err := to.Write(packet[:n]); err != nil {
			return
		}
	}
}

// store is the platform's, seen over an instance's line.
type store struct {
	*records
	down *line
	book *state.Book
}

// errLeaseGone is never returned: no lease ends here.
var errLeaseGone = errors.New("the lease has ended")

// records are those of the platform's store.
type records struct {
	lock     sync.Mutex
	changed  *sync.Cond
	revision uint64
	all      map[string]site.Record
}

func newRecords() *records {
	r := &records{all: map[string]site.Record{}}
	r.changed = sync.NewCond(&r.lock)
	return r
}

func (r *records) put(key string, value []byte) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.revision++
	r.all[key] = site.Record{Key: key, Value: value, Revision: r.revision}
	r.changed.Broadcast()
}

func (r *records) since(revision uint64) ([]site.Record, uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	found := []site.Record{}
	for _, one := range r.all {
		if one.Revision > revision {
			found = append(found, one)
		}
	}
	return found, r.revision
}

// receive waits until records have come over the line; the store's answers hold them in base64.
func (s store) receive(ctx context.Context, found []site.Record) error {
	bytes := callBytes
	for _, one := range found {
		bytes += len(one.Value) * 4 / 3
	}
	for ; bytes > 0; bytes -= packetBytes {
		if err := s.down.pass(ctx, min(bytes, packetBytes)); err != nil {
			return err
		}
		s.book.ConfirmOwn(time.Now())
	}
	return nil
}

func (s store) List(ctx context.Context, _ string) ([]site.Record, uint64, error) {
	found, at := s.since(0)
	return found, at, s.receive(ctx, found)
}

func (s store) Peek(ctx context.Context, prefix string) ([]site.Record, uint64, bool, error) {
	found, at, err := s.List(ctx, prefix)
	return found, at, true, err
}

func (s store) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]site.Record, uint64, error) {
	for ends := time.Now().Add(wait); ; {
		found, at := s.since(after)
		if len(found) > 0 || time.Now().After(ends) {
			return found, at, s.receive(ctx, found)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (store) Close() {}

func (s store) Grant(ctx context.Context, _ time.Duration) (uint64, error) {
	return 1, s.down.pass(ctx, callBytes)
}

func (s store) Put(ctx context.Context, key string, value []byte, _ uint64) error {
	s.put(key, value)
	return s.down.pass(ctx, callBytes)
}

func (s store) Renew(ctx context.Context, _ uint64) error   { return s.down.pass(ctx, callBytes) }
func (s store) Release(ctx context.Context, _ uint64) error { return s.down.pass(ctx, callBytes) }

// instance is an ingress without callers.
type instance struct {
	self   site.Ingress
	book   *state.Book
	mesh   *mesh.Mesh
	feeder *mesh.Feeder
	puller *mesh.Puller
	links  *peers.Server
	// up and down are the lines of its link.
	up, down *line
}

// fleet is some ingresses that reach each other and the store over their links.
type fleet struct {
	t         *testing.T
	log       *zap.Logger
	records   *records
	regions   map[string]string
	instances []*instance
	// fronts are the addresses at which the others reach those on slow links; backs the
	// addresses at which a slow one reaches the others, by its name and theirs.
	fronts map[string]netip.AddrPort
	backs  map[string]netip.AddrPort
}

// linkRate is where an instance stands and how fast its link is; 0: infinitely fast.
type linkRate struct {
	domain string
	mbps   float64
}

func newFleet(t *testing.T, regions map[string]string, rates []linkRate) *fleet {
	t.Helper()
	f := &fleet{
		t: t, log: zap.NewNop(), records: newRecords(), regions: regions,
		fronts: map[string]netip.AddrPort{}, backs: map[string]netip.AddrPort{},
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
	i.book = state.NewBook(state.Options{Codec: record.Codec{}, Log: log, OnChange: func(v *state.View) { f.takeView(i, v) }})
	options := link.Options{
		Hello: &wire.Hello{Version: wire.Version, Name: name}, HeartbeatInterval: beatEvery, SilenceTimeout: silentAfter,
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{Reading: mesh.EncodeReading(i.book)} },
	}
	isLeaving := func() bool { return false }
	i.mesh = mesh.NewMesh(mesh.Options{
		Self: i.self, Regions: f.regions, IsLeaving: isLeaving, Link: options, Log: log,
		OnOutlook: func(*wire.Outlook) {},
		OnReading: func(name string, told *wire.Reading) { i.feeder.TakeReading(name, told) },
	})
	i.puller = &mesh.Puller{Mesh: i.mesh, Book: i.book, Log: log}
	i.feeder = mesh.NewFeeder(mesh.FeederOptions{
		Mesh: i.mesh, Book: i.book, Puller: i.puller, Self: i.self, Regions: f.regions, IsLeaving: isLeaving, Log: log,
		Reader: &state.Reader{Book: i.book, Store: f.view(i), Wait: 4 * time.Second, Log: log},
	})
	i.puller.Feed = i.feeder
	var err error
	i.links, err = peers.NewServer(peers.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Link: options,
		Handler: &mesh.Handler{Feeder: i.feeder, Log: log}, Log: log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(i.links.Close)
	i.self.Address = i.links.Address()
	f.instances = append(f.instances, i)
}

func (f *fleet) view(i *instance) store {
	return store{records: f.records, down: i.down, book: i.book}
}

// connect puts the slow instances behind their links.
func (f *fleet) connect() {
	for _, slow := range f.instances {
		if slow.down == nil {
			continue
		}
		f.fronts[slow.self.Name] = newWAN(f.t, slow.self.Address, slow.down, slow.up).address()
		for _, other := range f.instances {
			f.backs[slow.self.Name+other.self.Name] = newWAN(f.t, other.self.Address, slow.up, slow.down).address()
		}
	}
}

// takeView tells an instance where it reaches the others.
func (f *fleet) takeView(i *instance, v *state.View) {
	seen := *v
	seen.Ingresses = nil
	for _, other := range v.Ingresses {
		if front, slow := f.fronts[other.Name]; slow {
			other.Address = front
		}
		if back, slow := f.backs[i.self.Name+other.Name]; slow {
			other.Address = back
		}
		seen.Ingresses = append(seen.Ingresses, other)
	}
	i.mesh.TakeView(&seen)
}

// start starts all instances, and has each reach all others, as their requests do.
func (f *fleet) start() {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	for _, i := range f.instances {
		i.feeder.Start(ctx)
		(&state.Registrar{
			Leases: f.view(i), Codec: record.Codec{}, Self: i.self, TTL: 6 * time.Second, Book: i.book,
			ProbeEvery: feed.ProbeEvery, LeaseGone: errLeaseGone, Log: f.log,
		}).Start(ctx)
		(&state.Sweeper{Book: i.book}).Start(ctx)
		i.mesh.Start(ctx)
		i.puller.Start(ctx)
		i.links.Start(ctx)
	}
	f.eventually("all know each other", func(i *instance) bool { return len(i.book.View().Ingresses) == len(f.instances) })
	for _, i := range f.instances {
		for _, other := range f.instances {
			if i != other {
				_ = i.mesh.Reach(ctx, other.self.Name) // one that cannot be reached now is tried again
			}
		}
	}
}

// eventually waits until a condition holds at all instances.
func (f *fleet) eventually(what string, check func(i *instance) bool) {
	f.t.Helper()
	const patience = 20 * time.Second
	if took := f.wait(patience, check); took >= patience {
		f.t.Fatalf("not in %v: %s", patience, what)
	}
}

// wait waits until a condition holds at all instances and returns how long that took, at most limit.
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

// countReceived returns the bytes that have come to each instance on a slow link.
func (f *fleet) countReceived() []int {
	counts := []int{}
	for _, i := range f.instances {
		if i.down != nil {
			counts = append(counts, i.down.count())
		}
	}
	return counts
}
