// Package mirror keeps a copy of the records below a prefix of the
// platform's store. Records come from the store's listing, its watch, and from
// peers that heard of a change first; each counts by its revision, so the order
// in which these sources speak does not matter and no record goes back.
package mirror

import (
	"sort"
	"strings"

	"verbenaroad.example/share/models/site"
)

// maxDeleted bounds the deletions that are remembered for peers and against late copies.
const maxDeleted = 4096

// Mirror is the copy; it belongs to one goroutine or is guarded by its caller.
type Mirror struct {
	prefix  string
	records map[string]site.Record
	// deleted counts the records of the map that stand for a deletion.
	deleted int
	// at is the highest revision up to which the store itself told everything.
	at uint64
}

// NewMirror returns an empty copy of the records whose keys begin with prefix.
func NewMirror(prefix string) *Mirror {
	return &Mirror{prefix: prefix, records: map[string]site.Record{}}
}

// At returns the revision after which a watch goes on.
func (m *Mirror) At() uint64 { return m.at }

// Apply takes changes of a watch that is complete up to revision at.
func (m *Mirror) Apply(changes []site.Record, at uint64) (changed []site.Record) {
	changed = m.Learn(changes)
	m.at = max(m.at, at)
	return changed
}

// Learn takes changes from a source that may leave some out, such as a peer.
func (m *Mirror) Learn(changes []site.Record) (changed []site.Record) {
	for _, c := range changes {
		if !strings.HasPrefix(c.Key, m.prefix) {
			continue
		}
		if m.learnOne(c) {
			changed = append(changed, c)
		}
	}
	return changed
}

func (m *Mirror) learnOne(c site.Record) bool {
	old, known := m.records[c.Key]
	if known && old.Revision >= c.Revision {
		return false
	}
	if known && old.Deleted {
		m.deleted--
	}
	if c.Deleted {
		m.deleted++
		c.Value = nil
	}
	m.records[c.Key] = c
	m.forget()
	return true
}

// Replace takes a whole listing that was begun at revision at. Records that
// are missing in it were deleted, unless they are younger than the listing.
func (m *Mirror) Replace(records []site.Record, at uint64) (changed []site.Record) {
	changed = m.Learn(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, r := range m.records {
		if r.Deleted || listed[key] || r.Revision > at {
			continue
		}
		gone := site.Record{Key: key, Revision: at, Deleted: true}
		// A record of this very revision is older than the listing that lacks it.
		m.records[key] = gone
		m.deleted++
		changed = append(changed, gone)
	}
	m.at = max(m.at, at)
	m.forget()
	return changed
}

// List returns the records that are not deleted, by key.
func (m *Mirror) List() []site.Record {
	list := make([]site.Record, 0, len(m.records))
	for _, r := range m.records {
		if !r.Deleted {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Newest returns the highest revision of any record, deletions included.
func (m *Mirror) Newest() uint64 {
	newest := uint64(0)
	for _, r := range m.records {
		newest = max(newest, r.Revision)
	}
	return newest
}

// Since returns what changed after a revision, deletions included, for a peer that lags.
func (m *Mirror) Since(revision uint64) []site.Record {
	list := []site.Record{}
	for _, r := range m.records {
		if r.Revision > revision {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
	return list
}

// forget drops the oldest deletions once there are too many. A copy of such a
// record that came from a peer afterwards would revive it until the next
// listing; maxDeleted is far more than changes within the time a peer lags.
func (m *Mirror) forget() {
	if m.deleted <= maxDeleted {
		return
	}
	gone := make([]site.Record, 0, m.deleted)
	for _, r := range m.records {
		if r.Deleted {
			gone = append(gone, r)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Revision < gone[j].Revision })
	for _, r := range gone[:len(gone)/2] {
		delete(m.records, r.Key)
		m.deleted--
	}
}
