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
	// canceling is set once Preempt named it; its slot is free only after Done.
	canceling bool
}

// Done frees the slot of a running item and counts its measured cost; false when it does not run.
// A cost of 0 leaves the estimate standing.
func (q *Queue) Done(now time.Time, id string, cost float64) (Item, bool) {
	r, ok := q.running[id]
	if !ok {
		return Item{}, false
	}
	delete(q.running, id)
	if cost > 0 {
		q.classes[r.class].correct(r.team, r.weight, cost-r.item.Cost)
	} else {
		cost = r.item.Cost
	}
	if !r.canceling {
		q.learn(float64(now.Sub(r.started)), cost)
	}
	return r.item, true
}

func (q *Queue) learn(took, cost float64) {
	q.service += smoothing * (took - q.service)
	if cost > 0 {
		q.unit += smoothing * (took/cost - q.unit)
	}
}

// Preempt returns the running item to cancel because a waiting one of a higher class would miss
// its deadline otherwise; false when there is none. Each call names another item, so that as many
// are cancelled as are needed; Done follows when the cancel has taken effect.
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
	if canceling >= q.atRisk(now) {
		return Item{}, false
	}
	victim := q.cheapest()
	if victim == nil {
		return Item{}, false
	}
	victim.canceling = true
	return victim.item, true
}

// atRisk counts the waiting items above batch that must start before a slot frees by itself.
func (q *Queue) atRisk(now time.Time) int {
	free := now.Add(q.nextFree(now))
	count := 0
	for _, e := range q.waiting {
		if e.class < config.PriorityBatch.Rank() && e.latest.Before(free) {
			count++
		}
	}
	return count
}

// nextFree predicts the time until a running item ends.
func (q *Queue) nextFree(now time.Time) time.Duration {
	first := time.Duration(q.service)
	for _, r := range q.running {
		left := r.started.Add(time.Duration(q.unit * r.item.Cost)).Sub(now)
		first = min(first, max(left, 0))
	}
	return first
}

// cheapest returns the preemptible batch run that started last, since it loses the least work.
func (q *Queue) cheapest() *run {
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

// Estimate predicts how long an item like i would wait if it came now.
func (q *Queue) Estimate(now time.Time, i Item) time.Duration {
	ahead := q.costAhead(q.place(i))
	if ahead == 0 && len(q.running) < q.settings.Slots {
		return 0
	}
	slots := float64(max(q.settings.Slots, 1))
	return time.Duration((q.service + ahead*q.unit) / slots)
}

// costAhead sums the cost of the waiting items that would run before a new one.
func (q *Queue) costAhead(rank int, team string, weight float64) float64 {
	ahead := 0.0
	for higher := range rank {
		for _, f := range q.classes[higher].active {
			ahead += f.cost
		}
	}
	c := q.classes[rank]
	start := c.startOf(team, weight)
	for _, f := range c.active {
		ahead += min(f.cost, max(0, start-f.start)*f.weight)
	}
	return ahead
}

// Expected returns the smoothed service time of a run of that cost, for an Item.Least where nothing better is known.
func (q *Queue) Expected(cost float64) time.Duration {
	return time.Duration(q.unit * max(cost, minCost))
}

// Load returns what an agent reports.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running: len(q.running),
		Queued:  len(q.waiting),
		Slots:   q.settings.Slots,
		Wait:    q.Estimate(now, Item{Priority: config.PriorityNormal, Weight: 1}),
		Service: time.Duration(q.service),
	}
}

// Remembered returns the number of teams with state, waiting or not.
func (q *Queue) Remembered() int {
	count := 0
	for _, c := range q.classes {
		count += len(c.flows)
	}
	return count
}
