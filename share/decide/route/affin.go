package route

import "time"

// hitSmoothing is the weight of one report in an agent's hit rate.
const hitSmoothing = 0.2

// Prefix is a leading part of a prompt.
type Prefix struct {
	Digest uint64
	Tokens int
}

// affinity remembers which agent last computed a prefix.
type affinity struct {
	entries map[uint64]affine
	// ring holds the digests in the order of arrival, so that the oldest makes room.
	ring []uint64
	next int
}

type affine struct {
	name   string
	tokens int
	at     time.Time
}

func newAffinity(limit int) *affinity {
	return &affinity{entries: make(map[uint64]affine), ring: make([]uint64, 0, max(limit, 0))}
}

// learn notes that the agent has the prefixes from now on.
func (t *affinity) learn(now time.Time, name string, prefixes []Prefix) {
	for _, p := range prefixes {
		if _, ok := t.entries[p.Digest]; !ok && !t.makeRoom(p.Digest) {
			return
		}
		t.entries[p.Digest] = affine{name: name, tokens: p.Tokens, at: now}
	}
}

func (t *affinity) makeRoom(digest uint64) bool {
	if cap(t.ring) == 0 {
		return false
	}
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, digest)
		return true
	}
	delete(t.entries, t.ring[t.next])
	t.ring[t.next] = digest
	t.next = (t.next + 1) % len(t.ring)
	return true
}

// find returns the agent that holds the first known prefix; the longest comes first.
func (t *affinity) find(prefixes []Prefix) (affine, bool) {
	for _, p := range prefixes {
		if e, ok := t.entries[p.Digest]; ok {
			return e, true
		}
	}
	return affine{}, false
}

// forget drops what was learnt of an agent whose cache is gone.
func (t *affinity) forget(name string) {
	for digest, e := range t.entries {
		if e.name == name {
			t.entries[digest] = affine{}
		}
	}
}

// bonus is the time that the cached prefix saves, faded by the age of the
// knowledge and by the agent's hit rate. Load needs no factor of its own: the
// bonus is set against the wait that the agent has above the others', and
// where all of them wait, a hit saves work that everyone waits for.
func (s *Settings) bonus(now time.Time, e affine, a *agent) time.Duration {
	if e.name == "" || e.name != a.instance.Name {
		return 0
	}
	saved := float64(e.tokens) * float64(s.TokenTime)
	return time.Duration(saved * halved(now.Sub(e.at), s.AffinityHalfLife) * a.hitRate)
}

// setHits compares the cached tokens reported with those expected.
func (a *agent) setHits(expected, cached int) {
	if expected <= 0 {
		return
	}
	rate := min(1, float64(cached)/float64(expected))
	a.hitRate += hitSmoothing * (rate - a.hitRate)
}
