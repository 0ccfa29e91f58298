package keyval

import (
	"crypto/rand"
	"time"
)

// behaviorDelete deletes the keys that a session holds when it ends; any other behavior releases
// them.
const behaviorDelete = "delete"

// session is a lease: it expires unless it is renewed within its TTL.
type session struct {
	store *Store
	id    string
	name  string
	// ttl is 0 for a session that never expires.
	ttl       time.Duration
	lockDelay time.Duration
	behavior  string
	expiry    *time.Timer
	// deadline lets expire ignore a timer that fired while the session was being renewed.
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

// renewSession extends the session by its TTL and returns a copy of it, or nil if it does not
// exist.
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

// expire runs when the timer fires. It ends the session unless it was renewed or destroyed
// meanwhile.
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
			s.lockDelayEnd[key] = time.Now().Add(ended.lockDelay)
		}
		if ended.behavior == behaviorDelete {
			s.removeLocked(key)
			continue
		}
		s.touchLocked(key).Session = ""
	}
}

// acquire writes the value and locks the key for the session, unless another session holds it or
// its lock delay has not passed. sessionExists is false if there is no such session.
func (s *Store) acquire(key string, value []byte, id string) (acquired, sessionExists bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sessions[id] == nil {
		return false, false
	}
	if time.Now().Before(s.lockDelayEnd[key]) {
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

// release writes the value and unlocks the key if the session holds it.
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
