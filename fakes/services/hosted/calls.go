package hosted

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

func (s *Store) serve(p *port, w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	s.setEra(w)
	s.lock.Unlock()
	if !s.checkFault(p, w, r) {
		return
	}
	path := r.URL.Path
	switch {
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(p, w, r)
	case path == "/api/kv-txn":
		s.serveWrite(w, r)
	case path == "/api/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveLease(w, strings.TrimPrefix(path, "/api/kv-keep/"), false)
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.serveLease(w, strings.TrimPrefix(path, "/api/kv-lease-end/"), true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// checkFault applies the fault of the address to the request and reports whether the request is to
// be served.
func (s *Store) checkFault(p *port, w http.ResponseWriter, r *http.Request) bool {
	s.lock.Lock()
	fault := p.fault
	s.lock.Unlock()
	switch fault {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case StoreReset:
		cut(w)
	case StoreSilent:
		<-r.Context().Done()
	default:
		return true
	}
	return false
}

// serveRange lists a page of the items under a prefix.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	after := r.URL.Query().Get("After")
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("Prefix")) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	s.setEra(w)
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": more, "At": s.revision})
}

// pageItems is the maximum number of items of a page of a listing. It is small so that listings in
// tests have several pages.
const pageItems = 10

// serveWatch returns the events under a prefix after a revision, and waits for one if there is none
// yet.
func (s *Store) serveWatch(p *port, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, failed := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || failed != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.lock.Lock()
	defer s.lock.Unlock()
	silences := s.silences
	for {
		if s.silences != silences {
			s.lock.Unlock()
			<-r.Context().Done()
			s.lock.Lock()
			return
		}
		// An address with a fault also resets the watches that are already waiting.
		if p.fault != NoStoreFault {
			cut(w)
			return
		}
		s.setEra(w) // it may have risen while the watch waited
		if after < s.compacted || after > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("Prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || time.Now().After(deadline) || s.closed || r.Context().Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": s.revision})
			return
		}
		s.changed.Wait()
	}
}

// serveWrite writes and removes items if each of them has the expected revision. It changes none if the lease
// of one does not exist.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	body := struct {
		ExpectedRevision []item
		SetKeys          []item
		Remove           []string
	}{}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.setEra(w)
	for _, i := range body.ExpectedRevision {
		if s.items[i.Key].Revision != i.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range body.SetKeys {
		if _, live := s.leases[i.Lease]; i.Lease != 0 && !live {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range body.SetKeys {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	body := struct{ TtlMs int64 }{} //nolint:revive // the field name of the platform
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.setEra(w)
	s.lastLease++
	s.ttls[s.lastLease] = time.Duration(body.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = time.Now().Add(s.ttls[s.lastLease])
	reply(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": body.TtlMs})
}

// serveLease renews a lease, or ends it if end is set.
func (s *Store) serveLease(w http.ResponseWriter, id string, end bool) {
	lease, err := strconv.ParseUint(id, 10, 64)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.setEra(w)
	if _, live := s.leases[lease]; err != nil || !live {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		s.endLease(lease)
	} else {
		s.leases[lease] = time.Now().Add(s.ttls[lease])
	}
	reply(w, http.StatusOK, map[string]any{"TtlMs": s.ttls[lease].Milliseconds()})
}
