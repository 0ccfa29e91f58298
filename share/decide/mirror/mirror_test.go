package mirror_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

func put(key string, revision uint64) site.Record {
	return site.Record{Key: key, Value: []byte(key), Revision: revision}
}

func gone(key string, revision uint64) site.Record {
	return site.Record{Key: key, Revision: revision, Deleted: true}
}

func newMirror(prefix string) *mirror.Mirror {
	return mirror.NewMirror(func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// find returns a record that is not deleted.
func find(m *mirror.Mirror, key string) (site.Record, bool) {
	for _, r := range m.List() {
		if r.Key == key {
			return r, true
		}
	}
	return site.Record{}, false
}

// An operator drains a server; the watch tells it at once. A moment later a peer
// that was cut off hands over its older copy, in which the server is ready. The
// server must stay as the newer record says.
func TestOlderCopiesDoNotReturn(t *testing.T) {
	is := is.New(t)
	m := newMirror("servers/")
	m.Apply([]site.Record{put("servers/a", 5), gone("servers/b", 6)}, 6)
	is.Equal(len(m.Learn([]site.Record{put("servers/a", 4), put("servers/b", 3)})), 0)
	_, found := find(m, "servers/b")
	is.True(!found)
	is.Equal(m.At(), uint64(6))
}

// The store drops its history while a watch is cut, and servers leave meanwhile.
// The new listing lacks them: they are gone. One that registered after the
// listing was begun, and was heard of from a peer, stays.
func TestListingRemovesWhatIsMissing(t *testing.T) {
	is := is.New(t)
	m := newMirror("servers/")
	m.Apply([]site.Record{put("servers/a", 5), put("servers/b", 6)}, 6)
	m.Learn([]site.Record{put("servers/c", 20)})
	changed := m.Replace([]site.Record{put("servers/a", 5)}, 10)
	is.Equal(changed, []site.Record{gone("servers/b", 10)})
	is.Equal(len(m.List()), 2)
	is.Equal(m.At(), uint64(10))
}

func TestLearnDoesNotMoveTheWatch(t *testing.T) {
	is := is.New(t)
	m := newMirror("op/")
	m.Apply([]site.Record{put("op/config", 5)}, 5)
	m.Learn([]site.Record{put("op/config", 9), put("servers/a", 8)})
	is.Equal(m.At(), uint64(5)) // what lies between 5 and 9 may be missing
	is.Equal(m.Newest(), uint64(9))
	is.Equal(len(m.Since(5).Records), 1)
	is.Equal(len(m.List()), 1)
}

// Records come in any order, from listings, watches and peers, any number of
// times. Whoever has heard of all of them holds the newest of each key.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := []site.Record{}
		newest := map[string]site.Record{}
		for revision := uint64(1); revision < 20; revision++ {
			key := fmt.Sprintf("servers/%d", rapid.IntRange(0, 3).Draw(t, "key"))
			r := put(key, revision)
			if rapid.Bool().Draw(t, "deleted") {
				r = gone(key, revision)
			}
			records = append(records, r)
			newest[key] = r
		}
		m := newMirror("servers/")
		for range 3 {
			m.Learn(rapid.Permutation(records).Draw(t, "order"))
		}
		for key, r := range newest {
			got, found := find(m, key)
			if found == r.Deleted || found && got.Revision != r.Revision {
				t.Fatalf("%s: got %v (%v), want %v", key, got, found, r)
			}
		}
	})
}

// world is a store with some copies of it.
type world struct {
	revision uint64
	// history holds every change, latest the last one of each key.
	history []site.Record
	latest  map[string]site.Record
	copies  []*mirror.Mirror
}

func (w *world) change(key string, deleted bool) {
	w.revision++
	r := put(key, w.revision)
	if deleted {
		r = gone(key, w.revision)
	}
	w.history = append(w.history, r)
	w.latest[key] = r
}

// list returns what a listing of now holds.
func (w *world) list() []site.Record {
	records := []site.Record{}
	for _, r := range w.latest {
		if !r.Deleted {
			records = append(records, r)
		}
	}
	return records
}

// check fails where a copy lacks anything that the store told until the copy's revision.
func (w *world) check(t *rapid.T) {
	for i, m := range w.copies {
		for key, r := range w.latest {
			if r.Revision > m.At() {
				continue
			}
			got, found := find(m, key)
			if found == r.Deleted || found && got.Revision != r.Revision {
				t.Fatalf("copy %d is complete up to %d, but of %s it has %v (%v) and not %v", i, m.At(), key, got, found, r)
			}
		}
	}
}

// Ingresses hear of the store by listings, by looks at a part of it, by watches that may begin late, and from
// each other, in any order, also from one that lags, and after the store dropped its
// history. A hole would be a server that left and is still sent work; whoever says
// that its copy is complete up to a revision must have none.
func TestCopiesOfCopiesHaveNoHoles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{latest: map[string]site.Record{}}
		for range 4 {
			w.copies = append(w.copies, newMirror("servers/"))
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := w.copies[rapid.IntRange(0, 3).Draw(t, "copy")]
			other := w.copies[rapid.IntRange(0, 3).Draw(t, "other")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				w.change(fmt.Sprintf("servers/%d", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				m.Replace(w.list(), w.revision)
			case 3:
				if m.At() > 0 {
					m.Apply(w.history[m.At():], w.revision)
				}
			case 4:
				m.Take(other.Since(m.At()))
			case 5:
				m.Advance(other.Newest(), other.At())
			case 6:
				if list := w.list(); len(list) > 0 {
					m.Learn(list[:1]) // a look at some records only
				}
			}
			w.check(t)
		}
	})
}
