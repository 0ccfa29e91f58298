package engine

import (
	"container/list"
	"math/rand"
	"time"

	"verbenaroad.example/fakes/modules/token"
)

// maxEvents limits the cache events kept. A caller that asks too late does not receive the older
// ones.
const maxEvents = 10000

// CacheChange is the kind of change of a block in the prefix cache.
type CacheChange string

// The changes of the prefix cache.
const (
	CacheStored  CacheChange = "stored"
	CacheRemoved CacheChange = "removed"
)

// CacheEvent reports one change. Sequence numbers increase by one, so a caller detects a lost event
// by the gap.
type CacheEvent struct {
	Sequence uint64      `json:"sequence"`
	Change   CacheChange `json:"change"`
	Block    string      `json:"block"`

	// visible is the time from which callers receive the event.
	visible time.Time
}

// cache is the prefix cache: it keeps the most recently used blocks of prompts, at most limit.
type cache struct {
	limit  int
	blocks map[string]*list.Element
	// recent is ordered from the most to the least recently used block.
	recent *list.List

	// lag is the delay until an event is visible, and lossRate the probability that it is lost.
	lag      time.Duration
	lossRate float64
	random   *rand.Rand
	sequence uint64
	events   []CacheEvent
}

func newCache(options Options) *cache {
	return &cache{
		limit:    options.CacheBlocks,
		blocks:   map[string]*list.Element{},
		recent:   list.New(),
		lag:      options.EventLag,
		lossRate: options.EventGap,
		random:   rand.New(rand.NewSource(options.Seed)),
	}
}

// use stores the blocks of a prompt, evicts the least recently used blocks beyond the limit, and
// returns how many tokens at the start of the prompt were cached before.
func (c *cache) use(blocks []string, now time.Time) int {
	hits := 0
	for i, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.recent.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[block] = c.recent.PushFront(block)
		c.recordEvent(CacheStored, block, now)
	}
	for c.recent.Len() > c.limit {
		c.evict(now)
	}
	return hits * token.BlockTokens
}

func (c *cache) evict(now time.Time) {
	oldest := c.recent.Back()
	block := c.recent.Remove(oldest).(string)
	delete(c.blocks, block)
	c.recordEvent(CacheRemoved, block, now)
}

// recordEvent gives an event the next sequence number and keeps it, unless it is
// randomly chosen to be lost.
func (c *cache) recordEvent(change CacheChange, block string, now time.Time) {
	c.sequence++
	if c.lossRate > 0 && c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Change: change, Block: block, visible: now.Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent{}, c.events[len(c.events)-maxEvents:]...)
	}
}

// findEvents returns the visible events whose sequence number is above after.
func (c *cache) findEvents(after uint64, now time.Time) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.visible.After(now) {
			found = append(found, e)
		}
	}
	return found
}
