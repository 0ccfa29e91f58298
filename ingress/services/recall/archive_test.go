package recall_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
)

var (
	errAway      = errors.New("the store is away")
	errLeaseGone = errors.New("the lease has ended")
)

// archiveStore holds segments until their lease ends.
type archiveStore struct {
	lock    sync.Mutex
	records map[string][]byte
	leases  map[string]time.Time
	expiry  map[site.Lease]time.Time
	// isAway is set while no call succeeds.
	isAway bool
	// writes, grants and lists count the calls, bytes what was written.
	writes, grants, lists, bytes int
}

func newArchiveStore() *archiveStore {
	return &archiveStore{records: map[string][]byte{}, leases: map[string]time.Time{}, expiry: map[site.Lease]time.Time{}}
}

func (s *archiveStore) Grant(_ context.Context, ttl time.Duration) (site.Lease, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.grants++
	if s.isAway {
		return site.Lease{}, errAway
	}
	lease := site.Lease{ID: uint64(s.grants)}
	s.expiry[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *archiveStore) PutAll(_ context.Context, values map[string][]byte, lease site.Lease) (site.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.writes++
	if s.isAway {
		return site.Revision{}, errAway
	}
	if !time.Now().Before(s.expiry[lease]) {
		return site.Revision{}, errLeaseGone
	}
	for key, value := range values {
		s.records[key], s.leases[key] = value, s.expiry[lease]
		s.bytes += len(value)
	}
	return site.Revision{}, nil
}

func (s *archiveStore) List(_ context.Context, prefix string) (records []site.Record, revision site.Revision, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lists++
	if s.isAway {
		return nil, site.Revision{}, errAway
	}
	for key, value := range s.records {
		if strings.HasPrefix(key, prefix) && time.Now().Before(s.leases[key]) {
			records = append(records, site.Record{Key: key, Value: value})
		}
	}
	return records, site.Revision{}, nil
}

// lose loses what was written, as a restore from a copy does, or also the leases. The IDs of lost leases may be given
// out again.
func (s *archiveStore) lose(alsoLeases bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	clear(s.records)
	if alsoLeases {
		clear(s.expiry)
	}
}

// set sets whether the store is away.
func (s *archiveStore) set(isAway bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.isAway = isAway
}

// notKept is the value of memos that are not kept.
const notKept = 250

// newArchivingFleet starts n ingresses that keep memos of streams in a store. Name names their selection; empty:
// they keep none.
func newArchivingFleet(t *testing.T, n int, s *archiveStore, name string) *fleet {
	t.Helper()
	return newFleetWith(t, n, func(r *recall.Registry, ingress string) {
		r.SetArchive(recall.ArchiveOptions{
			Store: s, Codec: record.Codec{}, Age: func() time.Duration { return 0 }, Prefix: "stream/", Process: ingress, LeaseGone: errLeaseGone,
			Select: func() recall.Selection {
				return recall.Selection{IsKnown: true, Name: name, Life: time.Minute, Keeps: func(m memo.Memo) bool { return m.Value[0] != notKept }}
			},
		})
	})
}

// countFound returns how many of n memos are found at an ingress.
func countFound(f *fleet, at, n int) int {
	found := 0
	for k := range n {
		if got := f.at(at).Find(context.Background(), newMemo(k).Key); got.Found && got.Memo.Value[0] == byte(k) {
			found++
		}
	}
	return found
}

// Guards against facts about requests that are lost with all ingresses, and against ones that are found only at
// those that have read them.
func TestMemosOutliveAllIngresses(t *testing.T) {
	for _, n := range []int{1, 3, 12} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newArchiveStore()
			f := newArchivingFleet(t, n, s, "all")
			for k := range 200 {
				f.at(k % n).Put(newMemo(k))
			}
			f.at(0).Put(memo.Memo{Key: "stream/other", Value: []byte{notKept}, ExpiresAt: time.Now().Add(time.Minute)})
			time.Sleep(2 * time.Second)
			f.stop()
			started := newArchivingFleet(t, n, s, "all")
			for at := range n {
				is.Equal(countFound(started, at, 200), 200)
			}
			is.True(!started.at(0).Find(t.Context(), "stream/other").Found)
			is.True(s.lists <= 2*4*4) // four of the ingresses read each of four groups, at each start
			time.Sleep(5 * time.Minute)
			is.Equal(countFound(started, 0, 200), 0)
			records, _, _ := s.List(t.Context(), "")
			is.Equal(len(records), 0)
		})
	}
}

