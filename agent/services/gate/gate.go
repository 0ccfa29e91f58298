// Package gate lets calls through to the backend server one free slot at a
// time, in the order of share/decide/queue. In: calls. Out: grants and refusals.
package gate

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/modules/codes"
)

const (
	// idleCheck bounds how late an expiry may be found when no event wakes the loop.
	idleCheck = 250 * time.Millisecond
	minCheck  = time.Millisecond
)

// Gate guards a queue with a lock and wakes those who wait in it.
type Gate struct {
	wake chan struct{}

	lock sync.Mutex
	// queue and tickets are guarded by lock; each ticket waits or runs in queue.
	queue   *queue.Queue
	tickets map[string]*Ticket
	// times is guarded by lock.
	times *times
}

// Ticket is one call's place.
type Ticket struct {
	// Queued is the time that the call waited.
	Queued time.Duration

	item    queue.Item
	stage   string
	pushed  time.Time
	started time.Time
	verdict chan *codes.Result
	// preempt ends the run in favour of a higher class; nil until the run starts.
	preempt context.CancelCauseFunc
	// preempted is set once preempt was called; the run's time then says nothing.
	preempted bool
}

// NewGate returns a gate with an empty queue.
func NewGate(settings queue.Settings) *Gate {
	return &Gate{
		wake:    make(chan struct{}, 1),
		queue:   queue.New(settings),
		tickets: map[string]*Ticket{},
		times:   newTimes(),
	}
}

// Start looks after expiries and preemption until the context ends.
func (g *Gate) Start(ctx context.Context) {
	go g.loop(ctx)
}

// Enter waits for a slot; stage tells the measured times apart. A refusal is not run and never will be.
func (g *Gate) Enter(ctx context.Context, stage string, item queue.Item) (*Ticket, *codes.Result) {
	t := &Ticket{item: item, stage: stage, pushed: time.Now(), verdict: make(chan *codes.Result, 1)}
	if refused := g.push(t); refused != nil {
		return nil, refused
	}
	select {
	case refused := <-t.verdict:
		if refused != nil {
			return nil, refused
		}
		t.started = time.Now()
		t.Queued = t.started.Sub(t.pushed)
		return t, nil
	case <-ctx.Done():
		g.abandon(t)
		return nil, codes.NewResult(codes.Canceled, "the caller went away while the call waited").WithOutcome(codes.OutcomeNotRun)
	}
}

func (g *Gate) push(t *Ticket) *codes.Result {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	t.item.MinRunTime = g.times.expect(now, t.stage, t.item.Cost)
	pushed := g.queue.Push(now, t.item)
	if pushed.Refused != nil {
		return pushed.Refused
	}
	g.tickets[t.item.ID] = t
	if pushed.Evicted != nil {
		refusal := codes.NewResult(codes.Overloaded, "gave its place in the queue to other work")
		g.settle(pushed.Evicted.ID, refusal.WithRetryAfter(pushed.RetryAfter))
	}
	g.pump(now)
	g.preempt(now)
	g.wakeLoop()
	return nil
}

// pump grants free slots; called under the lock.
func (g *Gate) pump(now time.Time) {
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
		g.settle(item.ID, codes.NewResult(codes.DeadlineUnmeetable, "could not start in time").WithRetryAfter(g.queue.Load(now).Wait))
	}
}

// settle answers a waiting call for good; called under the lock.
func (g *Gate) settle(id string, refusal *codes.Result) {
	t := g.tickets[id]
	if t == nil {
		return
	}
	delete(g.tickets, id)
	t.verdict <- refusal
}

// abandon takes a call out whose caller has gone. The lock decides a race with
// the grant: a call that was granted already gives its slot back without a run.
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
	g.pump(now)
}

// Bind lets the gate end the run when a higher class needs the slot.
func (g *Gate) Bind(t *Ticket, preempt context.CancelCauseFunc) {
	g.lock.Lock()
	defer g.lock.Unlock()
	t.preempt = preempt
}

// Leave frees the slot of a run and counts its measured cost.
func (g *Gate) Leave(t *Ticket, cost float64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	delete(g.tickets, t.item.ID)
	now := time.Now()
	if !t.preempted {
		g.times.add(now, t.stage, t.item.Cost, now.Sub(t.started))
	}
	g.queue.Done(now, t.item.ID, cost)
	g.pump(now)
}

// GetLoad returns the load of the queue and its running set.
func (g *Gate) GetLoad() queue.Load {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.queue.Load(time.Now())
}

// preempt ends runs of a lower class that keep a higher one from its deadline; called under the lock.
func (g *Gate) preempt(now time.Time) {
	for {
		item, ok := g.queue.Preempt(now)
		if !ok {
			return
		}
		if t := g.tickets[item.ID]; t != nil && t.preempt != nil {
			t.preempted = true
			t.preempt(codes.NewResult(codes.Preempted, "gave way to higher priority"))
		}
	}
}

func (g *Gate) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// loop finds expiries and preemptions between other events.
func (g *Gate) loop(ctx context.Context) {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		timer.Reset(g.check())
	}
}

// check returns the time until the next look.
func (g *Gate) check() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	g.pump(now)
	g.preempt(now)
	next, ok := g.queue.NextExpiry()
	if !ok {
		return idleCheck
	}
	return min(idleCheck, max(minCheck, time.Until(next)))
}
