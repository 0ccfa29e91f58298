// Package mirror keeps a local copy of the records of the platform's store that an ingress needs.
// Records come from the store's listing, from its watch, and from peers that received a change
// first. Each record is ordered by its revision, so the order in which the sources deliver does
// not matter, and a newer record is never replaced by an older one.
//
// A copy is complete up to a revision: it reflects everything that the store held or deleted
// until then. The deltas that one copy sends to another are complete as well, so a copy that
// receives changes only from peers never misses one.
//
// When the store was restored from a copy of its own, a new era of revisions begins. What it held
// in the era before and has lost stays in force here, as a hold, until it is written again.
package mirror

import (
	"bytes"
	"sort"
	"time"

	"verbenaroad.example/share/models/site"
)

// maxTombstones limits the deleted records that are kept to inform peers and to reject late
// copies of them.
const maxTombstones = 4096

// Options are the settings of a Mirror.
type Options struct {
	// IsWanted reports whether the record of a key is kept.
	IsWanted func(key string) bool
	// Policy decides what stays in force after the store was restored.
	Policy Policy
}

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	options Options
	// records are those of the store in its present era, which is that of completeRevision. Partial
	// listings may have added records of a later era.
	records map[string]site.Record
	// tombstones is the number of deleted records in records.
	tombstones int
	// completeRevision is the highest revision up to which the copy is complete.
	completeRevision site.Revision
	// newestRevision is the highest revision of any change that the copy reflects. A listing
	// reflects earlier deletions although it does not contain them.
	newestRevision site.Revision
	// compactRevision is the revision up to which tombstones may be missing in records: a
	// listing does not contain what was deleted before it. A copy that is complete only up to
	// an earlier revision needs a full delta.
	compactRevision site.Revision

	// holds are the records of earlier eras that are in force in place of those in records, by key.
	holds map[string]hold
	// earlierRevision is the highest revision of an earlier era up to which the copy was complete; zero:
	// it knew no earlier era.
	earlierRevision site.Revision
	// eraBase is the lowest revision known at which the store was listed in its present era. Records up to it
	// may come from the copy from which the store was restored; later ones were written since.
	eraBase site.Revision
	// eraSince is when the present era was first noticed, here or at a peer.
	eraSince time.Time
}

// Delta holds the records that bring another copy, which is complete up to an earlier revision, up
// to date.
type Delta struct {
	Records []site.Record
	// Full deltas contain every record: a record that is missing in them does not exist.
	Full bool
	// CompleteRevision is the revision up to which a copy is complete once it has applied the
	// delta.
	CompleteRevision site.Revision
	// Holds are the records of earlier eras that are in force at the sender. They are set if the sender
	// knows more of earlier eras than the receiver, up to EarlierRevision.
	Holds           []site.Record
	EarlierRevision site.Revision
	// EraBase and EraAge are what the sender knows of the present era: the lowest revision at which the
	// store was listed in it, and the time since it was noticed.
	EraBase site.Revision
	EraAge  time.Duration
}

// Extent describes which changes a copy of the records reflects.
type Extent struct {
	// NewestRevision is the highest revision of any change in the copy. CompleteRevision is the
	// revision up to which the copy lacks no change.
	NewestRevision   site.Revision
	CompleteRevision site.Revision
	// EarlierRevision is the highest revision of an earlier era up to which the copy was complete.
	EarlierRevision site.Revision
}

// IsAheadOf reports whether a copy with this extent may reflect a change that another one lacks.
func (e Extent) IsAheadOf(other Extent) bool {
	isEarlierEra := e.CompleteRevision.Era < other.CompleteRevision.Era
	return e.NewestRevision.IsAfter(other.CompleteRevision) || e.EarlierRevision.IsAfter(other.EarlierRevision) ||
		isEarlierEra && e.CompleteRevision.IsAfter(other.EarlierRevision)
}

// NewMirror returns an empty copy.
func NewMirror(options Options) *Mirror {
	return &Mirror{options: options, records: map[string]site.Record{}, holds: map[string]hold{}}
}

// CompleteRevision returns the revision up to which the copy is complete. A watch continues
// after it.
func (m *Mirror) CompleteRevision() site.Revision { return m.completeRevision }

// Extent returns the extent of the copy.
func (m *Mirror) Extent() Extent {
	return Extent{NewestRevision: m.newestRevision, CompleteRevision: m.completeRevision, EarlierRevision: m.earlierRevision}
}

