package poison

import (
	"maps"
	"time"

	"verbenaroad.example/share/models/site"
)

// AnsweredTime is how long a prompt part is not suspected after a request with it was answered. A part that begins
// to crash servers later is not suspected before.
const AnsweredTime = 30 * time.Second

// AnsweredSet holds when requests with prompt parts were last answered, and by which software. It is not safe for
// concurrent use.
type AnsweredSet struct {
	// current receives parts until it is full or AnsweredTime old. It then replaces previous.
	current, previous map[ID]answered
	startedAt         time.Time
}

// answered is when a request with a part was answered last, and by which software.
type answered struct {
	at       time.Time
	software site.Software
}

// NewAnsweredSet returns an empty set.
func NewAnsweredSet() *AnsweredSet {
	return &AnsweredSet{current: map[ID]answered{}, previous: map[ID]answered{}}
}

// Add records that a request with a part was answered by some software at the given time.
func (s *AnsweredSet) Add(at time.Time, id ID, software site.Software) {
	if len(s.current) >= maxGeneration || at.Sub(s.startedAt) > AnsweredTime {
		s.current, s.previous, s.startedAt = map[ID]answered{}, s.current, at
	}
	if at.After(s.LastAt(id)) {
		s.current[id] = answered{at, software}
	}
}

// Forget forgets the parts with which a request was answered last by software that no server runs any more: it does
// not show what other software does with them.
func (s *AnsweredSet) Forget(isRun func(software site.Software) bool) {
	for _, generation := range []map[ID]answered{s.current, s.previous} {
		maps.DeleteFunc(generation, func(_ ID, a answered) bool { return !isRun(a.software) })
	}
}

// LastAt returns when a request with a part was last answered; zero if that is not known.
func (s *AnsweredSet) LastAt(id ID) time.Time {
	if a, known := s.current[id]; known {
		return a.at
	}
	return s.previous[id].at
}

// Has reports whether a request with a part was answered within the last AnsweredTime.
func (s *AnsweredSet) Has(now time.Time, id ID) bool {
	at := s.LastAt(id)
	return !at.IsZero() && now.Sub(at) < AnsweredTime
}

// Len returns the number of parts that are kept.
func (s *AnsweredSet) Len() int { return len(s.current) + len(s.previous) }
