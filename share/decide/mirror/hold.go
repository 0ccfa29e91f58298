package mirror

import (
	"maps"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// Policy decides which records of an earlier era stay in force after the store was restored. A record without a
// key does not exist. A tombstone has the value from before, or none if the record may never have existed.
type Policy interface {
	// Decide returns whether a record of an earlier era, or a tombstone, is in force in place of the store's
	// present one. IsFresh is set if the present one was written after the restore. Otherwise it may come from
	// the copy, and be older.
	Decide(earlier, present site.Record, isFresh bool) Decision
	// NeedsRevision reports whether the revision of the record of a key is used, so that it counts as changed
	// if it has only been given another one.
	NeedsRevision(key string) bool
}

// Decision is whether a record is held, and for how long.
type Decision struct {
	Held bool
	// Limit is the time from the beginning of the era after which the store's record is in force in any
	// case; 0: unlimited.
	Limit time.Duration
}

// hold is a record of an earlier era that is in force.
type hold struct {
	record site.Record
	// until is when the hold ends; zero: when the record is written again.
	until time.Time
}

// Holds returns the records of earlier eras that are in force in place of the store's, including tombstones,
// sorted by key.
func (m *Mirror) Holds() []site.Record {
	list := make([]site.Record, 0, len(m.holds))
	for _, h := range m.holds {
		list = append(list, h.record)
	}
	return sortByKey(list)
}

// ExpireHolds ends the holds whose time is over.
func (m *Mirror) ExpireHolds(now time.Time) (changed []site.Record) {
	for key, h := range m.holds {
		if !h.until.IsZero() && !now.Before(h.until) {
			changed = m.append(changed, key, func() { delete(m.holds, key) })
		}
	}
	return sortByKey(changed)
}

// beginEra replaces the records by the first full listing of an era. What was in force before is held, as far as
// the policy decides.
func (m *Mirror) beginEra(noticedAt time.Time, records []site.Record, revision, base site.Revision) (changed []site.Record) {
	before, complete := m.clearRecords(), m.completeRevision
	m.earlierRevision = m.earlierRevision.Latest(complete)
	m.completeRevision, m.compactRevision, m.newestRevision = revision, revision, revision
	m.eraBase, m.eraSince = base, noticedAt
	for _, r := range records {
		if m.options.IsWanted(r.Key) {
			m.mergeRecord(r)
		}
	}
	for _, r := range before {
		// A record of this era came from a partial read. Unless it is newer than the listing it was
		// deleted since, or is in it.
		if r.Revision.Era < revision.Era || r.Revision.IsAfter(revision) {
			m.mergeRecord(r)
		}
	}
	keys := slices.Collect(maps.Keys(before))
	for key, r := range m.records {
		if _, known := before[key]; known {
			continue
		}
		keys = append(keys, key)
		m.mergeAbsence(r, complete)
	}
	slices.Sort(keys)
	for _, key := range keys {
		changed = m.appendChanged(changed, key, before[key])
	}
	return changed
}

// clearRecords removes all records and holds, and returns those that were in force, by key.
func (m *Mirror) clearRecords() map[string]site.Record {
	before := m.records
	for key, h := range m.holds {
		before[key] = h.record
	}
	m.records, m.holds, m.tombstones = map[string]site.Record{}, map[string]hold{}, 0
	return before
}

// mergeEarlierListing applies a full listing of an earlier era, and the holds of its sender.
func (m *Mirror) mergeEarlierListing(records, holds []site.Record, revision site.Revision) (changed []site.Record) {
	changed = m.Merge(records)
	listed := make(map[string]bool, len(records)+len(holds))
	for _, r := range slices.Concat(records, holds) {
		listed[r.Key] = true
	}
	for key, r := range m.records {
		if !listed[key] && !r.Deleted && r.Revision.Era == m.completeRevision.Era {
			changed = m.append(changed, key, func() { m.mergeAbsence(r, revision) })
		}
	}
	return changed
}

// mergeAbsence processes that a copy of an earlier era, which was complete up to a revision, lacked a record of the
// present one. If it had reached the record's number, the record was deleted before that, or written since the
// restore.
func (m *Mirror) mergeAbsence(r site.Record, complete site.Revision) {
	if r.Revision.Number <= complete.Number {
		m.mergeEarlier(site.Record{Key: r.Key, Revision: complete, Deleted: true})
	}
}

// mergeEarlier applies a record of an earlier era.
func (m *Mirror) mergeEarlier(earlier site.Record) {
	if h, held := m.holds[earlier.Key]; held && !m.outranks(earlier, h.record) {
		return
	}
	present := m.records[earlier.Key]
	if isSame(earlier, present) {
		return
	}
	if d := m.options.Policy.Decide(earlier, present, m.isFresh(present)); d.Held {
		h := hold{record: earlier}
		if d.Limit > 0 {
			h.until = m.eraSince.Add(d.Limit)
		}
		m.holds[earlier.Key] = h
	}
}

// outranks reports whether the first one of two different records of a key, of earlier eras, is the one that was
// in force.
func (m *Mirror) outranks(a, b site.Record) bool {
	switch {
	case a.Revision.Era < b.Revision.Era:
		return !isSame(a, b) && m.options.Policy.Decide(a, b, false).Held
	case a.Revision.Era > b.Revision.Era:
		return isSame(a, b) || !m.options.Policy.Decide(b, a, false).Held
	default:
		return a.Revision.IsAfter(b.Revision)
	}
}

// reviewHold ends the hold of a key, if there is one, unless it stays in force in place of the present record.
func (m *Mirror) reviewHold(present site.Record) {
	h, held := m.holds[present.Key]
	if !held {
		return
	}
	if isSame(h.record, present) || !m.options.Policy.Decide(h.record, present, m.isFresh(present)).Held {
		delete(m.holds, present.Key)
	}
}

// isFresh reports whether a record was written since the store was restored, rather than possibly being in the
// copy from which it was.
func (m *Mirror) isFresh(r site.Record) bool {
	return r.Key != "" && r.Revision.Era == m.eraBase.Era && r.Revision.IsAfter(m.eraBase)
}

// lowerBase processes what a peer knows of the beginning of the present era, which may show that records were
// written since.
func (m *Mirror) lowerBase(base site.Revision) (changed []site.Record) {
	if base.Era != m.eraBase.Era || base.Number == 0 || !m.eraBase.IsAfter(base) {
		return nil
	}
	m.eraBase = base
	for key := range m.holds {
		changed = m.append(changed, key, func() { m.reviewHold(m.records[key]) })
	}
	return changed
}
