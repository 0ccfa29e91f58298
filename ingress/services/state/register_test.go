package state_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

// at returns a revision of the first era.
func at(number uint64) site.Revision { return site.Revision{Number: number} }

// stubStore is a store that answers every call. It holds no records, grants leases, and its watches
// return without changes after their wait.
type stubStore struct {
	lock     sync.Mutex
	renewals int
	grants   int
	writes   int
	// renewErr is what a renewal returns.
	renewErr error
	// goneLease is the lease under which a write fails with errGone.
	goneLease site.Lease
	// written is the record that was written last.
	written site.Record
}

func (s *stubStore) List(context.Context, string) ([]site.Record, site.Revision, error) {
	return nil, at(1), nil
}

func (s *stubStore) Watch(ctx context.Context, _ string, after site.Revision, wait time.Duration) ([]site.Record, site.Revision, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (*stubStore) Close() {}

func (s *stubStore) Grant(context.Context, time.Duration) (site.Lease, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.grants++
	return site.Lease{ID: uint64(s.grants)}, nil //nolint:gosec // a small number
}

func (s *stubStore) Put(_ context.Context, key string, value []byte, lease site.Lease) (site.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if lease == s.goneLease {
		return site.Revision{}, errGone
	}
	s.writes++
	s.written = site.Record{Key: key, Value: value, Revision: at(s.written.Revision.Number + 1), Lease: lease}
	return s.written.Revision, nil
}

func (s *stubStore) Renew(context.Context, site.Lease) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.renewals++
	return s.renewErr
}

func (s *stubStore) counts() (grants, renewals int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.grants, s.renewals
}

func (s *stubStore) setRenewErr(err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.renewErr = err
}

var errGone = errors.New("gone")

// startRegistrar starts a registrar and a sweeper for a new book.
func startRegistrar(t *testing.T, s *stubStore, probeEvery time.Duration) *state.Book {
	t.Helper()
	book := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	registrar := &state.Registrar{
		Leases: s, Codec: record.Codec{}, Self: site.Ingress{Name: "a"}, TTL: time.Minute, LeaseGone: errGone,
		Book: book, ProbeEvery: probeEvery, Log: zap.NewNop(),
	}
	registrar.Start(t.Context())
	(&state.Sweeper{Book: book}).Start(t.Context())
	return book
}

// An ingress begins to watch the store shortly after a renewal of its lease. Until then it renews
// rarely. If it took the store for unavailable before the next renewal, its followers would switch
// to another source, and servers that are removed would be kept.
func TestStoreStaysAvailableWhenWatchBegins(t *testing.T) {
	is := is.New(t)
	s := &stubStore{}
	book := startRegistrar(t, s, 100*time.Millisecond)
	reader := &state.Reader{Book: book, Store: s, Wait: time.Minute, HistoryGone: errGone, Log: zap.NewNop()}
	time.Sleep(300 * time.Millisecond)
	reader.SetWatching(t.Context(), true)
	for range 16 {
		time.Sleep(100 * time.Millisecond)
		is.True(!book.IsStoreUnavailable())
	}
	is.True(book.IsDirect())
	_, renewals := s.counts()
	is.True(renewals >= 3)
}

// A renewal times out, but the lease still exists. A new registration would be sent to every
// ingress of the deployment, so the ingress must register again only if the store reports that the
// lease has ended.
func TestTimedOutRenewalKeepsRegistration(t *testing.T) {
	is := is.New(t)
	s := &stubStore{renewErr: context.DeadlineExceeded}
	book := startRegistrar(t, s, 10*time.Millisecond)
	(&state.Reader{Book: book, Store: s, Wait: time.Minute, HistoryGone: errGone, Log: zap.NewNop()}).SetWatching(t.Context(), true)
	time.Sleep(600 * time.Millisecond)
	grants, renewals := s.counts()
	is.True(renewals >= 1)
	is.Equal(grants, 1)
	s.setRenewErr(errGone)
	time.Sleep(1100 * time.Millisecond)
	grants, _ = s.counts()
	is.True(grants > 1)
}

// newLookedBook returns a book that has listed the registration that an earlier process of ingress a left.
func newLookedBook(t *testing.T, self, left site.Ingress) *state.Book {
	t.Helper()
	codec := record.Codec{}
	value, err := codec.WriteIngress(left)
	if err != nil {
		t.Fatal(err)
	}
	s := &countingStore{records: []site.Record{{Key: codec.IngressKey(self), Value: value, Revision: at(1), Lease: site.Lease{ID: 7}}}}
	return discover(s)
}