// Guards against calls to the store while nothing is to be kept, and against more of them than four a second for each
// group of holders.
func TestArchiveCallsAreLimited(t *testing.T) {
	for name, want := range map[string]bool{"": false, "all": true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newArchiveStore()
			f := newArchivingFleet(t, 12, s, name)
			for k := range 600 {
				f.at(k % 12).Put(newMemo(k % 250))
				time.Sleep(100 * time.Millisecond)
			}
			is.Equal(s.writes > 0, want)
			is.Equal(s.lists > 0, want)
			is.True(s.writes <= 4*(4*60+1))
			is.True(s.grants <= 4*3)
			is.True(s.bytes < 600*6+s.writes*64)
		})
	}
}

// Guards against the loss of streams of a second or two, most of which begin shortly before all ingresses are lost.
func TestOnlyTheLastMemosAreLostWithAllIngresses(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newArchiveStore()
			f := newArchivingFleet(t, 6, s, "all")
			time.Sleep(rand.N(time.Second))
			for k := range 100 {
				f.at(k % 6).Put(newMemo(k))
				time.Sleep(20 * time.Millisecond)
			}
			f.stop()
			is.True(countFound(newArchivingFleet(t, 6, s, "all"), 1, 100) >= 100-15)
		})
	}
}

// Guards against memos that wait for as long as a burst of them, or the first selection of many, is written; and
// against one write that is too large for the store.
func TestManyMemosAreWrittenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newArchiveStore()
		f := newArchivingFleet(t, 3, s, "all")
		later := time.Now().Add(time.Minute)
		for k := range 30000 {
			f.at(0).Put(memo.Memo{Key: fmt.Sprint("stream/", k), Value: []byte{1}, ExpiresAt: later})
			if k%2000 == 0 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(2500 * time.Millisecond)
		f.stop()
		started := newArchivingFleet(t, 3, s, "all")
		found := 0
		for k := range 30000 {
			if started.at(1).Find(t.Context(), fmt.Sprint("stream/", k)).Found {
				found++
			}
		}
		is.Equal(found, 30000)
		for _, value := range s.records {
			is.True(len(value) < 64<<10)
		}
	})
}

// Guards against an ingress that reports that nobody knows a fact before it has read the store, and against a lookup
// that waits for a store that is away.
func TestLookupBeforeTheStoreWasReadIsNotConclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newArchiveStore()
		f := newArchivingFleet(t, 3, s, "all")
		f.at(0).Put(newMemo(1))
		time.Sleep(2 * time.Second)
		f.stop()
		s.set(true)
		started := newArchivingFleet(t, 3, s, "all")
		began := time.Now()
		got := started.at(2).Find(t.Context(), newMemo(1).Key)
		is.True(!got.Found)
		is.True(!got.Conclusive)
		is.True(time.Since(began) < time.Second)
		s.set(false)
		time.Sleep(2 * time.Second)
		is.True(started.at(2).Find(t.Context(), newMemo(1).Key).Found)
		is.True(started.at(2).Find(t.Context(), newMemo(9).Key).Conclusive)
	})
}

// Guards against memos that end with the lease of earlier ones.
func TestMemosAreKeptForTheirLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newArchiveStore()
		f := newArchivingFleet(t, 3, s, "all")
		for k := range 85 {
			f.at(0).Put(newMemo(k))
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		f.stop()
		time.Sleep(13 * time.Second)
		is.True(countFound(newArchivingFleet(t, 3, s, "all"), 1, 85) >= 40)
	})
}

// Guards against memos that a restored store has lost, or that the ingress which was to write them has not written.
func TestMemosAreWrittenAgain(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet, s *archiveStore){
		"the store was restored": func(f *fleet, s *archiveStore) {
			s.lose(false)
			f.setEra(2)
		},
		"the leases ended": func(_ *fleet, s *archiveStore) { s.lose(true) },
		"the store was away, and the writers are lost": func(f *fleet, s *archiveStore) {
			s.lose(false)
			s.set(true)
			time.Sleep(3 * time.Second)
			for shard := range 4 {
				f.loseFirst(fmt.Sprint("memos/", shard))
			}
			s.set(false)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newArchiveStore()
			f := newArchivingFleet(t, 12, s, "all")
			for k := range 100 {
				f.at(11).Put(newMemo(k))
			}
			time.Sleep(2 * time.Second)
			disturb(f, s)
			f.at(11).Put(newMemo(200)) // each group writes again
			f.at(11).Put(newMemo(201))
			f.at(11).Put(newMemo(202))
			f.at(11).Put(newMemo(203))
			f.at(11).Put(newMemo(204))
			f.at(11).Put(newMemo(205))
			time.Sleep(4 * time.Second)
			f.stop()
			t.Log(name)
			is.True(countFound(newArchivingFleet(t, 12, s, "all"), 5, 100) >= 95)
		})
	}
}
