// Package hosted has stand-ins for the users' platform: its store, and backend servers that
// register there. Each can be switched to faults, and the servers record the runs of requests for
// checks in tests.
package hosted

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// StoreFault selects how one address of the store fails.
type StoreFault string

// The faults of an address of the store.
const (
	// NoStoreFault serves requests normally.
	NoStoreFault StoreFault = ""
	// StoreBusy answers 503.
	StoreBusy StoreFault = "busy"
	// StoreReset resets the connection of each request.
	StoreReset StoreFault = "reset"
	// StoreSilent accepts requests and never answers.
	StoreSilent StoreFault = "silent"
)

type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// Store is the platform's key-value store. It listens on several addresses, so that it can fail for
// some callers while it serves others.
type Store struct {
	lock    sync.Mutex
	changed *sync.Cond
	// era rises by one with each Restore; 0: answers state none.
	era      uint64
	revision uint64
	items    map[string]item
	history  []item
	// compacted is the revision up to which history was dropped.
	compacted uint64
	// leases has the expiry of each lease, ttls the duration that a renewal extends it by.
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	lastLease uint64
	ports     []*port
	closed    bool
	// silences is the number of calls of SilenceWatches.
	silences int
}

// port is one address of the store.
type port struct {
	server *httpServer
	fault  StoreFault
}

// NewStore starts a store that listens on n loopback addresses.
func NewStore(n int) (*Store, error) {
	s := &Store{
		revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
	}
	s.changed = sync.NewCond(&s.lock)
	for range n {
		p := &port{}
		server, err := listenHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(p, w, r) }))
		if err != nil {
			return nil, err
		}
		p.server = server
		s.ports = append(s.ports, p)
	}
	go s.loop()
	return s, nil
}

// Address returns the i-th address.
func (s *Store) Address(i int) netip.AddrPort { return s.ports[i].server.address }

// SetFault sets how the i-th address fails. Open watches there end.
func (s *Store) SetFault(i int, fault StoreFault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ports[i].fault = fault
	s.changed.Broadcast()
}

// SilenceWatches makes the open watches go silent for good, while new calls are answered.
func (s *Store) SilenceWatches() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silences++
	s.changed.Broadcast()
}

// Compact drops the history, so that a watch from an older revision fails with 410.
func (s *Store) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.changed.Broadcast()
}

// Close stops the store and ends its watches.
func (s *Store) Close() {
	s.lock.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.lock.Unlock()
	for _, p := range s.ports {
		p.server.close()
	}
}

// Put writes a record as JSON, as an operator or a backend server does.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // only this package and tests pass values, and all of them can be encoded
	}
	s.PutRaw(key, encoded)
}

// PutRaw writes a record with arbitrary bytes.
func (s *Store) PutRaw(key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.put(key, value, 0)
}

// Remove deletes a record.
func (s *Store) Remove(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, lease uint64) {
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

func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

// loop ends expired leases and wakes the waiting watches, which then check whether their time is
// over.
func (s *Store) loop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.lock.Lock()
		if s.closed {
			s.lock.Unlock()
			return
		}
		now := time.Now()
		for lease, expiry := range s.leases {
			if now.After(expiry) {
				s.endLease(lease)
			}
		}
		s.changed.Broadcast()
		s.lock.Unlock()
	}
}

// endLease removes a lease and the records attached to it.
func (s *Store) endLease(lease uint64) {
	delete(s.leases, lease)
	keys := []string{}
	for key, i := range s.items {
		if i.Lease == lease {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.remove(key)
	}
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.items[key].Value
}

// Keys returns the keys that begin with prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
