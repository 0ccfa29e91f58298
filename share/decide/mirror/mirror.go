// Package mirror keeps a copy of those records of the platform's store that are of use here. Records come from the store's listing, its watch, and from
// peers that heard of a change first; each counts by its revision, so the order
// in which these sources speak does not matter and no record goes back.
//
// A copy is complete up to a revision: it lacks nothing that the store held or
// deleted until then. What one copy tells another is complete too, so that a copy
// which hears only of peers never has a hole.
package mirror

import (
	"sort"

	"verbenaroad.example/share/models/site"
)

// maxDeleted bounds the deletions that are remembered for peers and against late copies.
const maxDeleted = 4096

// Mirror is the copy; it belongs to one goroutine or is guarded by its caller.
type Mirror struct {
	// isWanted tells of a key whether its record is kept.
	isWanted func(key string) bool
	records  map[string]site.Record
	// deleted counts the records of the map that stand for a deletion.
	deleted int
	// at is the highest revision up to which the copy is complete.
	at uint64
	// newest is the highest revision of any change that the copy reflects. A listing
	// reflects what was deleted before it and does not show it.
	newest uint64
	// floor is the revision up to which deletions may be missing in records: what was
	// deleted before a listing does not show in it. A copy that is older than that
	// needs the whole.
	floor uint64
}

// Delta is what a copy lacks that is complete up to an earlier revision.
type Delta struct {
	Records []site.Record
	// Whole deltas hold every record: what is missing in them does not exist.
	Whole bool
	// At is the revision up to which the copy is complete with the delta.
	At uint64
}

// NewMirror returns an empty copy of the records whose keys are wanted.
func NewMirror(isWanted func(key string) bool) *Mirror {
	return &Mirror{isWanted: isWanted, records: map[string]site.Record{}}
}

// At returns the revision up to which the copy is complete; a watch goes on after it.
func (m *Mirror) At() uint64 { return m.at }

// Newest returns the highest revision of any change that the copy reflects, deletions included.
func (m *Mirror) Newest() uint64 { return m.newest }

// Take takes what a peer told.
func (m *Mirror) Take(d Delta) (changed []site.Record) {
	if d.Whole {
		return m.Replace(d.Records, d.At)
	}
	return m.Apply(d.Records, d.At)
}

// Advance takes a peer's word that its copy is complete up to at and reflects no change
// younger than newest. A copy that has all up to newest is then as complete.
func (m *Mirror) Advance(newest, at uint64) {
	if m.at >= newest {
		m.at = max(m.at, at)
	}
}

// Apply takes changes of a watch that is complete up to revision at.
func (m *Mirror) Apply(changes []site.Record, at uint64) (changed []site.Record) {
	changed = m.Learn(changes)
	m.at = max(m.at, at)
	return changed
}

// Learn takes changes from a source that may leave some out, such as a peer.
func (m *Mirror) Learn(changes []site.Record) (changed []site.Record) {
	for _, c := range changes {
		if !m.isWanted(c.Key) {
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
	m.newest = max(m.newest, c.Revision)
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
	if at > m.at {
		m.at = at
		m.floor = at
		m.newest = max(m.newest, at)
	}
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

// Since returns what changed after a revision, deletions included, the oldest change first.
func (m *Mirror) Since(revision uint64) Delta {
	d := Delta{At: m.at}
	if revision < m.floor {
		d.Whole = true
		d.Records = m.List()
		return d
	}
	for _, r := range m.records {
		if r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	sort.Slice(d.Records, func(i, j int) bool { return d.Records[i].Revision < d.Records[j].Revision })
	return d
}

// forget drops the oldest deletions once there are too many. A copy of such a
// record that came from a peer afterwards would revive it until the next
// listing; maxDeleted is far more than changes within the time a peer lags.
// A peer that is older than what was dropped is told the whole.
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
		m.floor = max(m.floor, r.Revision)
	}
}
