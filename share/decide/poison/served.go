package poison

// maxServed bounds the requests that each half of a Served holds.
const maxServed = 2048

// Served holds the requests that were served last; its caller guards it. What was
// served does not crash servers: requests without a body are many and the same.
type Served struct {
	// recent takes requests until it is full, and becomes old then.
	recent, old map[ID]bool
}

// NewServed returns an empty one.
func NewServed() *Served { return &Served{recent: map[ID]bool{}, old: map[ID]bool{}} }

// Add notes a request that was served.
func (s *Served) Add(id ID) {
	if len(s.recent) >= maxServed {
		s.recent, s.old = map[ID]bool{}, s.recent
	}
	s.recent[id] = true
}

// Has tells whether a request was among the last that were served.
func (s *Served) Has(id ID) bool { return s.recent[id] || s.old[id] }
