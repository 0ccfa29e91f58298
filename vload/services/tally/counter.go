package tally

import (
	"hash/maphash"
	"sync"

	"verbenaroad.example/vload/models/scene"
)

// cellKey identifies the requests of one class in one phase.
type cellKey struct {
	phase int
	class int
}

// promptKey identifies one of the prompts that a class repeats.
type promptKey struct {
	class  int
	number uint64
}

// Counter counts the samples of one run. Its methods are safe for concurrent use.
type Counter struct {
	scenario *scene.Scenario
	seed     maphash.Seed

	mutex sync.Mutex
	// cells, idHashes and firstDigests are guarded by mutex. idHashes holds the hashes of the
	// request ids seen, firstDigests the digest of the first answer to each repeated prompt.
	cells        map[cellKey]*cell
	idHashes     map[uint64]struct{}
	firstDigests map[promptKey]uint64
}

// NewCounter returns an empty counter for a run of s.
func NewCounter(s *scene.Scenario) *Counter {
	return &Counter{
		scenario:     s,
		seed:         maphash.MakeSeed(),
		cells:        make(map[cellKey]*cell),
		idHashes:     make(map[uint64]struct{}),
		firstDigests: make(map[promptKey]uint64),
	}
}

// Add counts one sample. Samples of warm-up phases are not counted; only their request ids and text
// digests are recorded for comparison with later samples.
func (t *Counter) Add(s *Sample) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	duplicate := t.recordID(s.RequestID)
	differs := t.recordDigest(s)
	if t.scenario.Phases[s.Phase].WarmUp {
		return
	}
	key := cellKey{s.Phase, s.Class}
	c := t.cells[key]
	if c == nil {
		c = newCell()
		t.cells[key] = c
	}
	c.add(s, duplicate, differs)
}

// recordDigest records the digest of the first answer to a repeated prompt and reports whether the
// sample's digest differs from it.
func (t *Counter) recordDigest(s *Sample) bool {
	if s.TextDigest == 0 || s.Ending != EndingComplete {
		return false
	}
	key := promptKey{s.Class, s.PromptID}
	first, seen := t.firstDigests[key]
	if !seen {
		t.firstDigests[key] = s.TextDigest
	}
	return seen && first != s.TextDigest
}

// recordID records the request id and reports whether it was seen before.
func (t *Counter) recordID(id string) bool {
	if id == "" {
		return false
	}
	sum := maphash.String(t.seed, id)
	_, seen := t.idHashes[sum]
	t.idHashes[sum] = struct{}{}
	return seen
}
