package tally

import (
	"hash/maphash"
	"sync"

	"verbenaroad.example/vload/models/scene"
)

// place is a class in a phase.
type place struct {
	phase int
	class int
}

// Book counts the samples of one run.
type Book struct {
	scenario *scene.Scenario
	seed     maphash.Seed

	mutex sync.Mutex
	// cells and ids are guarded by mutex; ids holds hashes of the request ids seen.
	cells map[place]*cell
	ids   map[uint64]struct{}
}

// NewBook returns an empty book for runs of s.
func NewBook(s *scene.Scenario) *Book {
	return &Book{
		scenario: s,
		seed:     maphash.MakeSeed(),
		cells:    make(map[place]*cell),
		ids:      make(map[uint64]struct{}),
	}
}

// Add counts one sample; samples of warm-up phases only leave their request id.
func (b *Book) Add(s *Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	duplicate := b.noteID(s.RequestID)
	if b.scenario.Phases[s.Phase].WarmUp {
		return
	}
	at := place{s.Phase, s.Class}
	c := b.cells[at]
	if c == nil {
		c = newCell()
		b.cells[at] = c
	}
	c.add(s, duplicate)
}

// noteID keeps the id and says whether it was seen before.
func (b *Book) noteID(id string) bool {
	if id == "" {
		return false
	}
	sum := maphash.String(b.seed, id)
	_, seen := b.ids[sum]
	b.ids[sum] = struct{}{}
	return seen
}
