package state_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

var errHistoryGone = errors.New("the history is gone")

// forgetfulStore drops the changes after a revision before each of the next watches.
type forgetfulStore struct {
	stubStore
	drops           atomic.Int64
	lists, dropped  atomic.Int64
	watchedInEffect atomic.Int64
}

func (s *forgetfulStore) List(context.Context, string) ([]site.Record, site.Revision, error) {
	s.lists.Add(1)
	return nil, at(1), nil
}

func (s *forgetfulStore) Watch(ctx context.Context, _ string, after site.Revision, _ time.Duration) ([]site.Record, site.Revision, error) {
	if s.dropped.Load() < s.drops.Load() {
		s.dropped.Add(1)
		return nil, site.Revision{}, errHistoryGone
	}
	s.watchedInEffect.Add(1)
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *forgetfulStore) watch(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	(&state.Watcher{Book: newBook(), Store: s, Wait: time.Minute, HistoryGone: errHistoryGone}).Start(ctx)
}

// Guards against a store whose link is saturated because it drops its history before each watch, and all
// records are listed again and again without a pause.
func TestDroppedHistoryIsNotListedWithoutAPause(t *testing.T) {
	is := is.New(t)
	s := &forgetfulStore{}
	s.drops.Store(1 << 40)
	s.watch(t)
	time.Sleep(500 * time.Millisecond)
	is.True(s.lists.Load() >= 2)
	is.True(s.lists.Load() <= 10)
}

// Guards against changes that are seen late because the listing after a single drop is delayed.
func TestHistoryDroppedOnceIsListedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &forgetfulStore{}
	s.drops.Store(1)
	s.watch(t)
	for range 100 {
		if s.watchedInEffect.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.watchedInEffect.Load(), int64(1))
	is.Equal(s.lists.Load(), int64(2))
}

// lateStore answers each watch at once, and the answer is read only after a while.
type lateStore struct {
	stubStore
	answers chan struct{}
}

func (*lateStore) List(context.Context, string) ([]site.Record, site.Revision, error) {
	return nil, at(1), nil
}

func (s *lateStore) Watch(ctx context.Context, _ string, after site.Revision, _ time.Duration) ([]site.Record, site.Revision, error) {
	select {
	case <-s.answers:
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// Guards against records that count as new since an answer was read which had waited for seconds, and against an answer
// about something else that confirms them.
func TestRecordsAreAsOldAsTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b, s := newBook(), &lateStore{answers: make(chan struct{})}
		is.True(b.RecordsAge() >= time.Hour)
		b.SetDirect(true)
		(&state.Watcher{Book: b, Store: s, Wait: time.Minute, HistoryGone: errHistoryGone}).Start(t.Context())
		synctest.Wait()
		is.Equal(b.RecordsAge(), time.Duration(0)) // the listing
		time.Sleep(6 * time.Second)
		b.ObserveOwnAnswer(time.Now())
		is.Equal(b.Age(), time.Duration(0))
		is.Equal(b.RecordsAge(), 6*time.Second)
		s.answers <- struct{}{}
		synctest.Wait()
		is.Equal(b.RecordsAge(), 6*time.Second) // the watch had begun then
		time.Sleep(time.Second)
		s.answers <- struct{}{}
		synctest.Wait()
		is.Equal(b.RecordsAge(), time.Second)
	})
}
