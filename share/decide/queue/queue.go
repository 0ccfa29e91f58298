// Package queue orders the calls that wait before one backend server: by
// priority class, then fairly between teams by cost used (start-time fair
// queueing), then by least slack.
//
// A Queue belongs to one goroutine or is guarded by its caller; nothing in it locks.
package queue

import (
	"container/heap"
	"time"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// Mode names an order.
type Mode string

// The modes.
const (
	// ModeFair is the order of the package comment.
	ModeFair Mode = "fair"
	// ModeFIFO is the baseline for experiments: arrival order, whatever the class, team and deadline.
	ModeFIFO Mode = "fifo"
)

const (
	classes = 3
	// idleFactor times the limit bounds the idle teams whose share is remembered.
	idleFactor = 4
	// smoothing is the weight of one run in the smoothed service time.
	smoothing = 0.1
	// minWeight is the least share of a team; a zero weight must not divide.
	minWeight = 0.01
	// minCost keeps an item without an estimate from being free of charge.
	minCost = 0.001
	// noDeadline puts the items without a deadline behind all others of their team.
	noDeadline = 100 * 365 * 24 * time.Hour
)

// Settings are fixed for the life of a Queue.
type Settings struct {
	Mode Mode
	// Limit bounds the waiting items.
	Limit int
	// Slots is the number of calls that the backend server takes at once.
	Slots int
	// Service is the service time until a run tells it.
	Service time.Duration
}

// Item is a waiting or running call.
type Item struct {
	// ID is unique among waiting and running items.
	ID       string
	Team     string
	Priority config.Priority
	// Weight is the team's share; the last one pushed holds.
	Weight float64
	// Cost is the estimated cost in units.
	Cost float64
	// Deadline is when the answer must be there; zero: none.
	Deadline time.Time
	// Least is the time that a run is to be given; an item that cannot start by Deadline-Least is
	// expired. A mean or a high quantile of the service time serves better than its minimum: runs
	// that start with less time end late for the most part and take the slots of others.
	Least time.Duration
	// Preemptible items may be cancelled while they run.
	Preemptible bool
}

// Pushed tells what became of an item that came in.
type Pushed struct {
	// Refused is nil when the item waits; otherwise it did not and will not run.
	Refused *codes.Result
	// Evicted is the item that made room, which will not run, or nil.
	Evicted *Item
	// RetryAfter is advice for the evicted one's caller.
	RetryAfter time.Duration
}

// Load describes the queue and the running set.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Wait is the estimated queue delay of a new normal call of a team with nothing waiting.
	Wait    time.Duration
	Service time.Duration
}

// Queue is a bounded queue with the set of running items.
type Queue struct {
	settings Settings
	classes  [classes]*class
	waiting  map[string]*entry
	byLatest entryHeap
	running  map[string]*run
	// expired are found by Pop and not yet returned by Expire.
	expired  []Item
	sequence uint64
	// service and unit are smoothed: nanoseconds of a run, and of one cost unit.
	service float64
	unit    float64
}

// New returns an empty queue.
func New(s Settings) *Queue {
	q := &Queue{settings: s, waiting: make(map[string]*entry), running: make(map[string]*run)}
	q.byLatest = entryHeap{at: latestStart, position: byLatestPosition}
	q.service = float64(s.Service)
	q.unit = float64(s.Service)
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Push takes an item in, refuses it, or evicts another for it.
func (q *Queue) Push(now time.Time, i Item) Pushed {
	i.Cost = max(i.Cost, minCost)
	e := q.entry(now, i)
	if e.latest.Before(now) {
		return Pushed{Refused: codes.NewResult(codes.DeadlineUnmeetable, "too late to start")}
	}
	if q.known(i.ID) {
		return Pushed{Refused: codes.NewResult(codes.BadRequest, "the attempt is in the queue already")}
	}
	p := Pushed{}
	if len(q.waiting) >= q.settings.Limit {
		wait := q.Estimate(now, i)
		victim := q.victim(e)
		if victim == nil {
			p.Refused = codes.NewResult(codes.Overloaded, "the queue is full").WithRetryAfter(wait)
			return p
		}
		q.take(victim)
		p.Evicted = &victim.item
		p.RetryAfter = wait
	}
	q.add(e)
	return p
}

func (q *Queue) known(id string) bool {
	if _, ok := q.waiting[id]; ok {
		return true
	}
	_, ok := q.running[id]
	return ok
}

func (q *Queue) entry(now time.Time, i Item) *entry {
	q.sequence++
	e := &entry{item: i, sequence: q.sequence, latest: now.Add(noDeadline)}
	if !i.Deadline.IsZero() {
		e.latest = i.Deadline.Add(-i.Least)
	}
	e.key = e.latest
	e.class, e.team, e.weight = q.place(i)
	if q.settings.Mode == ModeFIFO {
		// Arrival order, and only a deadline that has passed expires.
		e.key = time.Time{}
		e.latest = e.latest.Add(i.Least)
	}
	return e
}

// place returns the class and flow of an item; FIFO has one of each.
func (q *Queue) place(i Item) (rank int, team string, weight float64) {
	if q.settings.Mode == ModeFIFO {
		return 0, "", 1
	}
	return i.Priority.Rank(), i.Team, max(i.Weight, minWeight)
}

func (q *Queue) add(e *entry) {
	q.waiting[e.item.ID] = e
	heap.Push(&q.byLatest, e)
	q.classes[e.class].add(e)
}

// take removes a waiting entry from every index.
func (q *Queue) take(e *entry) {
	delete(q.waiting, e.item.ID)
	heap.Remove(&q.byLatest, e.latestPosition)
	q.classes[e.class].remove(e, q.idleLimit())
}

func (q *Queue) idleLimit() int { return idleFactor * max(q.settings.Limit, 1) }

// Pop moves the next item into the running set; false when none waits or no slot is free.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.expire(now)
	if len(q.running) >= q.settings.Slots {
		return Item{}, false
	}
	for _, c := range q.classes {
		e := c.next()
		if e == nil {
			continue
		}
		c.charge(e)
		q.take(e)
		q.running[e.item.ID] = &run{item: e.item, class: e.class, team: e.team, weight: e.weight, started: now}
		return e.item, true
	}
	return Item{}, false
}

// Expire removes and returns the items that can no longer meet their deadline; none of them ran or will run.
func (q *Queue) Expire(now time.Time) []Item {
	q.expire(now)
	items := q.expired
	q.expired = nil
	return items
}

func (q *Queue) expire(now time.Time) {
	for len(q.byLatest.entries) > 0 && q.byLatest.entries[0].latest.Before(now) {
		e := q.byLatest.entries[0]
		q.take(e)
		q.expired = append(q.expired, e.item)
	}
}

// Remove takes a waiting item out, for instance when its caller has gone; false when it does not wait.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.waiting[id]
	if !ok {
		return Item{}, false
	}
	q.take(e)
	return e.item, true
}

// NextExpiry returns when Expire has the next item to return; false when nothing waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.byLatest.entries) == 0 {
		return time.Time{}, false
	}
	return q.byLatest.entries[0].latest, true
}

// SetSlots changes the number of slots; running items stay.
func (q *Queue) SetSlots(n int) { q.settings.Slots = n }