// ApplyDelta applies a delta from a peer at time now. It returns the records that changed, as do the other
// methods that apply records: those that are in force, or tombstones.
func (m *Mirror) ApplyDelta(now time.Time, d Delta) (changed []site.Record) {
	changed = m.lowerBase(d.EraBase)
	switch {
	case d.CompleteRevision.Era < m.completeRevision.Era:
		if d.Full {
			changed = append(changed, m.mergeEarlierListing(d.Records, d.Holds, d.CompleteRevision)...)
		} else {
			changed = append(changed, m.Merge(d.Records)...)
		}
		m.earlierRevision = m.earlierRevision.Latest(d.CompleteRevision)
	case d.Full:
		changed = append(changed, m.applyListing(now.Add(-d.EraAge), d.Records, d.CompleteRevision, d.EraBase)...)
	default:
		changed = append(changed, m.Apply(d.Records, d.CompleteRevision)...)
	}
	for _, r := range d.Holds {
		if !m.options.IsWanted(r.Key) || r.Revision.Era >= m.completeRevision.Era {
			continue
		}
		changed = m.append(changed, r.Key, func() { m.mergeEarlier(r) })
	}
	if d.EarlierRevision.Era < m.completeRevision.Era {
		m.earlierRevision = m.earlierRevision.Latest(d.EarlierRevision)
	}
	return changed
}

// Advance processes a peer's report that its copy is complete up to revision complete and
// reflects no change after revision newest. If this copy is complete up to newest, it lacks
// nothing that the peer has and is therefore complete up to the same revision.
func (m *Mirror) Advance(newest, complete site.Revision) {
	if !newest.IsAfter(m.completeRevision) {
		m.completeRevision = m.completeRevision.Latest(complete)
	}
}

// Apply applies changes from a watch that is complete up to the given revision.
func (m *Mirror) Apply(changes []site.Record, revision site.Revision) (changed []site.Record) {
	changed = m.Merge(changes)
	if revision.Era == m.completeRevision.Era || m.completeRevision.IsZero() {
		m.completeRevision = m.completeRevision.Latest(revision)
	}
	return changed
}

// Merge applies changes from a source that may omit some, for example a partial read. The
// complete revision stays the same.
func (m *Mirror) Merge(changes []site.Record) (changed []site.Record) {
	for _, c := range changes {
		if !m.options.IsWanted(c.Key) {
			continue
		}
		changed = m.append(changed, c.Key, func() { m.mergeRecord(c) })
	}
	return changed
}

// append makes a change to the record of a key and appends the record in force if it differs from before.
func (m *Mirror) append(changed []site.Record, key string, change func()) []site.Record {
	before, _ := m.find(key)
	change()
	return m.appendChanged(changed, key, before)
}

// appendChanged appends the record of a key that is in force if it differs from the one before. If it states the
// same, it counts as changed if it was written again within the era, or if its revision is used.
func (m *Mirror) appendChanged(changed []site.Record, key string, before site.Record) []site.Record {
	after, known := m.find(key)
	if !known {
		after = site.Record{Key: key, Revision: m.completeRevision, Deleted: true}
	}
	after = withoutLastValue(after)
	if !isSame(before, after) {
		return append(changed, after)
	}
	isRewritten := before.Revision != after.Revision && before.Revision.Era == after.Revision.Era
	if isRewritten || before.Revision != after.Revision && m.options.Policy.NeedsRevision(key) {
		return append(changed, after)
	}
	return changed
}

// withoutLastValue returns a record, without the value from before if it is a tombstone.
func withoutLastValue(r site.Record) site.Record {
	if r.Deleted {
		r.Value = nil
	}
	return r
}

// isSame reports whether two records of a key state the same. A record without a key does not exist.
func isSame(a, b site.Record) bool {
	isLiveA, isLiveB := a.Key != "" && !a.Deleted, b.Key != "" && !b.Deleted
	return isLiveA == isLiveB && (!isLiveA || bytes.Equal(a.Value, b.Value))
}

// Find returns the record of a key that is in force, which may be a tombstone, or false if none is known.
func (m *Mirror) Find(key string) (site.Record, bool) { return m.find(key) }

// find returns the record of a key that is in force, which may be a tombstone, or false if none is known.
func (m *Mirror) find(key string) (site.Record, bool) {
	if h, held := m.holds[key]; held {
		return h.record, true
	}
	r, known := m.records[key]
	return r, known
}

