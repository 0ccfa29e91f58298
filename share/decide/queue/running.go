package queue

import (
	"time"

	"verbenaroad.example/share/models/config"
)

// run is a running item.
type run struct {
	item    Item
	class   int
	team    string
	weight  float64
	started time.Time
	// canceling is set once Preempt has returned the item; its slot stays taken until Done.
	canceling bool
}

// Done frees the slot of a running item and charges its measured cost to the team; a cost of 0
// keeps the estimated cost. It returns false when no item with that id runs. A run that Preempt
// canceled does not count towards the service time.
func (q *Queue) Done(now time.Time, id string, cost float64) (Item, bool) {
	r, ok := q.running[id]
	if !ok {
		return Item{}, false
	}
	delete(q.running, id)
	if cost > 0 {
		q.classes[r.class].correctCost(r.team, r.weight, cost-r.item.Cost)
	} else {
		cost = r.item.Cost
	}
	if !r.canceling {
		q.observeRun(float64(now.Sub(r.started)), cost)
	}
	return r.item, true
}

// observeRun updates the moving averages of the service time with a run of that duration in
// nanoseconds and that cost.
func (q *Queue) observeRun(took, cost float64) {
	q.serviceTime += serviceTimeAlpha * (took - q.serviceTime)
	if cost > 0 {
		q.timePerCost += serviceTimeAlpha * (took/cost - q.timePerCost)
	}
}

// Preempt returns a running batch item to cancel because a waiting item of a higher class would
// otherwise miss its deadline, or false when there is none. Each call returns another item, until
// as many are being canceled as waiting items are at risk. The caller calls Done once the item has
// stopped.
func (q *Queue) Preempt(now time.Time) (Item, bool) {
	if q.settings.Mode == ModeFIFO || len(q.running) < q.settings.Slots {
		return Item{}, false
	}
	canceling := 0
	for _, r := range q.running {
		if r.canceling {
			canceling++
		}
	}
	if canceling >= q.countAtRisk(now) {
		return Item{}, false
	}
	victim := q.youngestBatchRun()
	if victim == nil {
		return Item{}, false
	}
	victim.canceling = true
	return victim.item, true
}

// countAtRisk counts the waiting items above batch priority that must start before a slot is
// expected to become free without preemption.
func (q *Queue) countAtRisk(now time.Time) int {
	free := now.Add(q.timeToFreeSlot(now))
	count := 0
	for _, e := range q.waiting {
		if e.class < config.PriorityBatch.Rank() && e.latestStart.Before(free) {
			count++
		}
	}
	return count
}

// timeToFreeSlot estimates the time until the first running item ends; at most the smoothed service
// time.
func (q *Queue) timeToFreeSlot(now time.Time) time.Duration {
	earliest := time.Duration(q.serviceTime)
	for _, r := range q.running {
		left := r.started.Add(time.Duration(q.timePerCost * r.item.Cost)).Sub(now)
		earliest = min(earliest, max(left, 0))
	}
	return earliest
}

// youngestBatchRun returns the preemptible batch run that started last, since canceling it loses
// the least work, or nil. Of equal ones it returns the one with the smallest id.
func (q *Queue) youngestBatchRun() *run {
	var best *run
	for _, r := range q.running {
		if !r.item.Preemptible || r.canceling || r.class != config.PriorityBatch.Rank() {
			continue
		}
		if best == nil || r.started.After(best.started) || r.started.Equal(best.started) && r.item.ID < best.item.ID {
			best = r
		}
	}
	return best
}

// EstimateWait estimates how long an item like i would wait if it were pushed now.
func (q *Queue) EstimateWait(now time.Time, i Item) time.Duration {
	ahead := q.costQueuedAhead(q.classify(i))
	if ahead == 0 && len(q.running) < q.settings.Slots {
		return q.pauseLeft(now)
	}
	slots := float64(max(q.settings.Slots, 1))
	return q.pauseLeft(now) + time.Duration((q.serviceTime+ahead*q.timePerCost)/slots)
}

// costQueuedAhead estimates the total cost of the waiting items that would run before a new item of
// that class and team.
func (q *Queue) costQueuedAhead(rank int, team string, weight float64) float64 {
	ahead := 0.0
	for higher := range rank {
		for _, f := range q.classes[higher].active {
			ahead += f.queuedCost
		}
	}
	c := q.classes[rank]
	start := c.nextVirtualStart(team, weight)
	for _, f := range c.active {
		ahead += min(f.queuedCost, max(0, start-f.virtualStart)*f.weight)
	}
	return ahead
}

// ExpectedServiceTime returns the expected service time of a run of that cost, from the smoothed
// time per cost unit. It can serve as Item.MinRunTime where no better estimate is known.
func (q *Queue) ExpectedServiceTime(cost float64) time.Duration {
	return time.Duration(q.timePerCost * max(cost, minCost))
}

// Load returns the load that the agent reports.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running: len(q.running),
		Queued:  len(q.waiting),
		Slots:   q.settings.Slots,
		Wait:    q.EstimateWait(now, Item{Priority: config.PriorityNormal, Weight: 1}),
		Service: time.Duration(q.serviceTime),
	}
}

// TrackedTeams returns the number of flows held over all classes, active and idle. A team counts
// once for each class in which it has a flow.
func (q *Queue) TrackedTeams() int {
	count := 0
	for _, c := range q.classes {
		count += len(c.flows)
	}
	return count
}
