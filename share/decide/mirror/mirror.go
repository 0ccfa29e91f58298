// Package mirror keeps a local copy of the records of the platform's store that an ingress needs.
// Records come from the store's listing, from its watch, and from peers that received a change
// first. Each record is ordered by its revision, so the order in which the sources deliver does
// not matter, and a newer record is never replaced by an older one.
//
// A copy is complete up to a revision: it reflects everything that the store held or deleted
// until then. The deltas that one copy sends to another are complete as well, so a copy that
// receives changes only from peers never misses one.
package mirror

import (
	"sort"

	"verbenaroad.example/share/models/site"
)

// maxTombstones limits the deleted records that are kept to inform peers and to reject late
// copies of them.
const maxTombstones = 4096

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	// isWanted reports whether the record of a key is kept.
	isWanted func(key string) bool
	records  map[string]site.Record
	// tombstones is the number of deleted records in records.
	tombstones int
	// completeRevision is the highest revision up to which the copy is complete.
	completeRevision uint64
	// newestRevision is the highest revision of any change that the copy reflects. A listing
	// reflects earlier deletions although it does not contain them.
	newestRevision uint64
	// compactRevision is the revision up to which tombstones may be missing in records: a
	// listing does not contain what was deleted before it. A copy that is complete only up to
	// an earlier revision needs a full delta.
	compactRevision uint64
}

// Delta holds the records that bring another copy, which is complete up to an earlier revision, up
// to date.
type Delta struct {
	Records []site.Record
	// Full deltas contain every record: a record that is missing in them does not exist.
	Full bool
	// CompleteRevision is the revision up to which a copy is complete once it has applied the
	// delta.
	CompleteRevision uint64
}

// NewMirror returns an empty copy of the records whose keys are wanted.
func NewMirror(isWanted func(key string) bool) *Mirror {
	return &Mirror{isWanted: isWanted, records: map[string]site.Record{}}
}

// CompleteRevision returns the revision up to which the copy is complete. A watch continues
// after it.
func (m *Mirror) CompleteRevision() uint64 { return m.completeRevision }

// NewestRevision returns the highest revision of any change that the copy reflects, including
// deletions.
func (m *Mirror) NewestRevision() uint64 { return m.newestRevision }

// ApplyDelta applies a delta from a peer. It returns the records that changed, as do the other
// methods that apply records.
func (m *Mirror) ApplyDelta(d Delta) (changed []site.Record) {
	if d.Full {
		return m.ApplyListing(d.Records, d.CompleteRevision)
	}
	return m.Apply(d.Records, d.CompleteRevision)
}

// Advance processes a peer's report that its copy is complete up to revision complete and
// reflects no change after revision newest. If this copy is complete up to newest, it lacks
// nothing that the peer has and is therefore complete up to the same revision.
func (m *Mirror) Advance(newest, complete uint64) {
	if m.completeRevision >= newest {
		m.completeRevision = max(m.completeRevision, complete)
	}
}

// Apply applies changes from a watch that is complete up to the given revision.
func (m *Mirror) Apply(changes []site.Record, revision uint64) (changed []site.Record) {
	changed = m.Merge(changes)
	m.completeRevision = max(m.completeRevision, revision)
	return changed
}

// Merge applies changes from a source that may omit some, for example a partial read. The
// complete revision stays the same.
func (m *Mirror) Merge(changes []site.Record) (changed []site.Record) {
	for _, c := range changes {
		if !m.isWanted(c.Key) {
			continue
		}
		if m.mergeRecord(c) {
			changed = append(changed, c)
		}
	}
	return changed
}

func (m *Mirror) mergeRecord(c site.Record) bool {
	old, known := m.records[c.Key]
	if known && old.Revision >= c.Revision {
		return false
	}
	if known && old.Deleted {
		m.tombstones--
	}
	if c.Deleted {
		m.tombstones++
		c.Value = nil
	}
	m.records[c.Key] = c
	m.newestRevision = max(m.newestRevision, c.Revision)
	m.compact()
	return true
}

// ApplyListing applies a full listing that was started at the given revision. Records that are
// missing in it were deleted, unless they are newer than the listing.
func (m *Mirror) ApplyListing(records []site.Record, revision uint64) (changed []site.Record) {
	changed = m.Merge(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, r := range m.records {
		if r.Deleted || listed[key] || r.Revision > revision {
			continue
		}
		tombstone := site.Record{Key: key, Revision: revision, Deleted: true}
		// Merge would ignore the tombstone if the record has the revision of the listing,
		// but the record is older than the listing in which it is missing.
		m.records[key] = tombstone
		m.tombstones++
		changed = append(changed, tombstone)
	}
	if revision > m.completeRevision {
		m.completeRevision = revision
		m.compactRevision = revision
		m.newestRevision = max(m.newestRevision, revision)
	}
	m.compact()
	return changed
}

// List returns the records that are not deleted, sorted by key.
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

// Since returns what changed after a revision, including deletions, the oldest change first. It
// returns a full delta, sorted by key, if tombstones after the revision may have been dropped.
func (m *Mirror) Since(revision uint64) Delta {
	d := Delta{CompleteRevision: m.completeRevision}
	if revision < m.compactRevision {
		d.Full = true
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

// compact drops the older half of the tombstones once there are too many. If a peer then sent
// an outdated copy of such a record, it would reappear until the next listing; but maxTombstones
// is far more than the changes within the time that a peer lags. A peer whose copy is older than
// the dropped tombstones gets a full delta.
func (m *Mirror) compact() {
	if m.tombstones <= maxTombstones {
		return
	}
	tombstones := make([]site.Record, 0, m.tombstones)
	for _, r := range m.records {
		if r.Deleted {
			tombstones = append(tombstones, r)
		}
	}
	sort.Slice(tombstones, func(i, j int) bool { return tombstones[i].Revision < tombstones[j].Revision })
	for _, r := range tombstones[:len(tombstones)/2] {
		delete(m.records, r.Key)
		m.tombstones--
		m.compactRevision = max(m.compactRevision, r.Revision)
	}
}
