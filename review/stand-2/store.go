package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is an item of the platform's store.
type record struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in for the platform's store. It keeps its whole history and is always sound.
type store struct {
	server *listener
	log    func(format string, args ...any)

	lock      sync.Mutex
	changed   chan struct{}
	revision  uint64
	items     map[string]record
	history   []record
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	lastLease uint64
	// late is how much later writes are done, without an answer; 0: at once, with an answer.
	late time.Duration
}

// storeEra is the era that the store states; it was never restored since.
const storeEra = "1"

func newStore() (*store, error) {
	s := &store{
		changed: make(chan struct{}), revision: 1, items: map[string]record{},
		leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
	}
	server, err := listen(s)
	if err != nil {
		return nil, err
	}
	s.server = server
	go s.loop()
	return s, nil
}

// loop ends expired leases.
func (s *store) loop() {
	for range time.Tick(50 * time.Millisecond) {
		s.lock.Lock()
		for lease, at := range s.leases {
			if time.Now().After(at) {
				s.endLease(lease)
			}
		}
		s.lock.Unlock()
	}
}

// put writes a record as the operator, a server or another writer does, and returns its revision.
func (s *store) put(key string, value any) uint64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.write(key, encoded, 0)
	return s.revision
}

func (s *store) remove(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.drop(key)
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	r := record{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, known := s.items[key]; known {
		r.Created = old.Created
	}
	s.items[key] = r
	s.history = append(s.history, r)
	s.wake()
}

func (s *store) drop(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, record{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(lease uint64) {
	delete(s.leases, lease)
	for key, r := range s.items {
		if r.Lease == lease {
			s.drop(key)
		}
	}
}

// keys returns the keys that begin with a prefix, sorted.
func (s *store) keys(prefix string) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// ServeHTTP implements the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", storeEra)
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.serveKey(w, r)
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
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

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	item, known := s.items[r.URL.Query().Get("Key")]
	s.lock.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, item)
}

// pageItems is the largest number of items of a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.lock.Lock()
	list := []record{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("After") {
			list = append(list, item)
		}
	}
	at := s.revision
	s.lock.Unlock()
	slices.SortFunc(list, func(a, b record) int { return strings.Compare(a.Key, b.Key) })
	page := list[:min(len(list), pageItems)]
	reply(w, http.StatusOK, map[string]any{"Items": page, "HasMore": len(list) > len(page), "At": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, failed := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || failed != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.since(after, query.Get("Prefix"))
		if at < after {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(after uint64, prefix string) (events []record, at uint64, changed chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	events = []record{}
	for _, r := range s.history {
		if r.Revision > after && strings.HasPrefix(r.Key, prefix) {
			events = append(events, r)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	body := change{}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	late := s.late
	s.lock.Unlock()
	if late > 0 {
		s.log("store: a write of %s is not answered, and done in %v", describe(body), late)
		time.AfterFunc(late, func() {
			status, _ := s.commit(body)
			s.log("store: the write of %s is done: %d", describe(body), status)
		})
		<-r.Context().Done()
		return
	}
	status, answer := s.commit(body)
	reply(w, status, answer)
}

// change is the body of a write.
type change struct {
	ExpectedRevision []record
	SetKeys          []record
	Remove           []string
}

func describe(c change) string {
	words := []string{}
	for _, e := range c.SetKeys {
		words = append(words, e.Key+" = "+string(e.Value))
	}
	return strings.Join(append(words, c.Remove...), ", ")
}

// setLate has the store answer no further write, and do it later by the given time; 0 ends that.
func (s *store) setLate(late time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.late = late
}

// commit makes a change as a whole, if its conditions hold.
func (s *store) commit(c change) (status int, answer any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range c.ExpectedRevision {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"Items": []record{s.items[e.Key]}}
		}
	}
	for _, e := range c.SetKeys {
		if _, live := s.leases[e.Lease]; e.Lease != 0 && !live {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	for _, e := range c.SetKeys {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range c.Remove {
		s.drop(key)
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	body := struct{ TtlMs int64 }{}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lastLease++
	s.ttls[s.lastLease] = time.Duration(body.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = time.Now().Add(s.ttls[s.lastLease])
	reply(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": body.TtlMs})
}

func (s *store) serveLease(w http.ResponseWriter, id string, end bool) {
	lease, err := strconv.ParseUint(id, 10, 64)
	s.lock.Lock()
	defer s.lock.Unlock()
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
