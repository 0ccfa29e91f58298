// Package queue orders the calls that wait for one backend server: by
// priority class, then fairly between teams by the cost they used (start-time
// fair queueing), then by least slack, which is the time left until a call
// must start to meet its deadline.
//
// A Queue is not safe for concurrent use: it belongs to one goroutine, or its caller locks it.
package queue

import (
	"container/heap"
	"time"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// Mode selects the order in which waiting items run.
type Mode string

// The modes.
const (
	// ModeFair is the order that the package comment describes.
	ModeFair Mode = "fair"
	// ModeFIFO runs items in order of arrival, regardless of class, team and deadline. It is the
	// baseline for experiments.
	ModeFIFO Mode = "fifo"
)

const (
	// classCount is the number of priority classes.
	classCount = 3
	// idleTeamFactor times Settings.MaxWaiting limits the idle teams of a class whose use is
	// remembered.
	idleTeamFactor = 4
	// serviceTimeAlpha is the weight of one run in the moving averages of the service time.
	serviceTimeAlpha = 0.1
	// minWeight is the lowest weight of a team; it prevents a division by zero.
	minWeight = 0.01
	// minCost is the lowest cost of an item, so that an item without an estimate is not free.
	minCost = 0.001
	// noDeadline is the time from arrival to latest start of items without a deadline. It sorts
	// them behind all others of their team.
	noDeadline = 100 * 365 * 24 * time.Hour
)

// Settings are fixed for the life of a Queue.
type Settings struct {
	Mode Mode
	// MaxWaiting is the greatest number of waiting items.
	MaxWaiting int
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// InitialServiceTime is the assumed service time of a run, and of one cost unit, until runs
	// have been measured.
	InitialServiceTime time.Duration
}

// Item is a waiting or running call.
type Item struct {
	// ID is unique among waiting and running items.
	ID       string
	Team     string
	Priority config.Priority
	// Weight is the team's relative share. The item that a team pushed last sets the weight for
	// all of its waiting items in that class.
	Weight float64
	// Cost is the estimated cost in cost units.
	Cost float64
	// Deadline is the time by which the answer is needed; zero means no deadline.
	Deadline time.Time
	// MinRunTime is the time that must be left until Deadline when the item starts; an item that
	// cannot start by Deadline-MinRunTime expires. A mean or a high quantile of the service time
	// works better here than its minimum: runs that start with less time left mostly end late and
	// take slots away from other items.
	MinRunTime time.Duration
	// Preemptible items may be canceled while they run.
	Preemptible bool
}

// PushResult is the outcome of Push.
type PushResult struct {
	// Refused is nil when the item was queued; otherwise the item did not run and will not.
	Refused *codes.Result
	// Evicted is the waiting item that was removed to make room, or nil. It will not run.
	Evicted *Item
	// RetryAfter is the retry delay to report to the caller of the evicted item.
	RetryAfter time.Duration
}

// Load describes the queue and the running set. The agent publishes it in its expvars, under the
// names of these fields.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Wait is the estimated queue delay of a new call of normal priority from a team without
	// waiting calls.
	Wait time.Duration
	// Service is the smoothed service time of a run.
	Service time.Duration
}

// Queue is a bounded queue of waiting items, together with the set of running items.
type Queue struct {
	settings      Settings
	classes       [classCount]*class
	waiting       map[string]*entry
	byLatestStart entryHeap
	running       map[string]*run
	// expired holds the expired items that Expire has not returned yet; Pop adds to it too.
	expired  []Item
	sequence uint64
	// pausedUntil is until when no item starts.
	pausedUntil time.Time
	// serviceTime and timePerCost are moving averages in nanoseconds, of a run and of one cost unit.
	serviceTime float64
	timePerCost float64
}