// Guards against a lease and a write by each ingress when all of them start again: an ingress whose
// registration is still in the store only renews it. A registration with another address is replaced.
func TestRegistrationOfAnEarlierProcessIsResumed(t *testing.T) {
	self := site.Ingress{Name: "a", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 1}
	moved := self
	moved.Address = netip.MustParseAddrPort("10.0.0.3:80")
	for _, c := range []struct {
		left     site.Ingress
		renewErr error
		grants   int
	}{{left: self, grants: 0}, {left: moved, grants: 1}, {left: self, renewErr: errGone, grants: 1}} {
		is := is.New(t)
		s := &stubStore{renewErr: c.renewErr}
		book := newLookedBook(t, self, c.left)
		registrar := &state.Registrar{
			Leases: s, Codec: record.Codec{}, Self: self, TTL: time.Minute, LeaseGone: errGone, Book: book, ProbeEvery: time.Minute,
			Looked: book.Looked(), Log: zap.NewNop(),
		}
		registrar.Start(t.Context())
		time.Sleep(200 * time.Millisecond)
		grants, renewals := s.counts()
		is.Equal(grants, c.grants)
		is.Equal(renewals, map[bool]int{true: 1, false: 0}[c.left == self])
	}
}

// discoverAs runs a first look at a store that holds one record. It returns the book, and whether the
// look showed that the ingress has not run before.
func discoverAs(name string, left site.Record) (*state.Book, bool) {
	return discoverIn(&countingStore{records: []site.Record{left}}, name)
}

// discoverIn does the same with a store.
func discoverIn(s *countingStore, name string) (*state.Book, bool) {
	book := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	isFirstRun := false
	reader := state.Reader{
		Book: book, Store: s, Name: name, Domain: "d0",
		OnFirstRun: func() { isFirstRun = true }, Log: zap.NewNop(),
	}
	reader.DiscoverPeers(context.Background(), func() bool { return true })
	return book, isFirstRun
}

// Guards against an ingress that takes itself for one that has not run before because its earlier run was
// stopped and ended its registration, and against others that take the stopped one for running.
func TestStoppedIngressLeavesAnEndedRegistration(t *testing.T) {
	is := is.New(t)
	s := &stubStore{}
	self := site.Ingress{Name: "a", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 1}
	registrar := &state.Registrar{
		Leases: s, Codec: record.Codec{}, Self: self, TTL: time.Minute, LeaseGone: errGone,
		Book: state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()}), ProbeEvery: time.Minute, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	registrar.Start(ctx)
	for grants := 0; grants == 0; grants, _ = s.counts() {
		time.Sleep(time.Millisecond)
	}
	running := s.lastWritten()
	cancel()
	registrar.Close(t.Context())
	ended := s.lastWritten()
	is.Equal(ended.Lease, site.Lease{ID: 1}) // it ends with the lease of the registration

	book, isFirstRun := discoverAs("a", ended)
	is.True(!isFirstRun)
	is.Equal(len(book.View().Ingresses), 0)
	_, isFirstRun = discoverAs("a", running)
	is.True(!isFirstRun)
	_, isFirstRun = discoverAs("b", ended)
	is.True(isFirstRun)

	other := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	other.Apply([]site.Record{running}, at(1))
	other.Apply([]site.Record{ended}, at(2))
	is.Equal(len(other.View().Ingresses), 1)
	other.DropExpired(time.Now().Add(time.Minute))
	is.Equal(len(other.View().Ingresses), 0)
}

// Guards against an ingress that has stopped and that others go on to ask, since the lease of its registration was
// lost by a restored store, which holds an earlier registration.
func TestRegistrationIsEndedAfterItsLeaseWasLost(t *testing.T) {
	is := is.New(t)
	s := &stubStore{}
	book := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	registrar := &state.Registrar{
		Leases: s, Codec: record.Codec{}, Self: site.Ingress{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}, TTL: time.Minute,
		LeaseGone: errGone, Book: book, ProbeEvery: time.Hour, Log: zap.NewNop(),
	}
	registrar.Start(ctx)
	for grants, _ := s.counts(); grants == 0 || s.lastWritten().Key == ""; grants, _ = s.counts() {
		time.Sleep(time.Millisecond)
	}
	s.lock.Lock()
	s.goneLease = s.written.Lease
	s.lock.Unlock()
	cancel()
	registrar.Close(t.Context())
	ended := s.lastWritten()
	is.Equal(ended.Lease, site.Lease{ID: 2})
	book.Apply([]site.Record{ended}, at(9))
	is.Equal(len(book.View().Ingresses), 0)
}

