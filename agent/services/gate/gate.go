// Package gate admits calls to the backend server, each when a slot is free, in the order of
// share/decide/queue.
package gate

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/modules/codes"
)

const (
	// maxInterval is the longest time between two updates of the queue. It limits how late an
	// expiry is found when no event wakes the loop.
	maxInterval = 250 * time.Millisecond
	// minInterval is the shortest interval that the timer of the loop is set to.
	minInterval = time.Millisecond
)

// Gate makes a queue safe for concurrent use and notifies the calls that wait in it.
type Gate struct {
	wake chan struct{}

	// lock guards the fields below.
	lock  sync.Mutex
	queue *queue.Queue
	// tickets holds the tickets of the calls that wait or run in queue, by item ID.
	tickets      map[string]*Ticket
	serviceTimes *serviceTimes
}

// Ticket is a call's place in the queue and, once granted, its slot.
type Ticket struct {
	// Queued is how long the call waited.
	Queued time.Duration

	item       queue.Item
	stage      string
	enqueuedAt time.Time
	startedAt  time.Time
	// verdict receives nil when the slot is granted, or the refusal.
	verdict chan *codes.Result
	// cancel ends the run so that a call of higher priority gets the slot; nil until SetCancel.
	cancel context.CancelCauseFunc
	// preempted is set once the gate has called cancel. The duration of such a run is not a service
	// time.
	preempted bool
}

// NewGate returns a gate with an empty queue.
func NewGate(settings queue.Settings) *Gate {
	return &Gate{
		wake:         make(chan struct{}, 1),
		queue:        queue.New(settings),
		tickets:      map[string]*Ticket{},
		serviceTimes: newServiceTimes(),
	}
}

// Start starts the loop that handles expiries and preemption until the context ends.
func (g *Gate) Start(ctx context.Context) {
	go g.loop(ctx)
}

// Acquire waits for a slot. Service times are estimated for each stage separately. A refused call
// has not run and will not run.
func (g *Gate) Acquire(ctx context.Context, stage string, item queue.Item) (*Ticket, *codes.Result) {
	t := &Ticket{item: item, stage: stage, enqueuedAt: time.Now(), verdict: make(chan *codes.Result, 1)}
	if refused := g.enqueue(t); refused != nil {
		return nil, refused
	}
	select {
	case refused := <-t.verdict:
		if refused != nil {
			return nil, refused
		}
		t.startedAt = time.Now()
		t.Queued = t.startedAt.Sub(t.enqueuedAt)
		return t, nil
	case <-ctx.Done():
		g.abandon(t)
		return nil, codes.NewResult(codes.Canceled, "the caller went away while the call waited").WithOutcome(codes.OutcomeNotRun)
	}
}

func (g *Gate) enqueue(t *Ticket) *codes.Result {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	t.item.MinRunTime = g.serviceTimes.estimate(now, t.stage, t.item.Cost)
	pushed := g.queue.Push(now, t.item)
	if pushed.Refused != nil {
		return pushed.Refused
	}
	g.tickets[t.item.ID] = t
	if pushed.Evicted != nil {
		refusal := codes.NewResult(codes.Overloaded, "gave its place in the queue to other work")
		g.refuse(pushed.Evicted.ID, refusal.WithRetryAfter(pushed.RetryAfter))
	}
	g.grantFreeSlots(now)
	g.preempt(now)
	g.wakeLoop()
	return nil
}

// grantFreeSlots grants the free slots and refuses the waiting calls that can no longer meet their
// deadline. It is called under the lock.
func (g *Gate) grantFreeSlots(now time.Time) {
	for {
		item, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		if t := g.tickets[item.ID]; t != nil {
			t.verdict <- nil
		}
	}
	for _, item := range g.queue.Expire(now) {
		g.refuse(item.ID, codes.NewResult(codes.DeadlineUnmeetable, "could not start in time").WithRetryAfter(g.queue.Load(now).Wait))
	}
}

// refuse ends the wait of a call that was removed from the queue. It is called under the lock.
func (g *Gate) refuse(id string, refusal *codes.Result) {
	t := g.tickets[id]
	if t == nil {
		return
	}
	delete(g.tickets, id)
	t.verdict <- refusal
}

// abandon removes a call whose context has ended. The lock decides a race with the grant: a call
// that already has its slot frees it without a run.
func (g *Gate) abandon(t *Ticket) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.tickets[t.item.ID] != t {
		return
	}
	delete(g.tickets, t.item.ID)
	now := time.Now()
	if _, waiting := g.queue.Remove(t.item.ID); !waiting {
		g.queue.Done(now, t.item.ID, 0)
	}
	g.grantFreeSlots(now)
}

// SetCancel sets the function with which the gate cancels the run when a call of higher priority
// needs the slot.
func (g *Gate) SetCancel(t *Ticket, cancel context.CancelCauseFunc) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t.cancel = cancel
}

// Release frees the slot of a run and charges its cost to the team; a cost of 0 keeps the estimated
// cost.
func (g *Gate) Release(t *Ticket, cost float64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.tickets, t.item.ID)
	now := time.Now()
	if !t.preempted {
		g.serviceTimes.observe(now, t.stage, t.item.Cost, now.Sub(t.startedAt))
	}
	g.queue.Done(now, t.item.ID, cost)
	g.grantFreeSlots(now)
}

// Pause lets no call start for the given time. Waiting calls that can then no longer meet their
// deadline are refused at once.
func (g *Gate) Pause(length time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	g.queue.Pause(now.Add(length))
	g.grantFreeSlots(now)
}

// GetLoad returns the load of the queue and its running set.
func (g *Gate) GetLoad() queue.Load {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.queue.Load(time.Now())
}

// preempt cancels runs of lower priority that would make a call of higher priority miss its
// deadline. It is called under the lock.
func (g *Gate) preempt(now time.Time) {
	for {
		item, ok := g.queue.Preempt(now)
		if !ok {
			return
		}
		if t := g.tickets[item.ID]; t != nil && t.cancel != nil {
			t.preempted = true
			t.cancel(codes.NewResult(codes.Preempted, "gave way to higher priority"))
		}
	}
}

func (g *Gate) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// loop handles the expiries and preemptions that become due while no call arrives or ends.
func (g *Gate) loop(ctx context.Context) {
	timer := time.NewTimer(maxInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		timer.Reset(g.update())
	}
}

// update handles due grants, expiries and preemptions, and returns the time until the next update.
func (g *Gate) update() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	g.grantFreeSlots(now)
	g.preempt(now)
	next, ok := g.queue.NextExpiry()
	if !ok {
		return maxInterval
	}
	return min(maxInterval, max(minInterval, time.Until(next)))
}
