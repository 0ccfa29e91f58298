package mirror_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

// start is the beginning of each test.
var start = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func newRecord(key string, revision uint64) site.Record {
	return site.Record{Key: key, Value: []byte(key), Revision: at(revision)}
}

func newTombstone(key string, revision uint64) site.Record {
	return site.Record{Key: key, Revision: at(revision), Deleted: true}
}

func newMirror(prefix string) *mirror.Mirror {
	return mirror.NewMirror(mirror.Options{IsWanted: func(key string) bool { return strings.HasPrefix(key, prefix) }, Policy: keepAll{}})
}

// keepAll holds what differs until it is written again.
type keepAll struct{}

func (keepAll) Decide(_, _ site.Record, isFresh bool) mirror.Decision {
	return mirror.Decision{Held: !isFresh}
}

func (keepAll) NeedsRevision(string) bool { return false }

// at returns a revision of the first era.
func at(number uint64) site.Revision { return site.Revision{Number: number} }

// findLive returns a record that is not deleted.
func findLive(m *mirror.Mirror, key string) (site.Record, bool) {
	for _, r := range m.List() {
		if r.Key == key {
			return r, true
		}
	}
	return site.Record{}, false
}

// The watch reports that a server was changed or removed. Then a peer that was disconnected sends
// its outdated copy, in which the server is still ready. The newer record must win.
func TestOutdatedRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := newMirror("servers/")
	m.Apply([]site.Record{newRecord("servers/a", 5), newTombstone("servers/b", 6)}, at(6))
	is.Equal(len(m.Merge([]site.Record{newRecord("servers/a", 4), newRecord("servers/b", 3)})), 0)
	_, found := findLive(m, "servers/b")
	is.True(!found)
	is.Equal(m.CompleteRevision(), at(6))
}

// The store compacts its history while a watch is interrupted, and servers are removed meanwhile.
// The new listing lacks them, so they must be deleted. A server that registered after the listing
// was started, and whose record came from a peer, must stay.
func TestListingDeletesMissingRecords(t *testing.T) {
	is := is.New(t)
	m := newMirror("servers/")
	m.Apply([]site.Record{newRecord("servers/a", 5), newRecord("servers/b", 6)}, at(6))
	m.Merge([]site.Record{newRecord("servers/c", 20)})
	changed := m.ApplyListing(start, []site.Record{newRecord("servers/a", 5)}, at(10))
	is.Equal(changed, []site.Record{newTombstone("servers/b", 10)})
	is.Equal(len(m.List()), 2)
	is.Equal(m.CompleteRevision(), at(10))
}

func TestMergeDoesNotAdvanceCompleteRevision(t *testing.T) {
	is := is.New(t)
	m := newMirror("op/")
	m.Apply([]site.Record{newRecord("op/config", 5)}, at(5))
	m.Merge([]site.Record{newRecord("op/config", 9), newRecord("servers/a", 8)})
	is.Equal(m.CompleteRevision(), at(5)) // changes between 5 and 9 may be missing
	is.Equal(m.Extent().NewestRevision, at(9))
	is.Equal(len(m.Since(start, mirror.Extent{CompleteRevision: at(5)}).Records), 1)
	is.Equal(len(m.List()), 1)
}

// Records arrive in any order and any number of times, from listings, watches and peers. A copy
// that received all of them must hold the newest record of each key.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := []site.Record{}
		newest := map[string]site.Record{}
		for revision := uint64(1); revision < 20; revision++ {
			key := fmt.Sprintf("servers/%d", rapid.IntRange(0, 3).Draw(t, "key"))
			r := newRecord(key, revision)
			if rapid.Bool().Draw(t, "deleted") {
				r = newTombstone(key, revision)
			}
			records = append(records, r)
			newest[key] = r
		}
		m := newMirror("servers/")
		for range 3 {
			m.Merge(rapid.Permutation(records).Draw(t, "order"))
		}
		for key, r := range newest {
			got, found := findLive(m, key)
			if found == r.Deleted || found && got.Revision != r.Revision {
				t.Fatalf("%s: got %v (%v), want %v", key, got, found, r)
			}
		}
	})
}

// simulation is a store with several copies of it.
type simulation struct {
	revision uint64
	// history holds every change, latest the last change of each key.
	history []site.Record
	latest  map[string]site.Record
	copies  []*mirror.Mirror
}

func (s *simulation) change(key string, deleted bool) {
	s.revision++
	r := newRecord(key, s.revision)
	if deleted {
		r = newTombstone(key, s.revision)
	}
	s.history = append(s.history, r)
	s.latest[key] = r
}

// list returns a listing of the store's current records.
func (s *simulation) list() []site.Record {
	records := []site.Record{}
	for _, r := range s.latest {
		if !r.Deleted {
			records = append(records, r)
		}
	}
	return records
}

// check fails if a copy lacks a change up to its complete revision.
func (s *simulation) check(t *rapid.T) {
	for i, m := range s.copies {
		for key, r := range s.latest {
			if r.Revision.IsAfter(m.CompleteRevision()) {
				continue
			}
			got, found := findLive(m, key)
			if found == r.Deleted || found && got.Revision != r.Revision {
				t.Fatalf("copy %d is complete up to revision %v, but for %s it has %v (%v) instead of %v", i, m.CompleteRevision(), key, got, found, r)
			}
		}
	}
}

// Copies are updated in any order by listings, by partial reads, by watches that may start late,
// and from each other, including from a copy that lags and after the store compacted its history.
// A missed change could be a removed server that still gets work, so no copy may lack a change
// up to its complete revision.
func TestCopiesHaveNoGapsUpToCompleteRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{latest: map[string]site.Record{}}
		for range 4 {
			s.copies = append(s.copies, newMirror("servers/"))
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := s.copies[rapid.IntRange(0, 3).Draw(t, "copy")]
			other := s.copies[rapid.IntRange(0, 3).Draw(t, "other")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.change(fmt.Sprintf("servers/%d", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				m.ApplyListing(start, s.list(), at(s.revision))
			case 3:
				if complete := m.CompleteRevision(); !complete.IsZero() {
					m.Apply(s.history[complete.Number:], at(s.revision))
				}
			case 4:
				m.ApplyDelta(start, other.Since(start, m.Extent()))
			case 5:
				m.Advance(other.Extent().NewestRevision, other.CompleteRevision())
			case 6:
				if list := s.list(); len(list) > 0 {
					m.Merge(list[:1]) // a partial read
				}
			}
			s.check(t)
		}
	})
}