// Guards against an ingress that takes itself for one that has not run before, and spends its retry budget anew,
// because a restored store has lost its registration.
func TestMissingRegistrationInARestoredStoreIsNoFirstRun(t *testing.T) {
	is := is.New(t)
	_, isFirstRun := discoverIn(&countingStore{}, "a")
	is.True(isFirstRun)
	_, isFirstRun = discoverIn(&countingStore{era: 1}, "a")
	is.True(!isFirstRun)
}

func (s *stubStore) lastWritten() site.Record {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.written
}

// Guards against an ingress that all others drop for good, and that goes on beside them, since a write of its own, or of
// an earlier process of its name, was executed after the one that the store has acknowledged.
func TestOverwrittenRegistrationIsWrittenAgain(t *testing.T) {
	self := site.Ingress{Name: "a", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 1}
	codec := record.Codec{}
	ended := self
	ended.Ended = true
	running, err := codec.WriteIngress(self)
	is.New(t).NoErr(err)
	stopped, err := codec.WriteIngress(ended)
	is.New(t).NoErr(err)
	key := codec.IngressKey(self)
	for name, c := range map[string]struct {
		late site.Record
		want int
	}{
		"under an earlier lease":      {site.Record{Key: key, Value: running, Revision: at(5), Lease: site.Lease{ID: 9}}, 2},
		"ended by an earlier process": {site.Record{Key: key, Value: stopped, Revision: at(5), Lease: site.Lease{ID: 1}}, 2},
		"removed":                     {site.Record{Key: key, Revision: at(5), Deleted: true}, 2},
		"ended, told by a peer":       {site.Record{Key: key, Value: stopped, Revision: at(5)}, 2},
		"the same, told by a peer":    {site.Record{Key: key, Value: running, Revision: at(5)}, 1},
		"before the acknowledgement":  {site.Record{Key: key, Value: stopped, Revision: at(1), Lease: site.Lease{ID: 9}}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &stubStore{written: site.Record{Revision: at(3)}}
			book := state.NewBook(state.Options{Codec: codec, Log: zap.NewNop()})
			registrar := &state.Registrar{
				Leases: s, Codec: codec, Self: self, TTL: time.Minute, LeaseGone: errGone, Book: book, ProbeEvery: 300 * time.Millisecond, Log: zap.NewNop(),
			}
			registrar.Start(t.Context())
			time.Sleep(time.Second)
			is.Equal(s.countWrites(), 1)
			s.lock.Lock()
			s.written.Revision = at(7) // later than the one that was executed late
			s.lock.Unlock()
			book.ApplyListing([]site.Record{c.late}, at(6))
			time.Sleep(10 * time.Second)
			t.Log(name)
			is.Equal(s.countWrites(), c.want)
			is.Equal(s.lastWritten().Value, running)
			is.Equal(s.lastWritten().Lease, site.Lease{ID: 1})
			grants, _ := s.counts()
			is.Equal(grants, 1)
		})
	}
}

func (s *stubStore) countWrites() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.writes
}

// Guards against an ingress that registers before it has read which others were registered, since the store is away for a
// moment at its start: all of them then find registrations of the same start, and take it for a later one.
func TestRegistrationFollowsTheFirstLook(t *testing.T) {
	for name, hears := range map[string]func(b *state.Book, looked chan struct{}){
		"the store answers":   func(_ *state.Book, looked chan struct{}) { close(looked) },
		"another one answers": func(b *state.Book, _ chan struct{}) { b.ApplyDelta(mirror.Delta{Full: true, CompleteRevision: at(1)}) },
	} {
		synctest.Test(t, func(t *testing.T) {
			t.Log(name)
			is := is.New(t)
			s, looked := &stubStore{}, make(chan struct{})
			book := newBook()
			registrar := &state.Registrar{
				Leases: s, Codec: record.Codec{}, Self: site.Ingress{Name: "a", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:80")},
				TTL: time.Minute, LeaseGone: errGone, Book: book, ProbeEvery: time.Minute, Looked: looked, Log: zap.NewNop(),
			}
			registrar.Start(t.Context())
			time.Sleep(10 * time.Second)
			grants, _ := s.counts()
			is.Equal(grants, 0)
			hears(book, looked)
			time.Sleep(2 * time.Second)
			grants, _ = s.counts()
			is.Equal(grants, 1)
		})
	}
}
