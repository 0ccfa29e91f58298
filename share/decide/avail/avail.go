// Package avail tracks the backend servers that want no further requests: those that said that they
// leave, and those that asked this ingress for a pause.
package avail

import (
	"net/netip"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// retainTime is how long a server that is not in the view is remembered. It may come back: its failure
// domain was evacuated, or its registration expired while the store was away.
const retainTime = time.Hour

// Table holds what backend servers said in their answers. It is not safe for concurrent use.
type Table struct {
	// entries is keyed by server ID. A server that always took requests has none.
	entries map[string]*entry
}

// entry is what one start of a server said.
type entry struct {
	incarnation int64
	service     string
	address     netip.AddrPort
	// leaving is set once the server said that it leaves. It holds until the server starts again.
	leaving bool
	// pausedUntil is the end of the latest pause that the server asked for; zero: none.
	pausedUntil time.Time
	// seenAt is when the server last was in the view or said something.
	seenAt time.Time
}

// NewTable returns a table without entries.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// MarkLeaving records that a server said that it leaves. It returns true if that was not known.
func (t *Table) MarkLeaving(now time.Time, server *site.Server) (changed bool) {
	e := t.getEntry(now, server)
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	return true
}

// Pause records that a server wants no further requests until a point in time. It returns true if
// that prolongs the pause. An earlier request for a longer pause stays in force.
func (t *Table) Pause(now time.Time, server *site.Server, until time.Time) (changed bool) {
	if !until.After(now) {
		return false
	}
	e := t.getEntry(now, server)
	if e == nil || !until.After(e.pausedUntil) {
		return false
	}
	e.pausedUntil = until
	return true
}

// getEntry returns the entry of a server, a new one if the server has started since. It returns nil if a
// later start of the server is known.
func (t *Table) getEntry(now time.Time, server *site.Server) *entry {
	e := t.entries[server.ID]
	if e != nil && e.incarnation > server.Incarnation {
		return nil
	}
	if e == nil || e.incarnation < server.Incarnation {
		e = &entry{incarnation: server.Incarnation}
		t.entries[server.ID] = e
	}
	e.service, e.address, e.seenAt = server.Service, server.Address, now
	return e
}

// IsLeaving reports whether a server said that it leaves.
func (t *Table) IsLeaving(server *site.Server) bool {
	e := t.find(server)
	return e != nil && e.leaving
}

// PausedUntil returns the end of the pause that a server asked for; zero if there is none now.
func (t *Table) PausedUntil(now time.Time, server *site.Server) time.Time {
	if e := t.find(server); e != nil && e.isPaused(now) {
		return e.pausedUntil
	}
	return time.Time{}
}

// find returns the entry of a server, or nil. A server without ID is found by its address: the one that
// was seen last, if several have had it.
func (t *Table) find(server *site.Server) *entry {
	if server.ID != "" {
		if e := t.entries[server.ID]; e != nil && e.incarnation == server.Incarnation {
			return e
		}
		return nil
	}
	var latest *entry
	for _, e := range t.entries {
		if e.address == server.Address && (latest == nil || e.seenAt.After(latest.seenAt)) {
			latest = e
		}
	}
	return latest
}

// ListPaused returns the IDs of the paused servers of a service, sorted.
func (t *Table) ListPaused(now time.Time, service string) []string {
	ids := []string{}
	for id, e := range t.entries {
		if e.service == service && e.isPaused(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (e *entry) isPaused(now time.Time) bool { return now.Before(e.pausedUntil) }

// Count returns the number of entries of servers that leave or are paused.
func (t *Table) Count(now time.Time) (leaving, paused int) {
	for _, e := range t.entries {
		if e.leaving {
			leaving++
		}
		if e.isPaused(now) {
			paused++
		}
	}
	return leaving, paused
}

// IsEmpty reports whether there are no entries.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// Retain drops the entries that say nothing any more, and those of leaving servers that have not been in
// the view for retainTime. Live holds the IDs of those that are. A pause is kept until its end.
func (t *Table) Retain(now time.Time, live map[string]bool) {
	for id, e := range t.entries {
		if live[id] {
			e.seenAt = now
		}
		if !e.isPaused(now) && (!e.leaving || now.Sub(e.seenAt) >= retainTime) {
			delete(t.entries, id)
		}
	}
}
