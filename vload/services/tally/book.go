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

// prompt is one of a class's repeated prompts.
type prompt struct {
	class  int
	number uint64
}

// Book counts the samples of one run.
type Book struct {
	scenario *scene.Scenario
	seed     maphash.Seed

	mutex sync.Mutex
	// cells, ids and texts are guarded by mutex; ids holds hashes of the request ids seen,
	// texts the digest of the first answer to each repeated prompt.
	cells map[place]*cell
	ids   map[uint64]struct{}
	texts map[prompt]uint64
}

// NewBook returns an empty book for runs of s.
func NewBook(s *scene.Scenario) *Book {
	return &Book{
		scenario: s,
		seed:     maphash.MakeSeed(),
		cells:    make(map[place]*cell),
		ids:      make(map[uint64]struct{}),
		texts:    make(map[prompt]uint64),
	}
}

// Add counts one sample; samples of warm-up phases only leave their request id.
func (b *Book) Add(s *Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	duplicate := b.noteID(s.RequestID)
	differs := b.noteText(s)
	if b.scenario.Phases[s.Phase].WarmUp {
		return
	}
	at := place{s.Phase, s.Class}
	c := b.cells[at]
	if c == nil {
		c = newCell()
		b.cells[at] = c
	}
	c.add(s, duplicate, differs)
}

// noteText keeps the first text of a repeated prompt and says whether a later one differs from it.
func (b *Book) noteText(s *Sample) bool {
	if s.Text == 0 || s.Ending != EndingWhole {
		return false
	}
	at := prompt{s.Class, s.Prompt}
	first, seen := b.texts[at]
	if !seen {
		b.texts[at] = s.Text
	}
	return seen && first != s.Text
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
