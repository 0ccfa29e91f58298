package poison

import "time"

// AnsweredTime is how long a prompt part is not suspected after a request with it was answered. A part that begins
// to crash servers later is not suspected before.
const AnsweredTime = 30 * time.Second

// AnsweredSet holds when requests with prompt parts were last answered. It is not safe for concurrent use.
type AnsweredSet struct {
	// current receives parts until it is full or AnsweredTime old. It then replaces previous.
	current, previous map[ID]time.Time
	startedAt         time.Time
}

// NewAnsweredSet returns an empty set.
func NewAnsweredSet() *AnsweredSet {
	return &AnsweredSet{current: map[ID]time.Time{}, previous: map[ID]time.Time{}}
}

// Add records that a request with a part was answered at the given time.
func (s *AnsweredSet) Add(at time.Time, id ID) {
	if len(s.current) >= maxGeneration || at.Sub(s.startedAt) > AnsweredTime {
		s.current, s.previous, s.startedAt = map[ID]time.Time{}, s.current, at
	}
	if at.After(s.LastAt(id)) {
		s.current[id] = at
	}
}

// LastAt returns when a request with a part was last answered; zero if that is not known.
func (s *AnsweredSet) LastAt(id ID) time.Time {
	if at, known := s.current[id]; known {
		return at
	}
	return s.previous[id]
}

// Has reports whether a request with a part was answered within the last AnsweredTime.
func (s *AnsweredSet) Has(now time.Time, id ID) bool {
	at := s.LastAt(id)
	return !at.IsZero() && now.Sub(at) < AnsweredTime
}

// Len returns the number of parts that are kept.
func (s *AnsweredSet) Len() int { return len(s.current) + len(s.previous) }
