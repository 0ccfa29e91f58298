package match

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"verbenaroad.example/share/models/config"
)

// Cache remembers the selections of one snapshot's rules; a new snapshot needs a new Cache.
type Cache struct {
	rules *Rules
	// limit bounds the entries; the cache is emptied when it is reached.
	limit   int
	entries map[cacheKey]cacheEntry
}

type cacheKey struct {
	caller uint64
	stage  uint64
}

// cacheEntry keeps the labels, since two label sets may share a digest and a
// mistaken selection would let work run where a rule forbids it.
type cacheEntry struct {
	caller    config.Labels
	stage     config.Labels
	selection *Selection
}

// NewCache returns an empty cache of at most limit selections.
func NewCache(rules *Rules, limit int) *Cache {
	return &Cache{rules: rules, limit: max(limit, 1), entries: make(map[cacheKey]cacheEntry)}
}

// Select returns what Rules.Select does; it keeps references to both label sets.
func (c *Cache) Select(caller, stage config.Labels) *Selection {
	key := cacheKey{caller: digest(caller), stage: digest(stage)}
	e, ok := c.entries[key]
	if ok && maps.Equal(e.caller, caller) && maps.Equal(e.stage, stage) {
		return e.selection
	}
	if len(c.entries) >= c.limit {
		clear(c.entries)
	}
	e = cacheEntry{caller: caller, stage: stage, selection: c.rules.Select(caller, stage)}
	c.entries[key] = e
	return e.selection
}

// Len returns the number of selections held.
func (c *Cache) Len() int { return len(c.entries) }

// digest adds the hashes of the pairs, so that the order of iteration does not count.
func digest(l config.Labels) uint64 {
	var sum uint64
	for k, v := range l {
		sum += xxhash.Sum64String(k)*31 ^ xxhash.Sum64String(v)
	}
	return sum
}
