package queue

import (
	"container/heap"
	"time"
)

// entry is a waiting item with its indexes in the heaps.
type entry struct {
	item     Item
	class    int
	team     string
	weight   float64
	sequence uint64
	// latestStart is the last moment at which the item may start; it expires after that.
	latestStart time.Time
	// key orders the items of a team: the one with the least slack comes first. Time reduces the
	// slack of all items alike, so ordering by latestStart never changes. In FIFO mode key is zero.
	key              time.Time
	latestStartIndex int
	flowIndex        int
}

// flow holds the waiting items of one team within a class.
type flow struct {
	team   string
	weight float64
	// virtualStart is the virtual time at which the next item starts. Each run advances it by the
	// item's cost divided by the team's weight.
	virtualStart float64
	// queuedCost is the sum of the costs of the waiting items.
	queuedCost float64
	items      entryHeap
	index      int
}

// virtualFinish returns the virtual time at which all waiting items of the flow would have been
// served.
func (f *flow) virtualFinish() float64 { return f.virtualStart + f.queuedCost/f.weight }

// class holds the flows of one priority class.
type class struct {
	// virtualTime is the virtual start of the flow served last; it never decreases.
	virtualTime float64
	flows       map[string]*flow
	// active holds the flows with waiting items and idle those without. An idle flow is kept only
	// while its virtualStart is ahead of virtualTime: once it is not, a team gains nothing by
	// starting over with a new flow, which starts at virtualTime.
	active flowHeap
	idle   flowHeap
}

func newClass() *class { return &class{flows: make(map[string]*flow)} }

func (c *class) add(e *entry) {
	f, ok := c.flows[e.team]
	if !ok {
		f = &flow{team: e.team, virtualStart: c.virtualTime}
		f.items = entryHeap{at: keyOf, index: flowIndexOf}
		c.flows[e.team] = f
	}
	if ok && len(f.items.entries) == 0 {
		heap.Remove(&c.idle, f.index)
	}
	f.weight = e.weight
	f.queuedCost += e.item.Cost
	wasEmpty := len(f.items.entries) == 0
	heap.Push(&f.items, e)
	if wasEmpty {
		heap.Push(&c.active, f)
		return
	}
	heap.Fix(&c.active, f.index)
}

// peek returns the entry to run next, or nil when none waits.
func (c *class) peek() *entry {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].items.entries[0]
}

// charge adds the cost of an entry that is about to run to the usage of its team.
func (c *class) charge(e *entry) {
	f := c.flows[e.team]
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += e.item.Cost / f.weight
	heap.Fix(&c.active, f.index)
}

// remove takes an entry out and then evicts idle flows.
func (c *class) remove(e *entry, idleLimit int) {
	f := c.flows[e.team]
	heap.Remove(&f.items, e.flowIndex)
	f.queuedCost -= e.item.Cost
	if len(f.items.entries) > 0 {
		heap.Fix(&c.active, f.index)
	} else {
		f.queuedCost = 0
		heap.Remove(&c.active, f.index)
		heap.Push(&c.idle, f)
	}
	c.evictIdle(idleLimit)
}

// evictIdle drops idle flows in order of virtual start: those that virtualTime has reached, those
// in excess of idleLimit, and all of them when no item waits.
func (c *class) evictIdle(idleLimit int) {
	// While no item waits, teams do not compete, so past use need not be remembered.
	empty := len(c.active) == 0
	for len(c.idle) > 0 && (empty || c.idle[0].virtualStart <= c.virtualTime || len(c.idle) > idleLimit) {
		f := heap.Pop(&c.idle).(*flow)
		delete(c.flows, f.team)
	}
}

// correctCost charges the team the difference between the measured and the estimated cost of a run,
// without moving its virtual start behind virtualTime.
func (c *class) correctCost(team string, weight, difference float64) {
	f, ok := c.flows[team]
	if !ok {
		return
	}
	f.virtualStart = max(c.virtualTime, f.virtualStart+difference/weight)
	if len(f.items.entries) > 0 {
		heap.Fix(&c.active, f.index)
		return
	}
	heap.Fix(&c.idle, f.index)
}

// furthestOverShare returns the active flow with the latest virtual finish, or nil when none is
// active. Of equal ones it returns the team that sorts last by name.
func (c *class) furthestOverShare() *flow {
	var worst *flow
	for _, f := range c.active {
		if worst == nil || f.virtualFinish() > worst.virtualFinish() || f.virtualFinish() == worst.virtualFinish() && f.team > worst.team {
			worst = f
		}
	}
	return worst
}

// nextVirtualStart returns the virtual start that a new item of the team would get if it were
// served after all waiting items of that team.
func (c *class) nextVirtualStart(team string, weight float64) float64 {
	f, ok := c.flows[team]
	if !ok {
		return c.virtualTime
	}
	return max(c.virtualTime, f.virtualStart) + f.queuedCost/weight
}
