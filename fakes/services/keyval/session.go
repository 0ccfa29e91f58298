package keyval

import (
	"crypto/rand"
	"time"
)

// behaviorDelete deletes the keys of a session that ends; any other behavior frees them.
const behaviorDelete = "delete"

// session is a lease: it ends unless it is renewed within its TTL.
type session struct {
	store *Store
	id    string
	name  string
	// ttl is 0 for a session that never expires.
	ttl       time.Duration
	lockDelay time.Duration
	behavior  string
	expiry    *time.Timer
	// deadline guards against an expiry that was under way when the session was renewed.
	deadline time.Time
}

func (s *Store) createSession(settings session) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	created := &settings
	created.store = s
	created.id = rand.Text()
	s.sessions[created.id] = created
	if created.ttl > 0 {
		created.deadline = time.Now().Add(created.ttl)
		created.expiry = time.AfterFunc(created.ttl, created.expire)
	}
	return created.id
}

// renewSession returns a copy of the session, or nil when it is gone.
func (s *Store) renewSession(id string) *session {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.sessions[id]
	if found == nil {
		return nil
	}
	if found.ttl > 0 {
		found.deadline = time.Now().Add(found.ttl)
		found.expiry.Reset(found.ttl)
	}
	renewed := *found
	return &renewed
}

func (s *Store) destroySession(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.sessions[id]
	if found == nil {
		return
	}
	if found.expiry != nil {
		found.expiry.Stop()
	}
	s.endSessionLocked(found)
}

// expire ends the session as its timer says, unless it was renewed meanwhile.
func (e *session) expire() {
	e.store.mutex.Lock()
	defer e.store.mutex.Unlock()
	if e.store.sessions[e.id] != e || time.Now().Before(e.deadline) {
		return
	}
	e.store.endSessionLocked(e)
}

func (s *Store) endSessionLocked(ended *session) {
	delete(s.sessions, ended.id)
	for key, p := range s.pairs {
		if p.Session != ended.id {
			continue
		}
		if ended.lockDelay > 0 {
			s.delayed[key] = time.Now().Add(ended.lockDelay)
		}
		if ended.behavior == behaviorDelete {
			s.removeLocked(key)
			continue
		}
		s.touchLocked(key).Session = ""
	}
}

// acquire writes the value and takes the key; known is false when there is no such session.
func (s *Store) acquire(key string, value []byte, id string) (taken, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sessions[id] == nil {
		return false, false
	}
	if time.Now().Before(s.delayed[key]) {
		return false, true
	}
	if p := s.pairs[key]; p != nil && p.Session != "" && p.Session != id {
		return false, true
	}
	p := s.touchLocked(key)
	if p.Session == "" {
		p.LockIndex++
	}
	p.Session = id
	p.Value = value
	return true, true
}

// release writes the value and frees the key if the session holds it.
func (s *Store) release(key string, value []byte, id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p := s.pairs[key]; p == nil || p.Session != id {
		return false
	}
	p := s.touchLocked(key)
	p.Session = ""
	p.Value = value
	return true
}
