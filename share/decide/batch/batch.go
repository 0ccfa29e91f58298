// Package batch decides how the results that stages need are made: which
// items of which requests share a call, at which backend server, and when.
//
// One planner holds the whole queue of a service. Many callers that each
// batch alone send calls that are nearly empty, and a call costs mostly its fixed
// time; one queue fills the calls. Two planners for the same service, as after
// a change of membership, cost calls that are refused and nothing else.
package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

// Job asks for the results of one stage of one request.
type Job struct {
	// ID is given by the planner's caller and unique in it.
	ID        uint64
	AttemptID string
	// Request is the same for all attempts of a request.
	Request string
	Stage   int
	Count   int
	Key     string
	Inputs  []string
	// ResultBytes is about the size of one result.
	ResultBytes int64
	// Target is when the results must be made for the request to be on time,
	// Expires when they are of no use at all.
	Target  time.Time
	Expires time.Time
	// Rank orders the request; the lower is the more urgent.
	Rank site.Rank
	// Domain is where the results will be used; empty: open.
	Domain string
	// InputService made the inputs, where nothing but this job needs them: they are
	// released once they were fetched. Empty: they are kept.
	InputService string
	// InputBytes is about the size of all inputs together.
	InputBytes int64
	// Residency bounds the regions of the servers that may make the results.
	Residency site.Residency
}

// Outcome says how a job ended.
type Outcome string

// The outcomes.
const (
	OutcomeMade Outcome = "made"
	// OutcomeBusy jobs cannot be done in time.
	OutcomeBusy Outcome = "busy"
	// OutcomeExpired jobs ran out of time in the queue.
	OutcomeExpired Outcome = "expired"
	// OutcomeGone jobs miss an input, which the caller may make again.
	OutcomeGone Outcome = "gone"
	// OutcomeFailed jobs failed too often.
	OutcomeFailed Outcome = "failed"
	// OutcomeNoServer jobs found no backend server of the service.
	OutcomeNoServer Outcome = "no-server"
	// OutcomeCanceled jobs were given up by their caller.
	OutcomeCanceled Outcome = "canceled"
)

// Call is one call to be sent to a backend server.
type Call struct {
	ID     uint64
	Server site.Server
	Items  []site.Item
	// Timeout is when the call is given up.
	Timeout time.Duration
	// Held is the memory in bytes that other results took at the server, as planned;
	// Waiting the number of items that stayed in the queue.
	Held    int64
	Waiting int
	jobs    []placed
	// shared is set once another call of this planner was at the server beside it.
	shared  bool
	started time.Time
	// turn is about when the server begins it.
	turn time.Time
	// expected is how long the call takes at the service's stated pace.
	expected time.Duration
	// fetchedAt is when the server has surely fetched the inputs; zero: not known, or noted.
	fetchedAt time.Time
	// fetched is set once that was noted.
	fetched bool
}

// placed says which result of which job an item of a call is.
type placed struct {
	job   *job
	index int
}

// Done is the end of a job. Handles of a job that was not made are to be released.
type Done struct {
	JobID      uint64
	Outcome    Outcome
	Handles    []string
	RetryAfter time.Duration
	// Outlook is the queue that the next jobs meet.
	Outlook delay.Backlog
	// InputsReleased tells that the job's inputs are not held any more.
	InputsReleased bool
}

// Inputs are results of another service that a job has used up.
type Inputs struct {
	AttemptID string
	Service   string
	Handles   []string
}

// Actions are what the planner wants done.
type Actions struct {
	Calls []Call
	Done  []Done
	// Release holds the handles to be given up.
	Release []string
	// Fetched holds the inputs to be given up.
	Fetched []Inputs
	// Crashes are the calls that broke off with one request's items alone in them.
	Crashes []Crash
}

// Crash is a call that broke off its server with the items of one request in it.
type Crash struct {
	Request string
	Server  site.Server
	Sent    time.Time
}

// RepeatFunc asks for permission to send n calls once more.
type RepeatFunc func(now time.Time, n int) bool

