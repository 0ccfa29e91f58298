// Package quota keeps the requests of all ingresses within the rate that a backend server states in
// its answers.
//
// Each ingress learns of a limit from the answers that it receives itself and from the other
// ingresses. The requests to a server are counted by one ingress, so that the limit holds for all of
// them together: the one that places the requests of the server's service, or that batches its calls.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// Statement is what one ingress tells another about the limit of one start of a server.
type Statement struct {
	ServerID    string
	Incarnation int64
	// Limited is false if the server has withdrawn its limit.
	Limited bool
	// PerSecond is the rate in requests per second from all ingresses together; 0 if not Limited.
	PerSecond float64
	// Version increases with each change that an ingress observes in the server's answers.
	Version uint64
}

// Table holds the rate limits that backend servers have stated. It is not safe for concurrent use.
type Table struct {
	// entries is keyed by server ID. A server that never stated a limit has none.
	entries map[string]*entry
}

// entry is the newest known statement about a server.
type entry struct {
	Statement
	// spreadUntil is until when a withdrawn limit is passed on to other ingresses.
	spreadUntil time.Time
	// missingSince is since when the server is not in the view; zero if it is.
	missingSince time.Time
}

// spreadTime is how long a withdrawn limit is passed on. Limits that are in force always are.
const spreadTime = 10 * time.Second

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Observe records what an answer of a server states about its rate. It returns true if the known
// limit of the server has changed. An unreadable limit changes nothing: the server is limited, but
// the rate that it takes is not known.
func (t *Table) Observe(now time.Time, server *site.Server, stated site.RateLimit) (changed bool) {
	if stated.State == site.RateUnreadable {
		return false
	}
	limited := stated.State == site.RateLimited
	old := t.entries[server.ID]
	known := old != nil && old.Incarnation == server.Incarnation
	if !known && !limited || known && old.Limited == limited && old.PerSecond == stated.PerSecond {
		return false
	}
	version := uint64(1)
	if known {
		version = old.Version + 1
	}
	t.set(now, Statement{
		ServerID: server.ID, Incarnation: server.Incarnation, Limited: limited, PerSecond: stated.PerSecond, Version: version,
	})
	return true
}

// Merge records what another ingress states about a server. It returns true if the known limit of
// the server has changed.
func (t *Table) Merge(now time.Time, s Statement) (changed bool) {
	if math.IsNaN(s.PerSecond) || math.IsInf(s.PerSecond, 0) || s.PerSecond < 0 {
		return false
	}
	old := t.entries[s.ServerID]
	if old == nil {
		t.set(now, s)
		return s.Limited
	}
	switch compareStatements(s, old.Statement) {
	case 0:
		return false
	case -1:
		old.spreadUntil = now.Add(spreadTime) // the other ingress has missed the newer one
		return false
	}
	changed = old.Incarnation != s.Incarnation || old.Limited != s.Limited || old.PerSecond != s.PerSecond
	t.set(now, s)
	return changed
}

func (t *Table) set(now time.Time, s Statement) {
	e := &entry{Statement: s, spreadUntil: now.Add(spreadTime)}
	if old := t.entries[s.ServerID]; old != nil {
		e.missingSince = old.missingSince
	}
	t.entries[s.ServerID] = e
}

// compareStatements returns -1, 0 or 1 if a is to be superseded by b, equals it, or supersedes it. Of
// two different statements with the same version, the stricter one holds until the next answer.
func compareStatements(a, b Statement) int {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version)); c != 0 {
		return c
	}
	switch {
	case a.Limited && !b.Limited:
		return 1
	case b.Limited && !a.Limited:
		return -1
	default:
		return cmp.Compare(b.PerSecond, a.PerSecond)
	}
}

// Find returns the requests per second that a server takes from all ingresses together. If the
// server has not stated a limit since its start, or has withdrawn it, limited is false.
func (t *Table) Find(server *site.Server) (perSecond float64, limited bool) {
	s, known := t.FindStatement(server)
	return s.PerSecond, known && s.Limited
}

// FindStatement returns the newest statement about a server.
func (t *Table) FindStatement(server *site.Server) (s Statement, known bool) {
	e := t.entries[server.ID]
	if e == nil || e.Incarnation != server.Incarnation {
		return Statement{}, false
	}
	return e.Statement, true
}

// IsEmpty reports whether no server has stated a limit.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// CountLimits returns the number of servers with a limit.
func (t *Table) CountLimits() int {
	n := 0
	for _, e := range t.entries {
		if e.Limited {
			n++
		}
	}
	return n
}

// Statements returns what other ingresses are to be told, ordered by server ID: the limits in force
// and those that were withdrawn a short time ago.
func (t *Table) Statements(now time.Time) []Statement {
	list := []Statement{}
	for _, e := range t.entries {
		if e.Limited || now.Before(e.spreadUntil) {
			list = append(list, e.Statement)
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.ServerID, b.ServerID) })
	return list
}

// retainTime is how long the limit of a server that left the view is remembered. It may come back:
// its failure domain was evacuated, or its registration lapsed while the store was away.
const retainTime = time.Minute

// Retain removes the limits of the servers that have not been in the view for retainTime; live holds
// the IDs of those that are.
func (t *Table) Retain(now time.Time, live map[string]bool) {
	for id, e := range t.entries {
		switch {
		case live[id]:
			e.missingSince = time.Time{}
		case e.missingSince.IsZero():
			e.missingSince = now
		case now.Sub(e.missingSince) >= retainTime:
			delete(t.entries, id)
		}
	}
}
