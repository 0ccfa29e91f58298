// Package quota keeps the requests of all ingresses within the rate that a backend server states in
// its answers.
package quota

import (
	"time"

	"verbenaroad.example/share/models/site"
)

// Table holds the rate limits that backend servers have stated. It is not safe for concurrent use.
type Table struct {
	// entries is keyed by server ID. A server that never stated a limit has none.
	entries map[string]*entry
}

// entry is what is known about the limit of one start of a server.
type entry struct {
	incarnation int64
	limited     bool
	// perSecond is the stated rate; 0 if the server is not limited.
	perSecond float64
	// heardAt is when an answer stated or withdrew the limit last.
	heardAt time.Time
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// maxEntries limits the size of a table. The entry that was not heard of for the longest time makes
// room for a new one.
const maxEntries = 4096

// Observe records what an answer of a server states about its rate. It returns true if the known
// limit of the server has changed. An unreadable limit changes nothing: the server is limited, but
// the rate that it takes is not known.
func (t *Table) Observe(now time.Time, server site.Server, stated site.RateLimit) (changed bool) {
	if stated.State == site.RateUnreadable {
		return false
	}
	limited := stated.State == site.RateLimited
	e := t.entries[server.ID]
	if e == nil && !limited {
		return false
	}
	if e == nil || e.incarnation != server.Incarnation {
		e = &entry{incarnation: server.Incarnation}
		t.add(server.ID, e)
	}
	changed = e.limited != limited || e.perSecond != stated.PerSecond
	e.limited, e.perSecond, e.heardAt = limited, stated.PerSecond, now
	return changed
}

func (t *Table) add(id string, e *entry) {
	if t.entries[id] == nil && len(t.entries) >= maxEntries {
		t.evictOldest()
	}
	t.entries[id] = e
}

func (t *Table) evictOldest() {
	oldest := ""
	for id, e := range t.entries {
		if oldest == "" || e.heardAt.Before(t.entries[oldest].heardAt) {
			oldest = id
		}
	}
	delete(t.entries, oldest)
}

// Find returns the requests per second that a server takes from all ingresses together. If the
// server has not stated a limit since its start, or has withdrawn it, limited is false.
func (t *Table) Find(server site.Server) (perSecond float64, limited bool) {
	e := t.entries[server.ID]
	if e == nil || !e.limited || e.incarnation != server.Incarnation {
		return 0, false
	}
	return e.perSecond, true
}
