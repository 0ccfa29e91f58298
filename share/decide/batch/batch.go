// Package batch decides how the results of stages are produced: which items of which
// requests share a call, which backend server the call goes to, and when it is sent.
//
// One planner holds the whole queue of a service. If many callers batched separately, their
// calls would be nearly empty, and most of the cost of a call is its fixed time; a single queue
// fills the calls. Two planners for the same service, which can exist for a while after a change
// of membership, cost some refused calls and nothing else.
package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// Job asks for the results of one stage of one request.
type Job struct {
	// ID is assigned by the caller of the planner and unique within the planner.
	ID        uint64
	AttemptID string
	// RequestDigest is the same for all attempts of a request.
	RequestDigest string
	Stage         int
	Count         int
	Key           string
	Inputs        []string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Target is when the results must be ready for the request to be on time, Expires the
	// time after which they are useless.
	Target  time.Time
	Expires time.Time
	// Rank orders the requests; lower ranks are more urgent.
	Rank site.Rank
	// Team is the team of the request's caller; empty: none.
	Team string
	// Domain is the failure domain in which the results will be used; empty if it is not known.
	Domain string
	// InputService is the service that produced the inputs if only this job needs them: they
	// are released once they have been fetched. If empty, the planner does not release them.
	InputService string
	// InputBytes is the approximate size of all inputs together.
	InputBytes int64
	// IsFallback is set if the ingress that batches for the queue could not be reached. It may still count the
	// requests to servers that state a rate, so that the job leaves these alone.
	IsFallback bool
	// Residency limits the regions of the servers that may produce the results.
	Residency site.Residency
}

// Outcome describes how a job ended.
type Outcome string

// The outcomes.
const (
	OutcomeMade Outcome = "made"
	// OutcomeBusy means that the job cannot be done in time.
	OutcomeBusy Outcome = "busy"
	// OutcomeExpired means that the time of the job ran out.
	OutcomeExpired Outcome = "expired"
	// OutcomeInputGone means that an input no longer exists; the caller may produce it again.
	OutcomeInputGone Outcome = "gone"
	// OutcomeFailed means that the job failed too often or that the retry budget is used up.
	OutcomeFailed Outcome = "failed"
	// OutcomeNoServer means that no backend server may run the job.
	OutcomeNoServer Outcome = "no-server"
	// OutcomeCanceled means that the caller canceled the job.
	OutcomeCanceled Outcome = "canceled"
)

// Call is one call to be sent to a backend server.
type Call struct {
	ID     uint64
	Server site.Server
	Items  []site.Item
	// Timeout is how long to wait for the answer before the call is canceled.
	Timeout time.Duration
	// HeldBytes is the memory that other results take at the server, as planned; QueuedItems
	// is the number of items that stayed in the queue; LimitedServers is the number of servers of
	// the queue that state a rate limit.
	HeldBytes      int64
	QueuedItems    int
	LimitedServers int
	refs           []itemRef
	// shared is set once another call of this planner was at the server at the same time.
	shared  bool
	started time.Time
	// turn is the approximate time at which the server starts the call.
	turn time.Time
	// expected is the duration of the call at the speed stated by the service.
	expected time.Duration
	// inputsFetchedAt is when the server has certainly fetched the inputs; zero if that is
	// not known or inputsFetched is already set.
	inputsFetchedAt time.Time
	// inputsFetched is set once inputsFetchedAt has passed.
	inputsFetched bool
}

// itemRef identifies the job and the result that an item of a call belongs to.
type itemRef struct {
	job   *job
	index int
}

// Completion reports the end of a job.
type Completion struct {
	JobID   uint64
	Outcome Outcome
	// Handles names the results of a job whose outcome is OutcomeMade.
	Handles    []string
	RetryAfter time.Duration
	// Backlog is the queue that a new job would find.
	Backlog delay.Backlog
	// InputsReleased is set if the planner has already handed out the inputs of the job for
	// release.
	InputsReleased bool
}

// JobInputs names the inputs of a job that have been fetched and are no longer needed.
type JobInputs struct {
	AttemptID string
	// Service is the service that produced the inputs.
	Service string
	Handles []string
}

// Actions lists what the caller of the planner must do.
type Actions struct {
	Calls       []Call
	Completions []Completion
	// Release holds the handles of results to be released.
	Release []string
	// ReleaseInputs holds the inputs to be released.
	ReleaseInputs []JobInputs
	// Crashes lists the calls that failed after they were sent, while the server had only the
	// items of one job.
	Crashes []Crash
}

// Crash describes a call with the items of a single job that failed after it was sent. The
// request may have crashed the server.
type Crash struct {
	RequestDigest string
	Server        site.Server
	SentAt        time.Time
}

// RetryFunc reports whether a call may be retried, and charges it to the retry budget.
type RetryFunc func() bool