// New returns an empty queue.
func New(s Settings) *Queue {
	q := &Queue{settings: s, waiting: make(map[string]*entry), running: make(map[string]*run)}
	q.byLatestStart = entryHeap{at: latestStartOf, index: latestStartIndexOf}
	q.serviceTime = float64(s.InitialServiceTime)
	q.timePerCost = float64(s.InitialServiceTime)
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Push queues an item or refuses it. When the queue is full it may evict a waiting item to make
// room.
func (q *Queue) Push(now time.Time, i Item) PushResult {
	i.Cost = max(i.Cost, minCost)
	e := q.newEntry(now, i)
	if e.latestStart.Before(q.earliestStart(now)) {
		return PushResult{Refused: codes.NewResult(codes.DeadlineUnmeetable, "too late to start").WithRetryAfter(q.pauseLeft(now))}
	}
	if q.contains(i.ID) {
		return PushResult{Refused: codes.NewResult(codes.BadRequest, "the attempt is in the queue already")}
	}
	p := PushResult{}
	if len(q.waiting) >= q.settings.MaxWaiting {
		wait := q.EstimateWait(now, i)
		victim := q.victim(e)
		if victim == nil {
			p.Refused = codes.NewResult(codes.Overloaded, "the queue is full").WithRetryAfter(wait)
			return p
		}
		q.removeEntry(victim)
		p.Evicted = &victim.item
		p.RetryAfter = wait
	}
	q.add(e)
	return p
}

// contains reports whether an item with that id waits or runs.
func (q *Queue) contains(id string) bool {
	if _, ok := q.waiting[id]; ok {
		return true
	}
	_, ok := q.running[id]
	return ok
}

func (q *Queue) newEntry(now time.Time, i Item) *entry {
	q.sequence++
	e := &entry{item: i, sequence: q.sequence, latestStart: now.Add(noDeadline)}
	if !i.Deadline.IsZero() {
		e.latestStart = i.Deadline.Add(-i.MinRunTime)
	}
	e.key = e.latestStart
	e.class, e.team, e.weight = q.classify(i)
	if q.settings.Mode == ModeFIFO {
		// Equal keys leave the order to the sequence of arrival. An item expires only once its
		// deadline has passed, so MinRunTime does not count.
		e.key = time.Time{}
		e.latestStart = e.latestStart.Add(i.MinRunTime)
	}
	return e
}

// classify returns the class, team and weight under which an item is queued. In FIFO mode all items
// share one class and one team.
func (q *Queue) classify(i Item) (rank int, team string, weight float64) {
	if q.settings.Mode == ModeFIFO {
		return 0, "", 1
	}
	return i.Priority.Rank(), i.Team, max(i.Weight, minWeight)
}

func (q *Queue) add(e *entry) {
	q.waiting[e.item.ID] = e
	heap.Push(&q.byLatestStart, e)
	q.classes[e.class].add(e)
}

// removeEntry removes a waiting entry from all indexes.
func (q *Queue) removeEntry(e *entry) {
	delete(q.waiting, e.item.ID)
	heap.Remove(&q.byLatestStart, e.latestStartIndex)
	q.classes[e.class].remove(e, q.idleLimit())
}

func (q *Queue) idleLimit() int { return idleTeamFactor * max(q.settings.MaxWaiting, 1) }

// Pause lets no item start before the given time. It does not shorten a pause.
func (q *Queue) Pause(until time.Time) {
	if until.After(q.pausedUntil) {
		q.pausedUntil = until
	}
}

// pauseLeft returns the time until the pause ends; 0 if there is none.
func (q *Queue) pauseLeft(now time.Time) time.Duration { return max(q.pausedUntil.Sub(now), 0) }

// earliestStart returns the earliest time at which an item may start.
func (q *Queue) earliestStart(now time.Time) time.Time { return now.Add(q.pauseLeft(now)) }

// Pop moves the next item into the running set and returns it. It returns false when none waits, no
// slot is free or the queue is paused.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	q.expire(now)
	if len(q.running) >= q.settings.Slots || q.pauseLeft(now) > 0 {
		return Item{}, false
	}
	for _, c := range q.classes {
		e := c.peek()
		if e == nil {
			continue
		}
		c.charge(e)
		q.removeEntry(e)
		q.running[e.item.ID] = &run{item: e.item, class: e.class, team: e.team, weight: e.weight, started: now}
		return e.item, true
	}
	return Item{}, false
}

// Expire removes and returns the items that can no longer meet their deadline, including those that
// Pop removed since the last call. None of them has run or will run.
func (q *Queue) Expire(now time.Time) []Item {
	q.expire(now)
	items := q.expired
	q.expired = nil
	return items
}

func (q *Queue) expire(now time.Time) {
	earliest := q.earliestStart(now)
	for len(q.byLatestStart.entries) > 0 && q.byLatestStart.entries[0].latestStart.Before(earliest) {
		e := q.byLatestStart.entries[0]
		q.removeEntry(e)
		q.expired = append(q.expired, e.item)
	}
}

// Remove takes a waiting item out, for instance when its caller has disconnected. It returns false
// when no item with that id waits.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.waiting[id]
	if !ok {
		return Item{}, false
	}
	q.removeEntry(e)
	return e.item, true
}

// NextExpiry returns the time after which the next waiting item expires, or false when nothing
// waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.byLatestStart.entries) == 0 {
		return time.Time{}, false
	}
	return q.byLatestStart.entries[0].latestStart, true
}

// SetSlots changes the number of slots. Running items keep running even if they exceed the new
// number.
func (q *Queue) SetSlots(n int) { q.settings.Slots = n }
