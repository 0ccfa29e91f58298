package stages

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// Pools calls the backend servers that produce results.
type Pools interface {
	// Produce sends one call with the given items to a server.
	Produce(ctx context.Context, server site.Server, items []site.Item) (site.BatchAnswer, error)
	// Release releases results at the server that holds them. Of a server that is not known any more
	// only the address is set.
	Release(ctx context.Context, holder site.Server, handles []string) error
	// Preconnect opens a connection in advance, for the next call to a server.
	Preconnect(server site.Server)
	// ReadHolder returns the address of the server that holds a result.
	ReadHolder(handle string) (netip.AddrPort, error)
}

// Retries limits the retries of calls, by service.
type Retries interface {
	// CountRequest counts a new job, as opposed to a retry.
	CountRequest(service string)
	// TakeRetry takes one retry from the budget, unless it is exhausted. If it is granted, RecordSent
	// follows.
	TakeRetry(service string) budget.Decision
	// RecordSent records that a granted retry is sent now.
	RecordSent(service string)
}

// Meter records metrics of calls.
type Meter interface {
	CountBatch(queue, outcome string, items int, took time.Duration)
}

// BatcherOptions are the settings of a Batcher.
type BatcherOptions struct {
	Pools Pools
	Meter Meter
	// Retries limits how many calls are retried.
	Retries Retries
	// Limits limits the calls to servers that state a rate. Pauses holds the pauses that servers asked
	// this ingress for.
	Limits batch.Limiter
	Pauses batch.Pauses
	// Regions maps failure domains to their regions; Region is the region of this ingress.
	Regions map[string]string
	Region  string
	// Discard releases the results of another queue, whose batcher may be another ingress.
	Discard func(queue string, handles []string)
	// OnCrash is called for each call that failed after it was sent while the server had only the
	// items of one job. It may be nil.
	OnCrash func(c batch.Crash)
	Log     *zap.Logger
}

const (
	// tickInterval is how often a planner checks whether jobs that wait can now be sent. Planners
	// gather jobs for 20 ms, so the interval is a fraction of that.
	tickInterval = 5 * time.Millisecond
	// releaseInterval is how long handles are gathered, so that one call releases many of them.
	releaseInterval = 10 * time.Millisecond
	// releaseTimeout limits the duration of a release call. If the call fails, the server removes
	// the results by itself a few seconds later.
	releaseTimeout = 2 * time.Second
)

// Batcher runs the queues of services: it combines jobs into calls and sends them to the backend
// servers. After a change of membership, several ingresses may batch for the same queue for a
// while. The only effect is that servers that are already full refuse some of their calls.
type Batcher struct {
	options BatcherOptions

	lock sync.Mutex
	// queues is keyed by queue name.
	queues map[string]*jobQueue
	// toRelease holds the releases that are gathered, by the address of the server that holds the
	// results.
	toRelease map[netip.AddrPort]*release
	// servers holds the servers that produce results by their addresses.
	servers   map[netip.AddrPort]site.Server
	lastJobID uint64
}

// release is a call that lets a server discard results.
type release struct {
	handles []queueHandle
	// since is when the first of the handles was added.
	since time.Time
}

// queueHandle is the handle of a result that was produced by a queue.
type queueHandle struct {
	queue  string
	handle string
}

// jobQueue is one queue of a service, with the callers that wait for its jobs.
type jobQueue struct {
	service string
	planner *batch.Planner
	// waiters maps job IDs to the channels of the callers that wait.
	waiters map[uint64]chan batch.Completion
}

// NewBatcher returns a Batcher without servers.
func NewBatcher(options BatcherOptions) *Batcher {
	return &Batcher{options: options, queues: map[string]*jobQueue{}, toRelease: map[netip.AddrPort]*release{}, servers: map[netip.AddrPort]site.Server{}}
}

// Start starts the goroutines of the batcher. They run until the context ends.
func (b *Batcher) Start(ctx context.Context) {
	go b.loopTick(ctx)
	go b.loopRelease(ctx)
}

