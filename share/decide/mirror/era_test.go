package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

// byVersion holds a record whose value, a number, is higher than that of the present one, whether or not the
// present one was written since the restore.
type byVersion struct{}

func (byVersion) Decide(earlier, present site.Record, _ bool) mirror.Decision {
	return mirror.Decision{Held: readVersion(earlier) > readVersion(present)}
}

func (byVersion) NeedsRevision(string) bool { return false }

func readVersion(r site.Record) int {
	version, err := strconv.Atoi(string(r.Value))
	if err != nil {
		return 0 // there is no such record
	}
	return version
}

// versions returns the version of each key that is in force in a copy.
func versions(m *mirror.Mirror) map[string]int {
	found := map[string]int{}
	for _, r := range m.List() {
		found[r.Key] = readVersion(r)
	}
	return found
}

// restorable is a store that is restored from copies of itself, and whose writer only ever writes higher
// versions.
type restorable struct {
	revision site.Revision
	records  map[string]site.Record
	history  []site.Record
	// written holds the highest version of each key.
	written map[string]int
}

func newRestorable() *restorable {
	return &restorable{revision: site.Revision{Era: 1, Number: 1}, records: map[string]site.Record{}, written: map[string]int{}}
}

func (s *restorable) put(key string, version int) {
	s.revision.Number++
	r := site.Record{Key: key, Value: []byte(strconv.Itoa(version)), Revision: s.revision}
	s.records[key] = r
	s.history = append(s.history, r)
	s.written[key] = max(s.written[key], version)
}

func (s *restorable) copy() *restorable {
	return &restorable{revision: s.revision, records: maps.Clone(s.records), history: slices.Clone(s.history)}
}

// restore goes back to a copy. The records in it are of the new era, with their numbers from before.
func (s *restorable) restore(from *restorable) {
	era := s.revision.Era + 1
	s.revision = site.Revision{Era: era, Number: from.revision.Number}
	s.records, s.history = map[string]site.Record{}, nil
	for key, r := range from.records {
		r.Revision.Era = era
		s.records[key] = r
	}
	for _, r := range from.history {
		r.Revision.Era = era
		s.history = append(s.history, r)
	}
}

func (s *restorable) list() []site.Record {
	return slices.SortedFunc(maps.Values(s.records), cmpKeys)
}

func cmpKeys(a, b site.Record) int {
	if a.Key < b.Key {
		return -1
	}
	return 1
}

// watch returns the changes after a revision of the present era.
func (s *restorable) watch(after site.Revision) []site.Record {
	changes := []site.Record{}
	for _, r := range s.history {
		if r.Revision.IsAfter(after) {
			changes = append(changes, r)
		}
	}
	return changes
}

func newVersionMirror() *mirror.Mirror {
	return mirror.NewMirror(mirror.Options{IsWanted: func(string) bool { return true }, Policy: byVersion{}})
}

// checkNoOlder fails if a version that was in force in a copy before is higher than the present one.
func checkNoOlder(t *rapid.T, m *mirror.Mirror, before map[string]int) {
	after := versions(m)
	for key, version := range before {
		if after[key] < version {
			t.Fatalf("%s went back from version %d to %d", key, version, after[key])
		}
	}
}

// step updates one copy from the store or from another copy.
func (s *restorable) step(t *rapid.T, m, other *mirror.Mirror) {
	switch rapid.IntRange(0, 3).Draw(t, "update") {
	case 0:
		m.ApplyListing(start, s.list(), s.revision)
	case 1:
		if complete := m.CompleteRevision(); complete.Era == s.revision.Era {
			m.Apply(s.watch(complete), s.revision)
		}
	case 2:
		m.ApplyDelta(start, other.Since(start, m.Extent()))
	case 3:
		m.Advance(other.Extent().NewestRevision, other.CompleteRevision())
	}
}

// Guards against a copy in which something older comes back after the store was restored, however often, and
// whichever of the store and other copies, of any era, it hears from in whatever order; and against one that
// lacks what was written again.
func TestNoOlderVersionComesBackInAnyCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRestorable()
		copies := []*mirror.Mirror{newVersionMirror(), newVersionMirror(), newVersionMirror()}
		saved := s.copy()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				s.put(key, s.written[key]+1)
			case 3:
				saved = s.copy()
			case 4:
				s.restore(saved)
			default:
				m := copies[rapid.IntRange(0, 2).Draw(t, "copy")]
				before := versions(m)
				s.step(t, m, copies[rapid.IntRange(0, 2).Draw(t, "other")])
				checkNoOlder(t, m, before)
			}
		}
		for key, version := range s.written {
			s.put(key, version)
		}
		for _, m := range copies {
			m.ApplyListing(start, s.list(), s.revision)
			if got := versions(m); !maps.Equal(got, s.written) {
				t.Fatalf("written again are the versions %v, in force are %v", s.written, got)
			}
		}
	})
}

