// Package alive decides which registered backend servers may be sent new work.
//
// A backend server's registration lapses also while the store is away, though
// the server is well. Taking every lapse at its word would leave nobody to
// serve when the store comes back, so what lapsed around an outage is kept
// until the servers have had time to register again.
package alive

import (
	"time"

	"verbenaroad.example/share/models/site"
)

// ReturnTime is how long after the store's return a live server is back in it:
// the platform promises about two seconds; a quarter more for the watch's own delay.
const ReturnTime = 2500 * time.Millisecond

// minOutage is the shortest loss of the store that is taken for an outage in
// which registrations may lapse; a single lost call is shorter.
const minOutage = time.Second

// Set holds the registered servers; its caller guards it.
type Set struct {
	servers map[string]entry
	// lostAt is when the store was lost, zero while it is reached.
	lostAt time.Time
	// keepUntil is the end of the span in which lapsed servers are kept.
	keepUntil time.Time
}

type entry struct {
	server site.Server
	// lapsed servers are missing in the store and kept for now.
	lapsed bool
}

// NewSet returns a set without servers.
func NewSet() *Set {
	return &Set{servers: map[string]entry{}}
}

// Put notes a registration.
func (s *Set) Put(server site.Server) {
	s.servers[server.ID] = entry{server: server}
}

// Remove notes that a registration ended at time now. It returns true where the server is kept for now.
func (s *Set) Remove(id string, now time.Time) (kept bool) {
	e, known := s.servers[id]
	if !known {
		return false
	}
	// A server that said that it leaves is not expected back.
	if e.server.State == site.ServerReady && s.isUnsure(now) {
		e.lapsed = true
		s.servers[id] = e
		return true
	}
	delete(s.servers, id)
	return false
}

func (s *Set) isUnsure(now time.Time) bool {
	return !s.lostAt.IsZero() && now.Sub(s.lostAt) >= minOutage || now.Before(s.keepUntil)
}

// LoseStore notes that the store stopped answering.
func (s *Set) LoseStore(now time.Time) {
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// RegainStore notes that the store answers.
func (s *Set) RegainStore(now time.Time) {
	if s.lostAt.IsZero() {
		return
	}
	if now.Sub(s.lostAt) >= minOutage {
		s.keepUntil = now.Add(ReturnTime)
	}
	s.lostAt = time.Time{}
}

// Expire drops the lapsed servers whose time to come back is over and returns their IDs.
func (s *Set) Expire(now time.Time) (dropped []string) {
	if s.isUnsure(now) {
		return nil
	}
	for id, e := range s.servers {
		if e.lapsed {
			delete(s.servers, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// List returns the servers that take new work, by service.
func (s *Set) List() map[string][]site.Server {
	list := map[string][]site.Server{}
	for _, e := range s.servers {
		if e.server.State == site.ServerReady {
			list[e.server.Service] = append(list[e.server.Service], e.server)
		}
	}
	return list
}