// SetView replaces the servers of all queues with those of a new view. A view without a
// configuration is ignored.
func (b *Batcher) SetView(v *state.View) {
	if v.Table == nil {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.servers = map[netip.AddrPort]site.Server{}
	for _, s := range v.Table.Config().Services {
		if s.Pool == nil {
			continue
		}
		for _, server := range v.Servers[s.Name] {
			b.servers[server.Address] = server
		}
		b.setServers(s, shard.QueueName(s.Name, ""), v.Servers[s.Name])
		for region, servers := range shard.GroupByRegion(v.Servers[s.Name], b.options.Regions) {
			b.setServers(s, shard.QueueName(s.Name, region), servers)
		}
	}
}

// setServers replaces the servers of one queue and creates the queue if needed. The caller holds
// the lock.
func (b *Batcher) setServers(s site.Service, name string, servers []site.Server) {
	q := b.queues[name]
	if q == nil {
		q = b.newQueue(s)
		b.queues[name] = q
	}
	q.planner.SetPool(*s.Pool)
	b.perform(name, q, q.planner.SetServers(time.Now(), servers))
}

// newQueue returns a queue of a service. All queues of a service share its retry budget.
func (b *Batcher) newQueue(s site.Service) *jobQueue {
	planner := batch.NewPlanner(*s.Pool, b.options.Regions, func() bool { return b.mayRetry(s.Name) })
	planner.SetLimiter(b.options.Limits)
	planner.SetPauses(b.options.Pauses)
	return &jobQueue{service: s.Name, planner: planner, waiters: map[uint64]chan batch.Completion{}}
}

// mayRetry takes the retry of a call from the budget of a service. It returns false if the budget is
// exhausted.
func (b *Batcher) mayRetry(service string) bool {
	d := b.options.Retries.TakeRetry(service)
	ledger.LogDecision(b.options.Log.With(zap.String("service", service)), "call", d)
	if d.Granted {
		b.options.Retries.RecordSent(service) // its items join the calls that are sent next
	}
	return d.Granted
}

// Produce adds a job to a queue and waits for its end. If the context ends first, the job is
// canceled.
func (b *Batcher) Produce(ctx context.Context, queue string, j batch.Job) batch.Completion {
	b.lock.Lock()
	q := b.queues[queue]
	if q == nil {
		b.lock.Unlock()
		return batch.Completion{Outcome: batch.OutcomeNoServer, RetryAfter: time.Second}
	}
	b.lastJobID++
	j.ID = b.lastJobID
	done := make(chan batch.Completion, 1)
	q.waiters[j.ID] = done
	b.options.Retries.CountRequest(q.service)
	b.perform(queue, q, q.planner.Add(time.Now(), j))
	b.lock.Unlock()
	select {
	case c := <-done:
		return c
	case <-ctx.Done():
	}
	b.lock.Lock()
	b.perform(queue, q, q.planner.Cancel(time.Now(), j.ID))
	b.lock.Unlock()
	c := <-done // the planner completes each job exactly once, a canceled one too
	if c.Outcome == batch.OutcomeMade {
		b.Discard(queue, c.Handles)
	}
	return batch.Completion{Outcome: batch.OutcomeCanceled, InputsReleased: c.InputsReleased}
}

// Backlogs returns the backlog of each queue that has jobs at this ingress.
func (b *Batcher) Backlogs() []*wire.Outlook {
	b.lock.Lock()
	defer b.lock.Unlock()
	backlogs := []*wire.Outlook{}
	for name, q := range b.queues {
		if q.planner.CountJobs() == 0 {
			continue
		}
		backlogs = append(backlogs, encodeBacklog(name, q.planner.Backlog(time.Now())))
	}
	return backlogs
}

// perform carries out the actions that the planner of a queue has decided on. The caller holds the
// lock.
func (b *Batcher) perform(queue string, q *jobQueue, a batch.Actions) {
	for _, c := range a.Completions {
		if waiter := q.waiters[c.JobID]; waiter != nil {
			delete(q.waiters, c.JobID)
			waiter <- c
		}
	}
	b.queueRelease(queue, a.Release)
	for _, c := range a.Crashes {
		if b.options.OnCrash != nil {
			b.options.OnCrash(c)
		}
	}
	for _, in := range a.ReleaseInputs {
		go b.runReleaseInputs(in)
	}
	for _, c := range a.Calls {
		go b.runCall(queue, q, c)
	}
}

// runReleaseInputs releases the inputs of a job after all its servers have fetched them.
func (b *Batcher) runReleaseInputs(in batch.JobInputs) {
	b.options.Log.Info("inputs-released", zap.String("request", in.AttemptID), zap.String("service", in.Service),
		zap.Int("handles", len(in.Handles)))
	b.options.Discard(in.Service, in.Handles)
}