// Guards against a copy that starts after the store was restored, or has seen less of the time before, and that
// asks another copy without getting what is in force there.
func TestDeltaBringsWhatIsInForceAtItsSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRestorable()
		copies := []*mirror.Mirror{newVersionMirror(), newVersionMirror(), newVersionMirror()}
		restoreAt := rapid.IntRange(0, 30).Draw(t, "restore")
		saved := s.copy()
		for step := range 40 {
			if step == restoreAt {
				s.restore(saved)
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				s.put(key, s.written[key]+1)
			case 2:
				if step < restoreAt {
					saved = s.copy()
				}
			default:
				s.step(t, copies[rapid.IntRange(0, 2).Draw(t, "copy")], copies[rapid.IntRange(0, 2).Draw(t, "other")])
			}
		}
		asking, asked := copies[0], copies[1]
		isAhead := asked.Extent().IsAheadOf(asking.Extent())
		if isAhead {
			asking.ApplyDelta(start, asked.Since(start, asking.Extent()))
		}
		if asked.Extent().IsAheadOf(asking.Extent()) {
			t.Fatalf("asked again and again: %+v is ahead of %+v", asked.Extent(), asking.Extent())
		}
		checkNoOlder(t, asking, versions(asked))
	})
}

// Guards against a record that was written again before the first listing, and that is refused since its number
// is lower than the one from before.
func TestRecordWrittenAgainWithALowerNumberIsTaken(t *testing.T) {
	is := is.New(t)
	m := newVersionMirror()
	m.ApplyListing(start, []site.Record{{Key: "a", Value: []byte("7"), Revision: site.Revision{Era: 1, Number: 90}}}, site.Revision{Era: 1, Number: 90})
	again := site.Record{Key: "a", Value: []byte("8"), Revision: site.Revision{Era: 2, Number: 70}}
	is.Equal(m.ApplyListing(start, []site.Record{again}, site.Revision{Era: 2, Number: 75}), []site.Record{again})
	is.Equal(len(m.Holds()), 0)
}

// Guards against what a restored store has lost being dropped at once, and against it being kept for ever.
func TestLostRecordIsHeldForItsTime(t *testing.T) {
	is := is.New(t)
	m := mirror.NewMirror(mirror.Options{IsWanted: func(string) bool { return true }, Policy: holdFor(time.Minute)})
	lost := site.Record{Key: "a", Value: []byte("x"), Revision: site.Revision{Era: 1, Number: 90}}
	m.ApplyListing(start, []site.Record{lost}, site.Revision{Era: 1, Number: 90})
	is.Equal(len(m.ApplyListing(start, nil, site.Revision{Era: 2, Number: 70})), 0)
	is.Equal(m.List(), []site.Record{lost})
	is.Equal(len(m.ExpireHolds(start.Add(59*time.Second))), 0)
	changed := m.ExpireHolds(start.Add(time.Minute))
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	is.Equal(len(m.List()), 0)
}

// holdFor holds what was not written again for some time.
type holdFor time.Duration

func (h holdFor) Decide(_, _ site.Record, isFresh bool) mirror.Decision {
	return mirror.Decision{Held: !isFresh, Limit: time.Duration(h)}
}

func (holdFor) NeedsRevision(string) bool { return false }

// Guards against a copy that stops holding a record since a late answer of the earlier era repeats it.
func TestLateAnswerOfAnEarlierEraChangesNothingThatIsNewer(t *testing.T) {
	is := is.New(t)
	m := newVersionMirror()
	m.ApplyListing(start, []site.Record{{Key: "a", Value: []byte("9"), Revision: site.Revision{Era: 2, Number: 50}}}, site.Revision{Era: 2, Number: 50})
	late := []site.Record{
		{Key: "a", Value: []byte("8"), Revision: site.Revision{Era: 1, Number: 99}}, {Key: "b", Value: []byte("3"), Revision: site.Revision{Era: 1, Number: 98}},
	}
	m.ApplyListing(start, late, site.Revision{Era: 1, Number: 100})
	is.Equal(versions(m), map[string]int{"a": 9, "b": 3})
	is.Equal(m.CompleteRevision(), site.Revision{Era: 2, Number: 50})
}

// restored returns a copy of era 2 that holds key "a" with version 5 of era 1. Records of era 2 with numbers of up
// to 70 may come from the copy from which the store was restored.
func restored(policy mirror.Policy) *mirror.Mirror {
	m := mirror.NewMirror(mirror.Options{IsWanted: func(string) bool { return true }, Policy: policy})
	m.ApplyListing(start, []site.Record{versionRecord(1, 90, 5)}, site.Revision{Era: 1, Number: 90})
	m.ApplyListing(start, []site.Record{versionRecord(2, 60, 4)}, site.Revision{Era: 2, Number: 70})
	return m
}

// versionRecord returns the record of key "a" with a version.
func versionRecord(era, number uint64, version int) site.Record {
	return site.Record{Key: "a", Value: []byte(strconv.Itoa(version)), Revision: site.Revision{Era: era, Number: number}}
}

