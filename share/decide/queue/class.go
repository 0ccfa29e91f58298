package queue

import (
	"container/heap"
	"time"
)

// entry is a waiting item with its places in the heaps.
type entry struct {
	item     Item
	class    int
	team     string
	weight   float64
	sequence uint64
	// latest is the last moment at which a run may start and meet the deadline.
	latest time.Time
	// key orders the items of a team: the least slack first. Slack falls alike
	// for all with time, so the order by latest start never changes.
	key            time.Time
	latestPosition int
	flowPosition   int
}

// flow is one team's waiting items within a class.
type flow struct {
	team   string
	weight float64
	// start is the virtual time at which the next item starts; it grows by cost over weight with each run.
	start float64
	// cost is the sum of the waiting items.
	cost     float64
	items    entryHeap
	position int
}

// finish is the virtual time at which everything that waits would be served.
func (f *flow) finish() float64 { return f.start + f.cost/f.weight }

// class holds the flows of one priority class.
type class struct {
	// virtual is the start of the flow served last; it never falls.
	virtual float64
	flows   map[string]*flow
	// active flows have items; idle ones are remembered only while their start
	// is ahead of virtual, since afterwards a new flow would start no later.
	active flowHeap
	idle   flowHeap
}

func newClass() *class { return &class{flows: make(map[string]*flow)} }

func (c *class) add(e *entry) {
	f, ok := c.flows[e.team]
	if !ok {
		f = &flow{team: e.team, start: c.virtual}
		f.items = entryHeap{at: teamKey, position: byFlowPosition}
		c.flows[e.team] = f
	}
	if ok && len(f.items.entries) == 0 {
		heap.Remove(&c.idle, f.position)
	}
	f.weight = e.weight
	f.cost += e.item.Cost
	fresh := len(f.items.entries) == 0
	heap.Push(&f.items, e)
	if fresh {
		heap.Push(&c.active, f)
		return
	}
	heap.Fix(&c.active, f.position)
}

// next returns the entry to run next, or nil.
func (c *class) next() *entry {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].items.entries[0]
}

// charge counts an entry that is about to run against its team.
func (c *class) charge(e *entry) {
	f := c.flows[e.team]
	c.virtual = max(c.virtual, f.start)
	f.start += e.item.Cost / f.weight
	heap.Fix(&c.active, f.position)
}

// remove takes an entry out and forgets the flows whose virtual time is passed.
func (c *class) remove(e *entry, idleLimit int) {
	f := c.flows[e.team]
	heap.Remove(&f.items, e.flowPosition)
	f.cost -= e.item.Cost
	if len(f.items.entries) > 0 {
		heap.Fix(&c.active, f.position)
	} else {
		f.cost = 0
		heap.Remove(&c.active, f.position)
		heap.Push(&c.idle, f)
	}
	c.forget(idleLimit)
}

func (c *class) forget(idleLimit int) {
	// With nothing waiting there is no contention left to be fair about.
	empty := len(c.active) == 0
	for len(c.idle) > 0 && (empty || c.idle[0].start <= c.virtual || len(c.idle) > idleLimit) {
		f := heap.Pop(&c.idle).(*flow)
		delete(c.flows, f.team)
	}
}

// correct replaces the estimated cost of a run by the one that was measured.
func (c *class) correct(team string, weight, difference float64) {
	f, ok := c.flows[team]
	if !ok {
		return
	}
	f.start = max(c.virtual, f.start+difference/weight)
	if len(f.items.entries) > 0 {
		heap.Fix(&c.active, f.position)
		return
	}
	heap.Fix(&c.idle, f.position)
}

// mostOverShare returns the active flow that would be served last, or nil.
func (c *class) mostOverShare() *flow {
	var worst *flow
	for _, f := range c.active {
		if worst == nil || f.finish() > worst.finish() || f.finish() == worst.finish() && f.team > worst.team {
			worst = f
		}
	}
	return worst
}

// startOf returns the virtual start that a new item of the team would get behind its waiting ones.
func (c *class) startOf(team string, weight float64) float64 {
	f, ok := c.flows[team]
	if !ok {
		return c.virtual
	}
	return max(c.virtual, f.start) + f.cost/weight
}