func (m *Mirror) mergeRecord(c site.Record) {
	if c.Revision.Era < m.completeRevision.Era {
		m.mergeEarlier(c)
		return
	}
	old, known := m.records[c.Key]
	if known && !c.Revision.IsAfter(old.Revision) {
		return
	}
	if known && old.Deleted {
		m.tombstones--
	}
	if c.Deleted {
		m.tombstones++
		if c.Value == nil {
			c.Value = old.Value
		}
	}
	m.records[c.Key] = c
	m.newestRevision = m.newestRevision.Latest(c.Revision)
	m.reviewHold(c)
	m.compact()
}

// ApplyListing applies a full listing that was started at the given revision and arrived at time now. Records
// that are missing in it were deleted, unless they are newer than the listing.
func (m *Mirror) ApplyListing(now time.Time, records []site.Record, revision site.Revision) (changed []site.Record) {
	return m.applyListing(now, records, revision, revision)
}

// applyListing applies a full listing. If it is of a later era, base is the lowest revision at which the store
// was listed in that era, which was first noticed at the given time.
func (m *Mirror) applyListing(noticedAt time.Time, records []site.Record, revision, base site.Revision) (changed []site.Record) {
	switch {
	case revision.Era < m.completeRevision.Era:
		return m.mergeEarlierListing(records, nil, revision)
	case revision.Era > m.completeRevision.Era || m.completeRevision.IsZero():
		return m.beginEra(noticedAt, records, revision, base)
	}
	changed = m.Merge(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, r := range m.records {
		if r.Deleted || listed[key] || r.Revision.IsAfter(revision) {
			continue
		}
		changed = m.append(changed, key, func() { m.bury(r, revision) })
	}
	if revision.IsAfter(m.completeRevision) {
		m.completeRevision = revision
		m.compactRevision = revision
		m.newestRevision = m.newestRevision.Latest(revision)
	}
	m.compact()
	return changed
}

// bury replaces a record by a tombstone with the revision of a listing in which it is missing. The record may
// have that same revision.
func (m *Mirror) bury(r site.Record, revision site.Revision) {
	tombstone := site.Record{Key: r.Key, Value: r.Value, Revision: revision, Deleted: true}
	m.records[r.Key] = tombstone
	m.tombstones++
	m.reviewHold(tombstone)
}

// List returns the records that are in force and not deleted, sorted by key.
func (m *Mirror) List() []site.Record {
	list := make([]site.Record, 0, len(m.records))
	for key, r := range m.records {
		if _, held := m.holds[key]; !held && !r.Deleted {
			list = append(list, r)
		}
	}
	for _, h := range m.holds {
		if !h.record.Deleted {
			list = append(list, h.record)
		}
	}
	return sortByKey(list)
}

func sortByKey(list []site.Record) []site.Record {
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Since returns what changed after the extent of another copy, including deletions, the oldest change first. It
// returns a full delta, sorted by key, if tombstones after the extent may have been dropped. To a copy of a
// later era it returns what that one lacks of its earlier era.
func (m *Mirror) Since(now time.Time, other Extent) Delta {
	d := Delta{CompleteRevision: m.completeRevision, EarlierRevision: m.earlierRevision, EraBase: m.eraBase}
	if !m.eraSince.IsZero() {
		d.EraAge = now.Sub(m.eraSince)
	}
	revision := other.CompleteRevision
	if revision.Era > m.completeRevision.Era {
		revision = other.EarlierRevision
	}
	if m.earlierRevision.IsAfter(other.EarlierRevision) || m.compactRevision.IsAfter(revision) {
		for _, h := range m.holds {
			d.Holds = append(d.Holds, h.record)
		}
		sortByKey(d.Holds)
	}
	if m.compactRevision.IsAfter(revision) {
		d.Full = true
		for _, r := range m.records {
			if !r.Deleted {
				d.Records = append(d.Records, r)
			}
		}
		sortByKey(d.Records)
		return d
	}
	for _, r := range m.records {
		if r.Revision.IsAfter(revision) {
			d.Records = append(d.Records, withoutLastValue(r))
		}
	}
	sort.Slice(d.Records, func(i, j int) bool { return d.Records[j].Revision.IsAfter(d.Records[i].Revision) })
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
	sort.Slice(tombstones, func(i, j int) bool { return tombstones[j].Revision.IsAfter(tombstones[i].Revision) })
	for _, r := range tombstones[:len(tombstones)/2] {
		delete(m.records, r.Key)
		m.tombstones--
		m.compactRevision = m.compactRevision.Latest(r.Revision)
	}
}