// Guards against a hold that is replaced by an older record of its own era, or not by a newer one.
func TestLatestRecordOfAnEraIsHeld(t *testing.T) {
	is := is.New(t)
	m := restored(keepAll{})
	m.Merge([]site.Record{versionRecord(1, 80, 3)})
	is.Equal(versions(m), map[string]int{"a": 5})
	m.Merge([]site.Record{versionRecord(1, 95, 6)})
	is.Equal(versions(m), map[string]int{"a": 6})
}

// Guards against a hold of an earlier era that is replaced by what came back with the era after it, at a copy that
// hears of several eras in any order.
func TestHoldOutlastsSeveralRestores(t *testing.T) {
	is := is.New(t)
	m := restored(byVersion{})
	m.ApplyListing(start, []site.Record{versionRecord(3, 55, 3)}, site.Revision{Era: 3, Number: 56})
	is.Equal(versions(m), map[string]int{"a": 5})
	m.Merge([]site.Record{versionRecord(2, 60, 4)})
	is.Equal(versions(m), map[string]int{"a": 5})
	m.Merge([]site.Record{versionRecord(2, 75, 7)})
	is.Equal(versions(m), map[string]int{"a": 7})
	m.Merge([]site.Record{versionRecord(1, 99, 8)})
	is.Equal(versions(m), map[string]int{"a": 8})
}

// Guards against a hold that stays when the record has been written again: with the same content, or at a revision
// at which a peer knows that it was not in the copy.
func TestHoldEndsWhenTheRecordIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	m := restored(keepAll{})
	m.Merge([]site.Record{versionRecord(2, 65, 5)})
	is.Equal(len(m.Holds()), 0)

	m = restored(keepAll{})
	m.Merge([]site.Record{versionRecord(2, 66, 4)})
	is.Equal(len(m.Holds()), 1) // it may come from the copy
	m.ApplyDelta(start, mirror.Delta{
		Records: []site.Record{versionRecord(2, 67, 3)}, CompleteRevision: site.Revision{Era: 2, Number: 71}, EraBase: site.Revision{Era: 2, Number: 66},
	})
	is.Equal(versions(m), map[string]int{"a": 3})
	is.Equal(len(m.Holds()), 0)
}

// Guards against a record of a new era that arrived by itself before the first listing of that era, and that the
// listing, which is older, drops.
func TestListingOfANewEraKeepsNewerRecords(t *testing.T) {
	is := is.New(t)
	m := newVersionMirror()
	m.ApplyListing(start, []site.Record{versionRecord(1, 90, 5)}, site.Revision{Era: 1, Number: 90})
	m.Merge([]site.Record{versionRecord(2, 80, 6)})
	m.ApplyListing(start, nil, site.Revision{Era: 2, Number: 75})
	is.Equal(versions(m), map[string]int{"a": 6})
}

// Guards against a record that was deleted before two restores in a row and comes back with the second one, since it
// was missing in the first listing after the first one.
func TestDeletedRecordStaysDeletedAfterTwoRestores(t *testing.T) {
	is := is.New(t)
	m := mirror.NewMirror(mirror.Options{IsWanted: func(string) bool { return true }, Policy: keepAll{}})
	m.ApplyListing(start, []site.Record{versionRecord(1, 20, 1)}, site.Revision{Era: 1, Number: 50})
	m.Apply([]site.Record{{Key: "a", Revision: site.Revision{Era: 1, Number: 60}, Deleted: true}}, site.Revision{Era: 1, Number: 60})
	m.ApplyListing(start, nil, site.Revision{Era: 2, Number: 64})
	is.Equal(len(m.ApplyListing(start, []site.Record{versionRecord(3, 20, 1)}, site.Revision{Era: 3, Number: 56})), 0)
	is.Equal(len(m.List()), 0)
	m.Merge([]site.Record{versionRecord(3, 57, 1)}) // written again
	is.Equal(len(m.List()), 1)
}

// Guards against a deleted record that is in force at a copy which starts with what a restored store holds, and asks
// one that has not noticed the restore: in the full delta of that one it is only missing.
func TestDeletedRecordIsMissingInADeltaOfAnEarlierEra(t *testing.T) {
	is := is.New(t)
	options := mirror.Options{IsWanted: func(string) bool { return true }, Policy: keepAll{}}
	asked, asking := mirror.NewMirror(options), mirror.NewMirror(options)
	other := site.Record{Key: "b", Value: []byte("1"), Revision: site.Revision{Era: 1, Number: 21}}
	asked.ApplyListing(start, []site.Record{versionRecord(1, 20, 1), other}, site.Revision{Era: 1, Number: 50})
	asked.Apply([]site.Record{{Key: "a", Revision: site.Revision{Era: 1, Number: 60}, Deleted: true}}, site.Revision{Era: 1, Number: 60})
	other.Revision.Era = 2
	asking.ApplyListing(start, []site.Record{versionRecord(2, 20, 1), other}, site.Revision{Era: 2, Number: 30})
	delta := asked.Since(start, asking.Extent())
	is.True(delta.Full)
	asking.ApplyDelta(start, delta)
	is.Equal(asking.List(), []site.Record{other})
	is.True(!asked.Extent().IsAheadOf(asking.Extent()))
}
