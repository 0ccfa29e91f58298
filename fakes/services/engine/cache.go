package engine

import (
	"container/list"
	"math/rand"
	"time"

	"verbenaroad.example/fakes/modules/token"
)

// maxEvents bounds the cache events kept; older ones are lost to those who ask late.
const maxEvents = 10000

// CacheChange says what happened to a block.
type CacheChange string

// The changes of the prefix cache.
const (
	CacheStored  CacheChange = "stored"
	CacheRemoved CacheChange = "removed"
)

// CacheEvent tells of one change; sequence numbers rise by one, so a lost event shows as a gap.
type CacheEvent struct {
	Sequence uint64      `json:"sequence"`
	Change   CacheChange `json:"change"`
	Block    string      `json:"block"`

	visible time.Time
}

// cache keeps the most recently used blocks of prompts.
type cache struct {
	limit  int
	blocks map[string]*list.Element
	// recent is ordered from the most to the least recently used block.
	recent *list.List

	lag      time.Duration
	gap      float64
	random   *rand.Rand
	sequence uint64
	events   []CacheEvent
}

func newCache(options Options) *cache {
	return &cache{
		limit:  options.CacheBlocks,
		blocks: map[string]*list.Element{},
		recent: list.New(),
		lag:    options.EventLag,
		gap:    options.EventGap,
		random: rand.New(rand.NewSource(options.Seed)),
	}
}

// use stores a prompt's blocks and returns how many of its tokens were cached before.
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
		c.note(CacheStored, block, now)
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
	c.note(CacheRemoved, block, now)
}

// note numbers an event and keeps it, unless it falls into a gap.
func (c *cache) note(change CacheChange, block string, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Change: change, Block: block, visible: now.Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent{}, c.events[len(c.events)-maxEvents:]...)
	}
}

// findEvents returns the visible events with a sequence above after.
func (c *cache) findEvents(after uint64, now time.Time) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.visible.After(now) {
			found = append(found, e)
		}
	}
	return found
}
