package poison

import (
	"slices"
	"time"
)

const (
	// maxGeneration limits the requests in each of the two generations of a ServedSet, and the parts in those of an
	// AnsweredSet.
	maxGeneration = 2048
	// ServedTime is how long a request is not suspected of crashes of the software version that served it last,
	// servedLately how long it is not suspected of any.
	ServedTime   = time.Minute
	servedLately = 5 * time.Second
)

// ServedSet holds the requests that were served most recently, each with the software version that served it last. It
// is not safe for concurrent use.
//
// A request that was served does not crash servers of that version, at that time. This matters most for requests
// without a body: many of them are identical and share an ID.
type ServedSet struct {
	// current receives requests until it is full. It then replaces previous.
	current, previous map[ID]service
}

// service is when a request was served last, and by which software version.
type service struct {
	at      time.Time
	version string
}

// NewServedSet returns an empty set.
func NewServedSet() *ServedSet {
	return &ServedSet{current: map[ID]service{}, previous: map[ID]service{}}
}

// Add records a request that was served at the given time.
func (s *ServedSet) Add(at time.Time, id ID, version string) {
	if len(s.current) >= maxGeneration {
		s.current, s.previous = map[ID]service{}, s.current
	}
	s.current[id] = service{at, version}
}

// IsTrusted reports whether a request is not suspected of a crash of a software version: it was served within
// servedLately, or by that version within ServedTime.
func (s *ServedSet) IsTrusted(now time.Time, id ID, version string) bool {
	last, isKnown := s.find(id)
	return isKnown && now.Sub(last.at) <= servedLately || s.Has(now, id, version)
}

// Has reports whether a request was served last by one of the versions, within the last ServedTime.
func (s *ServedSet) Has(now time.Time, id ID, versions ...string) bool {
	last, isKnown := s.find(id)
	return isKnown && now.Sub(last.at) <= ServedTime && slices.Contains(versions, last.version)
}

func (s *ServedSet) find(id ID) (service, bool) {
	if last, isKnown := s.current[id]; isKnown {
		return last, true
	}
	last, isKnown := s.previous[id]
	return last, isKnown
}
