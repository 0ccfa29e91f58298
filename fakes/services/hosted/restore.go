package hosted

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader is in every answer of the store, unless the era is 0. Its value rises by one each time the store is
// restored.
const eraHeader = "Store-Era"

// Backup is a copy of everything that a store holds.
type Backup struct {
	revision  uint64
	items     map[string]item
	ttls      map[uint64]time.Duration
	lastLease uint64
}

// Backup returns a copy of what the store holds now.
func (s *Store) Backup() Backup {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Backup{revision: s.revision, items: maps.Clone(s.items), ttls: maps.Clone(s.ttls), lastLease: s.lastLease}
}

// Restore replaces what the store holds by a backup. Revisions and leases that were given out since the
// backup are given out again. The leases in the backup run from now.
func (s *Store) Restore(b Backup) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.era++
	s.revision, s.items, s.lastLease = b.revision, maps.Clone(b.items), b.lastLease
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(i item) bool { return i.Revision > b.revision })
	s.compacted = min(s.compacted, b.revision)
	s.ttls, s.leases = maps.Clone(b.ttls), map[uint64]time.Time{}
	for lease, ttl := range b.ttls {
		s.leases[lease] = time.Now().Add(ttl)
	}
	s.changed.Broadcast()
}

// setEra adds the present era to the headers of an answer. The caller holds the lock.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	}
}

// WriteAgain writes the configuration again as of its last version, and the registrations of the servers
// that the store lacks or holds in an earlier state, as their writers do after the store was restored.
func (w *World) WriteAgain() {
	w.lock.Lock()
	config := w.config
	servers := slices.Clone(w.servers)
	w.lock.Unlock()
	if encoded, err := json.Marshal(config); err != nil || string(encoded) != string(w.Store.Value("op/config")) {
		w.Store.Put("op/config", config)
	}
	for _, s := range servers {
		s.registerAgain()
	}
}

// registerAgain writes the last registration of the server again if the store holds another one, or removes
// it if the server has left.
func (s *Server) registerAgain() {
	s.lock.Lock()
	state := s.state
	s.lock.Unlock()
	if state == stateLeft {
		s.store.Remove("servers/" + s.ID)
		return
	}
	held := struct {
		State string
		Born  int64 `json:"born"`
	}{}
	err := json.Unmarshal(s.store.Value("servers/"+s.ID), &held)
	s.lock.Lock()
	isCurrent := err == nil && held.State == state && held.Born == s.born()
	s.lock.Unlock()
	if !isCurrent {
		s.Register(state)
	}
}

// stateLeft is the state of a server that has removed its registration.
const stateLeft = "left"

// Leave removes the server's registration from the store. The server keeps serving.
func (s *Server) Leave() {
	s.lock.Lock()
	s.state = stateLeft
	s.lock.Unlock()
	s.store.Remove("servers/" + s.ID)
}
