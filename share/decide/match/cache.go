package match

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"verbenaroad.example/share/models/config"
)

// Cache caches the selections from one configuration snapshot's rules. Each snapshot needs its own
// Cache.
type Cache struct {
	rules *Rules
	// limit is the greatest number of entries. A full cache is emptied before the next entry is added.
	limit   int
	entries map[cacheKey]cacheEntry
}

type cacheKey struct {
	caller uint64
	stage  uint64
}

// cacheEntry keeps the labels to detect label sets that share a digest: their
// selections differ, and the wrong one could run work where a rule forbids it.
type cacheEntry struct {
	caller    config.Labels
	stage     config.Labels
	selection *Selection
}

// NewCache returns an empty cache that holds at most limit selections, and at least one.
func NewCache(rules *Rules, limit int) *Cache {
	return &Cache{rules: rules, limit: max(limit, 1), entries: make(map[cacheKey]cacheEntry)}
}

// Select returns the same as Rules.Select. It keeps references to both label sets, which must not
// change afterwards.
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

// Len returns the number of cached selections.
func (c *Cache) Len() int { return len(c.entries) }

// digest returns a hash of the labels. It sums the hashes of the pairs, so that the order of map
// iteration does not matter.
func digest(l config.Labels) uint64 {
	var sum uint64
	for k, v := range l {
		sum += xxhash.Sum64String(k)*31 ^ xxhash.Sum64String(v)
	}
	return sum
}