// Planner holds the queue of one service. It is not safe for concurrent use.
type Planner struct {
	pool  site.Pool
	retry RetryFunc
	// regions maps failure domains to their regions.
	regions map[string]string
	limiter Limiter
	pauses  Pauses
	workers map[string]*worker
	queue   []*job
	jobs    map[uint64]*job
	calls   map[uint64]*Call
	lastID  uint64
	demand  *delay.Demand
	// suspects holds the digests of requests that were alone in a call that failed and for which
	// no result has been produced since.
	suspects map[string]bool
	// ready holds the workers sorted by ID, so that decisions do not depend on map order.
	ready []*worker
}

type job struct {
	Job
	arrived time.Time
	// queued holds the indexes of the items that are in no call.
	queued   []int
	handles  []string
	produced int
	retries  int
	ended    bool
	// failedCalls counts the calls with items of the job that failed after they were sent.
	failedCalls int
	// fetched counts the items whose servers have fetched the inputs.
	fetched int
	// inputsReleased is set once the inputs have been handed out for release.
	inputsReleased bool
}

// suspectAfter is the number of failed calls after which a job no longer shares calls. Most
// servers crash for reasons of their own, and a call with a single job uses its server poorly.
const suspectAfter = 2

// isSuspect reports whether the items of a job may be what crashes servers.
func (p *Planner) isSuspect(j *job) bool {
	return j.failedCalls >= suspectAfter || p.suspects[j.RequestDigest]
}

// NewPlanner returns a planner without backend servers. Regions maps failure domains to their
// regions.
func NewPlanner(pool site.Pool, regions map[string]string, retry RetryFunc) *Planner {
	return &Planner{
		pool:     pool,
		retry:    retry,
		regions:  regions,
		limiter:  quota.NewLimiter(),
		pauses:   avail.NewTable(),
		workers:  map[string]*worker{},
		jobs:     map[uint64]*job{},
		calls:    map[uint64]*Call{},
		demand:   delay.NewDemand(),
		suspects: map[string]bool{},
	}
}

// SetPool replaces the description of the service.
func (p *Planner) SetPool(pool site.Pool) { p.pool = pool }

// SetServers replaces the set of backend servers that accept work.
func (p *Planner) SetServers(now time.Time, servers []site.Server) Actions {
	live := map[string]bool{}
	p.ready = p.ready[:0]
	for _, s := range servers {
		live[s.ID] = true
		w := p.workers[s.ID]
		if w == nil || w.server.Incarnation != s.Incarnation || w.server.Address != s.Address {
			w = newWorker(s)
			p.workers[s.ID] = w
		}
		w.server = s
		p.ready = append(p.ready, w)
	}
	slices.SortFunc(p.ready, func(a, b *worker) int { return compareText(a.server.ID, b.server.ID) })
	for id := range p.workers {
		if !live[id] {
			delete(p.workers, id)
		}
	}
	return p.plan(now)
}

// Add queues a job. A job that cannot be done in time is refused at once, so that its
// caller learns when to retry while there is still time for that.
func (p *Planner) Add(now time.Time, j Job) Actions {
	a := Actions{}
	if !p.hasServer(now, j) {
		p.complete(&a, now, Completion{JobID: j.ID, Outcome: OutcomeNoServer, RetryAfter: p.noServerWait(now, j)})
		return a
	}
	if p.isOnTime(now, j) {
		p.demand.Add(now, j.Rank, j.Count)
	}
	wait := p.predictWait(now, j)
	if now.Add(wait+p.pool.CallTime).After(j.Expires) || !p.canProduce(now, j) {
		p.complete(&a, now, Completion{JobID: j.ID, Outcome: OutcomeBusy, RetryAfter: wait})
		return a
	}
	added := &job{Job: j, arrived: now, handles: make([]string, j.Count)}
	for i := range j.Count {
		added.queued = append(added.queued, i)
	}
	p.jobs[j.ID] = added
	p.queue = append(p.queue, added)
	return p.plan(now)
}

// Cancel ends a job and releases the results that it already has.
func (p *Planner) Cancel(now time.Time, id uint64) Actions {
	j := p.jobs[id]
	if j == nil {
		return Actions{}
	}
	a := Actions{}
	p.endJob(&a, now, j, Completion{JobID: id, Outcome: OutcomeCanceled})
	a.add(p.plan(now))
	return a
}

// Tick ends expired jobs and sends the calls that can be sent.
func (p *Planner) Tick(now time.Time) Actions { return p.plan(now) }

// CountJobs returns the number of jobs that have not ended.
func (p *Planner) CountJobs() int { return len(p.jobs) }

// CountQueuedItems returns the number of items that are in no call.
func (p *Planner) CountQueuedItems() int {
	n := 0
	for _, j := range p.queue {
		n += len(j.queued)
	}
	return n
}

// MarkReleased records that servers no longer hold the given results.
func (p *Planner) MarkReleased(now time.Time, handles []string) Actions {
	for _, w := range p.workers {
		for _, h := range handles {
			w.release(h)
		}
	}
	return p.plan(now)
}

func (a *Actions) add(b Actions) {
	a.Calls = append(a.Calls, b.Calls...)
	a.Completions = append(a.Completions, b.Completions...)
	a.Release = append(a.Release, b.Release...)
	a.ReleaseInputs = append(a.ReleaseInputs, b.ReleaseInputs...)
	a.Crashes = append(a.Crashes, b.Crashes...)
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
