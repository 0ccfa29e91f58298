package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one record of the store, as it is written on the wire.
type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It answers every
// call correctly; only the links to it fail (see relay).
type store struct {
	lock      sync.Mutex
	changed   *sync.Cond
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	lastLease uint64
	address   string
	// silent is set while the store answers nothing: calls that begin or wait then are never answered.
	silent bool
	// isLate, if set, reports whether the answer to a write is lost, and the write is done lateBy later.
	isLate func(keys []string) bool
	lateBy time.Duration
	// onLate is called when such a write is done.
	onLate func(status int)
}

// storeDelay is how long an answer of the store takes.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}}
	s.changed = sync.NewCond(&s.lock)
	listener := listen()
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	go s.loop()
	return s
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no port: %v", err)
	}
	return listener
}

// loop ends expired leases and wakes the waiting watches.
func (s *store) loop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.lock.Lock()
		for lease, expiry := range s.leases {
			if time.Now().After(expiry) {
				s.endLease(lease)
			}
		}
		s.changed.Broadcast()
		s.lock.Unlock()
	}
}

func (s *store) endLease(lease uint64) {
	delete(s.leases, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.remove(key)
		}
	}
}

// setSilent begins or ends an outage.
func (s *store) setSilent(silent bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent = silent
	s.changed.Broadcast()
}

func (s *store) isSilent() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.silent
}

// awaitUp waits until there is no outage.
func (s *store) awaitUp() {
	for s.isSilent() {
		time.Sleep(100 * time.Millisecond)
	}
}

// put writes a record as the operator and the replicas do. When it returns, the store has acknowledged it.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		fail("record: %v", err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.set(key, encoded, 0)
}

func (s *store) set(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.changed.Broadcast()
}

func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

// ServeHTTP serves the calls of the ingresses.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
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

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	i, known := s.items[r.URL.Query().Get("Key")]
	if !known {
		reply(w, http.StatusNotFound, map[string]any{"At": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64
	}{i, s.revision})
}

// pageItems is the most items of one page of a listing.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": len(keys) > pageItems, "At": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, failed := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || failed != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		if s.silent {
			s.lock.Unlock()
			<-r.Context().Done()
			s.lock.Lock()
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || time.Now().After(deadline) {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": s.revision})
			return
		}
		if r.Context().Err() != nil {
			return
		}
		s.changed.Wait()
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	body := transaction{}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.isLate != nil && s.isLate(listKeys(body)) {
		go func() {
			time.Sleep(s.lateBy)
			status, _ := s.write(body)
			s.onLate(status)
		}()
		<-r.Context().Done() // a connection on which an answer is lost returns nothing further
		return
	}
	status, answer := s.write(body)
	reply(w, status, answer)
}

// transaction is the body of a write.
type transaction struct {
	ExpectedRevision []item
	SetKeys          []item
	Remove           []string
}

func listKeys(t transaction) []string {
	keys := append([]string{}, t.Remove...)
	for _, i := range t.SetKeys {
		keys = append(keys, i.Key)
	}
	return keys
}

// write does all of a transaction, or nothing.
func (s *store) write(t transaction) (status int, answer any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, i := range t.ExpectedRevision {
		if s.items[i.Key].Revision != i.Revision {
			return http.StatusPreconditionFailed, map[string]any{"Items": []item{s.items[i.Key]}}
		}
	}
	for _, i := range t.SetKeys {
		if _, live := s.leases[i.Lease]; i.Lease != 0 && !live {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	for _, i := range t.SetKeys {
		s.set(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
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
