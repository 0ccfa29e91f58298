package state_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/models/site"
)

// store is well: it holds one configuration, grants leases and lets watches wait.
type store struct {
	lock     sync.Mutex
	renewals int
	grants   int
	// renewed is what a renewal returns.
	renewed error
}

func (s *store) List(context.Context, string) ([]site.Record, uint64, error) { return nil, 1, nil }

func (s *store) Peek(context.Context, string) ([]site.Record, uint64, bool, error) {
	return nil, 1, true, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]site.Record, uint64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (*store) Close() {}

func (s *store) Grant(context.Context, time.Duration) (uint64, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.grants++
	return uint64(s.grants), nil //nolint:gosec // a small number
}

func (*store) Put(context.Context, string, []byte, uint64) error { return nil }

func (s *store) Renew(context.Context, uint64) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.renewals++
	return s.renewed
}

func (*store) Release(context.Context, uint64) error { return nil }

func (s *store) counts() (grants, renewals int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.grants, s.renewals
}

func (s *store) setRenewed(err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.renewed = err
}

var errGone = errors.New("gone")

func startRegistrar(t *testing.T, s *store, probeEvery time.Duration) *state.Book {
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

// An ingress begins to watch the store just after it renewed its lease, which it does
// rarely until then. It must not take the store for silent before the next renewal:
// whoever follows it would leave, and servers that go would be kept.
func TestStoreIsNotLostWhenWatchingBegins(t *testing.T) {
	is := is.New(t)
	s := &store{}
	book := startRegistrar(t, s, 100*time.Millisecond)
	reader := &state.Reader{Book: book, Store: s, Wait: time.Minute, HistoryGone: errGone, Log: zap.NewNop()}
	time.Sleep(300 * time.Millisecond)
	reader.Set(t.Context(), true)
	for range 16 {
		time.Sleep(100 * time.Millisecond)
		is.True(!book.IsLost())
	}
	is.True(book.IsDirect())
	_, renewals := s.counts()
	is.True(renewals >= 3)
}

// A renewal is lost on its way. The lease is still there: a new registration would be
// told to every ingress of the fleet, so there is one only when the store says that the lease ended.
func TestLostRenewalKeepsTheRegistration(t *testing.T) {
	is := is.New(t)
	s := &store{renewed: context.DeadlineExceeded}
	book := startRegistrar(t, s, 10*time.Millisecond)
	(&state.Reader{Book: book, Store: s, Wait: time.Minute, HistoryGone: errGone, Log: zap.NewNop()}).Set(t.Context(), true)
	time.Sleep(600 * time.Millisecond)
	grants, renewals := s.counts()
	is.True(renewals >= 1)
	is.Equal(grants, 1)
	s.setRenewed(errGone)
	time.Sleep(1100 * time.Millisecond)
	grants, _ = s.counts()
	is.True(grants > 1)
}
