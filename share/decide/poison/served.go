package poison

// maxGeneration limits the requests in each of the two generations of a ServedSet.
const maxGeneration = 2048

// ServedSet holds the requests that were served most recently. It is not safe for concurrent
// use.
//
// A request that was served does not crash servers. This matters most for requests without a
// body: many of them are identical and share an ID.
type ServedSet struct {
	// current receives requests until it is full. It then replaces previous.
	current, previous map[ID]bool
}

// NewServedSet returns an empty set.
func NewServedSet() *ServedSet { return &ServedSet{current: map[ID]bool{}, previous: map[ID]bool{}} }

// Add records a request that was served.
func (s *ServedSet) Add(id ID) {
	if len(s.current) >= maxGeneration {
		s.current, s.previous = map[ID]bool{}, s.current
	}
	s.current[id] = true
}

// Has reports whether a request is among the most recently served ones.
func (s *ServedSet) Has(id ID) bool { return s.current[id] || s.previous[id] }