// Planner holds the queue of one service; its caller guards it.
type Planner struct {
	pool   site.Pool
	repeat RepeatFunc
	// regions maps failure domains to their regions.
	regions map[string]string
	workers map[string]*worker
	queue   []*job
	jobs    map[uint64]*job
	calls   map[uint64]*Call
	lastID  uint64
	demand  *delay.Demand
	// blamed are the requests that were alone in a call that broke off, and of which nothing was made since.
	blamed map[string]bool
	// ready are the workers by ID, so that choices do not depend on the order of a map.
	ready []*worker
}

type job struct {
	Job
	arrived time.Time
	// todo holds the numbers of the items that are in no call.
	todo    []int
	handles []string
	made    int
	repeats int
	over    bool
	// broken counts the calls with items of the job that broke off.
	broken int
	// fetched counts the items whose servers have fetched the inputs.
	fetched int
	// released is set once the inputs were given up.
	released bool
}

// suspectAfter is how many of a job's calls break off before it shares no more of them. Most
// servers crash by themselves, and a call with one job in it uses its server badly.
const suspectAfter = 2

// isSuspect tells whether the items of a job may be what crashes servers.
func (p *Planner) isSuspect(j *job) bool { return j.broken >= suspectAfter || p.blamed[j.Request] }

// NewPlanner returns a planner without backend servers. Regions maps failure domains to their regions.
func NewPlanner(pool site.Pool, regions map[string]string, repeat RepeatFunc) *Planner {
	return &Planner{
		pool:    pool,
		repeat:  repeat,
		regions: regions,
		workers: map[string]*worker{},
		jobs:    map[uint64]*job{},
		calls:   map[uint64]*Call{},
		demand:  delay.NewDemand(),
		blamed:  map[string]bool{},
	}
}

// SetPool takes the service's new description.
func (p *Planner) SetPool(pool site.Pool) { p.pool = pool }

// SetServers takes the backend servers that accept work.
func (p *Planner) SetServers(now time.Time, servers []site.Server) Actions {
	live := map[string]bool{}
	p.ready = p.ready[:0]
	for _, s := range servers {
		live[s.ID] = true
		w := p.workers[s.ID]
		if w == nil || w.server.Born != s.Born || w.server.Address != s.Address {
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

// Add takes a job. A job that cannot be done in time is refused at once, so
// that its caller learns when to come back while it still can.
func (p *Planner) Add(now time.Time, j Job) Actions {
	a := Actions{}
	if !p.hasServer(j) {
		p.tell(&a, now, Done{JobID: j.ID, Outcome: OutcomeNoServer, RetryAfter: noServerPause})
		return a
	}
	if p.isOnTime(now, j) {
		p.demand.Add(now, j.Rank, j.Count)
	}
	wait := p.predictWait(now, j)
	if now.Add(wait + p.pool.CallTime).After(j.Expires) {
		p.tell(&a, now, Done{JobID: j.ID, Outcome: OutcomeBusy, RetryAfter: wait})
		return a
	}
	queued := &job{Job: j, arrived: now, handles: make([]string, j.Count)}
	for i := range j.Count {
		queued.todo = append(queued.todo, i)
	}
	p.jobs[j.ID] = queued
	p.queue = append(p.queue, queued)
	return p.plan(now)
}

// Cancel gives up a job; what was made of it is released.
func (p *Planner) Cancel(now time.Time, id uint64) Actions {
	j := p.jobs[id]
	if j == nil {
		return Actions{}
	}
	a := Actions{}
	p.finish(&a, now, j, Done{JobID: id, Outcome: OutcomeCanceled})
	a.add(p.plan(now))
	return a
}

// Tick drops what ran out of time and sends what can be sent.
func (p *Planner) Tick(now time.Time) Actions { return p.plan(now) }

// Count returns the number of jobs that are not over.
func (p *Planner) Count() int { return len(p.jobs) }

// CountItems returns how many items wait for a call.
func (p *Planner) CountItems() int {
	n := 0
	for _, j := range p.queue {
		n += len(j.todo)
	}
	return n
}

// Released notes that a result is not held any more.
func (p *Planner) Released(now time.Time, handles []string) Actions {
	for _, w := range p.workers {
		for _, h := range handles {
			w.release(h)
		}
	}
	return p.plan(now)
}

func (a *Actions) add(b Actions) {
	a.Calls = append(a.Calls, b.Calls...)
	a.Done = append(a.Done, b.Done...)
	a.Release = append(a.Release, b.Release...)
	a.Fetched = append(a.Fetched, b.Fetched...)
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
