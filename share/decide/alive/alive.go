// Package alive decides which registered backend servers may be sent new work.
//
// During an outage of the store a backend server's registration expires although the server is
// healthy. Acting on every such expiry would leave no servers when the store recovers, so
// servers whose registration expired around an outage are kept until they have had time to
// register again.
package alive

import (
	"maps"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

const (
	// ReregisterTime is how long after the store's recovery a live server is registered again:
	// the platform promises about two seconds, plus a quarter more for the delay of the watch.
	ReregisterTime = 2500 * time.Millisecond
	// ExpiryWindow is how long after the store's recovery a removal still counts as an expiry:
	// registrations that expired in the outage are missing in the first answer, and the store
	// may need a moment to scan its entries.
	//
	// The window is short because a process that alone lost its connection cannot distinguish
	// this from an outage of the store. A server that shut down just after such a process had
	// reconnected would be kept for ReregisterTime, and would get work after the time in
	// which a draining server must still accept some.
	ExpiryWindow = 700 * time.Millisecond
	// minOutage is the shortest unavailability of the store that counts as an outage, in which
	// registrations may expire. A single failed call is shorter.
	minOutage = time.Second
)

// Set holds the registered servers. It is not safe for concurrent use.
type Set struct {
	servers map[string]entry
	// unavailableSince is when the store became unavailable; zero while it is available.
	unavailableSince time.Time
	// recoveredAt is when the last outage ended; zero before the first.
	recoveredAt time.Time
	// evacuated holds the failure domains that get no new work.
	evacuated map[string]bool
}

type entry struct {
	server site.Server
	// expired is set if the server is missing in the store but kept for now.
	expired bool
}

// NewSet returns a set without servers.
func NewSet() *Set {
	return &Set{servers: map[string]entry{}, evacuated: map[string]bool{}}
}

// Put adds or updates a registered server.
func (s *Set) Put(server site.Server) {
	s.servers[server.ID] = entry{server: server}
}

// Remove handles the end of a registration at time now. It returns true if the server is kept
// for now.
func (s *Set) Remove(id string, now time.Time) (kept bool) {
	e, known := s.servers[id]
	if !known {
		return false
	}
	// A draining server is not expected to register again.
	if e.server.State == site.ServerReady && s.mayHaveExpired(now) {
		e.expired = true
		s.servers[id] = e
		return true
	}
	delete(s.servers, id)
	return false
}

// Drop removes a server that is known to have left before any outage.
func (s *Set) Drop(id string) { delete(s.servers, id) }

// mayHaveExpired reports whether a removal may be an expiry caused by an outage.
func (s *Set) mayHaveExpired(now time.Time) bool {
	return s.isInOutage(now) || s.hasRecoveredWithin(now, ExpiryWindow)
}

// isInOutage reports whether the store has been unavailable for so long that registrations may
// expire.
func (s *Set) isInOutage(now time.Time) bool {
	return !s.unavailableSince.IsZero() && now.Sub(s.unavailableSince) >= minOutage
}

// hasRecoveredWithin reports whether the last outage ended less than span ago.
func (s *Set) hasRecoveredWithin(now time.Time, span time.Duration) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < span
}

// MarkStoreUnavailable records that the store has not answered since the given time.
func (s *Set) MarkStoreUnavailable(since time.Time) {
	if s.unavailableSince.IsZero() || since.Before(s.unavailableSince) {
		s.unavailableSince = since
	}
}

// MarkStoreAvailable records that the store answers.
func (s *Set) MarkStoreAvailable(now time.Time) {
	if s.isInOutage(now) {
		s.recoveredAt = now
	}
	s.unavailableSince = time.Time{}
}

// DropExpired removes the expired servers once their time to register again has passed, and
// returns their IDs.
func (s *Set) DropExpired(now time.Time) (dropped []string) {
	if s.isInOutage(now) || s.hasRecoveredWithin(now, ReregisterTime) {
		return nil
	}
	for id, e := range s.servers {
		if e.expired {
			delete(s.servers, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Evacuate stops new work for the servers of a failure domain.
func (s *Set) Evacuate(domain string) { s.evacuated[domain] = true }

// EndEvacuation lets the servers of a failure domain take work again. They count as cold for
// the coldTime of their service, or longer if their registration states a longer time.
//
// Without the cold time they would get too many requests for a second: they are cold when the
// evacuation ends, but report this up to a heartbeat later.
func (s *Set) EndEvacuation(domain string, now time.Time, coldTime func(service string) time.Duration) {
	if !s.evacuated[domain] {
		return
	}
	delete(s.evacuated, domain)
	for id, e := range s.servers {
		if e.server.Domain != domain {
			continue
		}
		warm := now.Add(coldTime(e.server.Service))
		if warm.After(e.server.ColdUntil) && warm.After(now) {
			e.server.ColdUntil = warm
			s.servers[id] = e
		}
	}
}

// Evacuated returns the failure domains that get no new work, sorted.
func (s *Set) Evacuated() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// Versions returns the software versions of all servers by service, sorted, whether or not these may be
// sent new work.
func (s *Set) Versions() map[string][]string {
	versions := map[string][]string{}
	for _, e := range s.servers {
		if list := versions[e.server.Service]; !slices.Contains(list, e.server.Version) {
			versions[e.server.Service] = append(list, e.server.Version)
		}
	}
	for _, list := range versions {
		slices.Sort(list)
	}
	return versions
}

// List returns the servers that may be sent new work, by service.
func (s *Set) List() map[string][]site.Server {
	list := map[string][]site.Server{}
	for _, e := range s.servers {
		if e.server.State == site.ServerReady && !s.evacuated[e.server.Domain] {
			list[e.server.Service] = append(list[e.server.Service], e.server)
		}
	}
	return list
}
