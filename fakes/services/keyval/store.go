// Package keyval is a stand-in for the platform's key-value service. It implements in memory the
// subset of Consul's HTTP API that the system uses.
package keyval

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"
)

// pair is a key and its value as Consul's API returns them; the field names are part of that
// format.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// waiter is one blocking query in flight.
type waiter struct {
	key    string
	prefix bool
	woken  chan struct{}
}

// Store holds the keys and sessions.
type Store struct {
	mutex sync.Mutex
	// index is the index of the last change; it increases with every change.
	index uint64
	pairs map[string]*pair
	// deleted maps each key that was deleted and does not exist to the index of its last deletion.
	deleted  map[string]uint64
	waiters  map[*waiter]struct{}
	sessions map[string]*session
	// lockDelayEnd maps a key whose holder's session ended to the time until which it may not be
	// acquired.
	lockDelayEnd map[string]time.Time
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		index:        1,
		pairs:        map[string]*pair{},
		deleted:      map[string]uint64{},
		waiters:      map[*waiter]struct{}{},
		sessions:     map[string]*session{},
		lockDelayEnd: map[string]time.Time{},
	}
}

// find returns copies of the pairs of a key or prefix, sorted by key, and the index of their last
// change, deletions included.
func (s *Store) find(key string, prefix bool) ([]pair, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.findLocked(key, prefix)
}

func (s *Store) findLocked(key string, prefix bool) ([]pair, uint64) {
	if !prefix {
		p := s.pairs[key]
		if p == nil {
			return nil, max(s.deleted[key], 1)
		}
		return []pair{*p}, p.ModifyIndex
	}
	var found []pair
	index := uint64(1)
	for name, p := range s.pairs {
		if strings.HasPrefix(name, key) {
			found = append(found, *p)
			index = max(index, p.ModifyIndex)
		}
	}
	for name, at := range s.deleted {
		if strings.HasPrefix(name, key) {
			index = max(index, at)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, index
}

// watch registers a waiter for the next change of the key or prefix. It returns nil if the current
// index is already greater than the given one.
func (s *Store) watch(key string, prefix bool, index uint64) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, at := s.findLocked(key, prefix); at > index {
		return nil
	}
	w := &waiter{key: key, prefix: prefix, woken: make(chan struct{}, 1)}
	s.waiters[w] = struct{}{}
	return w
}

func (s *Store) unwatch(w *waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiters, w)
}

func (s *Store) wakeLocked(key string) {
	for w := range s.waiters {
		if w.key == key || w.prefix && strings.HasPrefix(key, w.key) {
			select {
			case w.woken <- struct{}{}:
			default:
			}
		}
	}
}

// put writes the value if cas is nil or equals the key's index; the index of an absent key is 0.
func (s *Store) put(key string, value []byte, flags uint64, cas *uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cas != nil && s.indexLocked(key) != *cas {
		return false
	}
	old := s.pairs[key]
	if old != nil && bytes.Equal(old.Value, value) && old.Flags == flags {
		// As in Consul, a write that changes nothing succeeds and leaves the index unchanged.
		return true
	}
	p := s.touchLocked(key)
	p.Value = value
	p.Flags = flags
	return true
}

// remove deletes the key if cas is nil or equals its index.
func (s *Store) remove(key string, cas *uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cas != nil && s.indexLocked(key) != *cas {
		return false
	}
	s.removeLocked(key)
	return true
}

func (s *Store) removePrefix(prefix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			s.removeLocked(key)
		}
	}
}

func (s *Store) removeLocked(key string) {
	if s.pairs[key] == nil {
		return
	}
	s.index++
	delete(s.pairs, key)
	s.deleted[key] = s.index
	s.wakeLocked(key)
}

func (s *Store) indexLocked(key string) uint64 {
	if p := s.pairs[key]; p != nil {
		return p.ModifyIndex
	}
	return 0
}

// touchLocked gives the key's pair a new index, wakes its waiters and returns it. It creates the
// pair if the key does not exist.
func (s *Store) touchLocked(key string) *pair {
	s.index++
	p := s.pairs[key]
	if p == nil {
		p = &pair{Key: key, CreateIndex: s.index}
		s.pairs[key] = p
		delete(s.deleted, key)
	}
	p.ModifyIndex = s.index
	s.wakeLocked(key)
	return p
}
