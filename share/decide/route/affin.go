package route

import "time"

// hitSmoothing is the weight of one call's result in an agent's smoothed hit rate.
const hitSmoothing = 0.2

// Prefix is a leading part of a prompt, identified by its digest.
type Prefix struct {
	Digest uint64
	Tokens int
}

// affinityTable maps each remembered prefix to the agent that computed it last.
type affinityTable struct {
	entries map[uint64]affinityEntry
	// ring holds the digests in insertion order, so that the oldest is evicted first. next is the
	// position of the oldest digest in a full ring.
	ring []uint64
	next int
}

// affinityEntry is the agent that computed a prefix last. The zero value means that this agent has
// lost its cache.
type affinityEntry struct {
	agentName  string
	tokens     int
	recordedAt time.Time
}

func newAffinityTable(limit int) *affinityTable {
	return &affinityTable{entries: make(map[uint64]affinityEntry), ring: make([]uint64, 0, max(limit, 0))}
}

// record stores that the agent has the prefixes cached as of now.
func (t *affinityTable) record(now time.Time, name string, prefixes []Prefix) {
	for _, p := range prefixes {
		if _, ok := t.entries[p.Digest]; !ok && !t.addDigest(p.Digest) {
			return
		}
		t.entries[p.Digest] = affinityEntry{agentName: name, tokens: p.Tokens, recordedAt: now}
	}
}

// addDigest adds a digest to the ring and evicts the oldest one if the ring is full. It returns
// false if affinity is turned off.
func (t *affinityTable) addDigest(digest uint64) bool {
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

// find returns the entry of the first prefix in the list that is known.
func (t *affinityTable) find(prefixes []Prefix) (affinityEntry, bool) {
	for _, p := range prefixes {
		if e, ok := t.entries[p.Digest]; ok {
			return e, true
		}
	}
	return affinityEntry{}, false
}

// forget clears the entries of an agent whose cache is lost. They are not deleted, so that a digest
// recorded again does not appear twice in the ring.
func (t *affinityTable) forget(name string) {
	for digest, e := range t.entries {
		if e.agentName == name {
			t.entries[digest] = affinityEntry{}
		}
	}
}

// affinityBonus returns the time that the cached prefix saves, discounted by the age of the entry
// and the agent's hit rate. Load needs no separate factor: the score already weighs the bonus
// against the agent's longer wait, and when all agents are busy a hit saves work that all queued
// calls wait for.
func (s *Settings) affinityBonus(now time.Time, e affinityEntry, a *agent) time.Duration {
	if e.agentName == "" || e.agentName != a.instance.Name {
		return 0
	}
	saved := float64(e.tokens) * float64(s.PrefillTimePerToken)
	return time.Duration(saved * decay(now.Sub(e.recordedAt), s.AffinityHalfLife) * a.hitRate)
}

// recordHitRate updates the smoothed hit rate with the share of the expected cached tokens that the
// engine reported as cached.
func (a *agent) recordHitRate(expected, cached int) {
	if expected <= 0 {
		return
	}
	rate := min(1, float64(cached)/float64(expected))
	a.hitRate += hitSmoothing * (rate - a.hitRate)
}
