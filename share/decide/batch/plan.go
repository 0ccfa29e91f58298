package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRepeats bounds how often an item is sent again: a restarted server, a refusal and one more.
	maxRepeats = 3
	// noServerPause is what a caller is told to wait for while no backend server is registered:
	// a registration shows about a heartbeat after a start.
	noServerPause = time.Second
	// roomPart is the part of a server's memory that is planned for; sizes are approximate.
	roomPart = 0.95
	// maxPaceRatio is how much slower than the fastest a server may be and still be given
	// work while the queue fits into the calls of the others.
	maxPaceRatio = 2.5
)

// plan expires, orders and sends.
func (p *Planner) plan(now time.Time) Actions {
	a := Actions{}
	p.expire(&a, now)
	p.noteDue(&a, now)
	if len(p.queue) == 0 {
		return a
	}
	p.order(now)
	p.shed(&a, now)
	passed := map[*worker]bool{}
	for len(p.queue) > 0 {
		w := p.chooseWorker(now, passed)
		if w == nil {
			return a
		}
		if !p.fill(&a, now, w) {
			passed[w] = true // it has no memory, or nothing is for its domain yet
		}
	}
	return a
}

func (p *Planner) expire(a *Actions, now time.Time) {
	for _, j := range slices.Clone(p.queue) {
		switch {
		case !now.Add(p.pool.CallTime).Before(j.Expires):
			p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeExpired})
		case len(p.ready) > 0 && !p.hasServer(j.Job):
			p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeNoServer, RetryAfter: noServerPause})
		}
	}
	for _, w := range p.workers {
		w.expire(now)
	}
}

// order puts first what can still be on time, by rank and then by arrival; what is
// late anyway gets what is left, in the same order. Ordering by deadline alone
// spends an overload on requests that are about to be late.
//
// Rank goes before arrival. Guards against a burst in which requests with one stage
// push out those with three, whatever the operators ranked first: each of the three
// queues by arrival, and one lost turn is enough to be late.
//
// Before all of them go jobs of which some results are made or being made. Guards
// against a memory that fills with parts of jobs: where few results fit, jobs are
// split over calls, and what was made of one takes memory until the rest is, behind
// whatever came since.
func (p *Planner) order(now time.Time) {
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		if a.isBegun() != b.isBegun() {
			if a.isBegun() {
				return -1
			}
			return 1
		}
		aOn, bOn := p.isOnTime(now, a.Job), p.isOnTime(now, b.Job)
		if aOn != bOn {
			if aOn {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
			return c
		}
		return a.arrived.Compare(b.arrived)
	})
}

// shed gives up late jobs that will not have their turn before they are of no use:
// those that can be on time go on coming and pass them. Their callers learn it now, and
// when there will be room, in place of seconds later. What was begun, here or in an
// earlier stage, is not given up.
func (p *Planner) shed(a *Actions, now time.Time) {
	o := p.Outlook(now)
	if o.Rate == 0 {
		return
	}
	before := o.OnTime.Sum()
	for _, j := range slices.Clone(p.queue) {
		if p.isOnTime(now, j.Job) {
			continue
		}
		wait := o.ProcessingTime(before+float64(len(j.todo)), o.Demand.Sum())
		if !j.isBegun() && len(j.Inputs) == 0 && now.Add(wait+p.pool.CallTime).After(j.Expires) {
			p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeBusy, RetryAfter: wait})
			continue
		}
		before += float64(len(j.todo))
	}
}

// isOnTime tells whether a job that is in a call now is done before its target. Where
// it matters, under load, calls are full.
func (p *Planner) isOnTime(now time.Time, j Job) bool {
	return now.Add(p.fullCall()).Before(j.Target)
}

// fullCall is how long a call with a full batch takes.
func (p *Planner) fullCall() time.Duration {
	return p.pool.CallTime + time.Duration(p.pool.Batch)*p.pool.ItemTime
}

// isBegun tells whether some results of the job are made or being made.
func (j *job) isBegun() bool { return len(j.todo) < j.Count }

// chooseWorker returns the fastest idle server, or nil where waiting for a busy one is better.
func (p *Planner) chooseWorker(now time.Time, passed map[*worker]bool) *worker {
	idle, soon := []*worker{}, []*worker{}
	fastest := math.Inf(1)
	healthy := 0
	for _, w := range p.ready {
		if now.Before(w.suspectUntil) {
			continue
		}
		healthy++
		fastest = min(fastest, w.pace)
		if w.calls == 0 && !passed[w] {
			idle = append(idle, w)
		}
		if p.pool.Queue > 0 && w.isSoonFree(now) && !passed[w] && !p.isSuspect(w.current.jobs[0].job) {
			soon = append(soon, w)
		}
	}
	if healthy == 0 {
		return p.probeWorker(passed)
	}
	items := p.CountItems()
	if len(idle) == 0 {
		idle = soon
	}
	idle = slices.DeleteFunc(idle, func(w *worker) bool {
		return w.pace > maxPaceRatio*fastest && items <= (healthy-1)*p.pool.Batch
	})
	if len(idle) == 0 {
		return nil
	}
	return slices.MinFunc(idle, func(a, b *worker) int {
		if c := cmp.Compare(math.Round(a.pace*paceSteps), math.Round(b.pace*paceSteps)); c != 0 {
			return c
		}
		return cmp.Compare(a.used, b.used)
	})
}

// paceSteps rounds paces to quarters, so that small differences do not gather all work at one server.
const paceSteps = 4

// probeWorker returns the server whose failure is the oldest: with all of them
// in doubt, refusing everything would leave none to be tried again.
func (p *Planner) probeWorker(passed map[*worker]bool) *worker {
	var best *worker
	for _, w := range p.ready {
		if w.calls > 0 || passed[w] {
			continue
		}
		if best == nil || w.suspectUntil.Before(best.suspectUntil) {
			best = w
		}
	}
	return best
}

// sortFor returns the jobs that may go to a server: first those that are begun,
// wherever it stands, then those whose results are used in its failure domain, then
// those that do not wait for a server of their own domain any more.
func (p *Planner) sortFor(now time.Time, w *worker) []*job {
	begun, near, far := []*job{}, []*job{}, []*job{}
	for _, j := range p.queue {
		switch {
		case !p.allows(j.Job, w):
		case j.isBegun():
			begun = append(begun, j)
		case j.Domain == "" || j.Domain == w.server.Domain || !p.serves(j.Domain):
			near = append(near, j)
		case p.goesFar(now, j):
			far = append(far, j)
		}
	}
	return slices.Concat(begun, near, far)
}

const (
	// waitPerByte is how long a job waits for a server of its own failure domain for each
	// byte that would cross between domains.
	waitPerByte = 240 * time.Nanosecond
	// slackPart is the part of the time to spare that a job may spend on that.
	slackPart = 0.9
)

// patience is how long a job waits for a server of its own failure domain. Bytes that
// cross between domains are charged for, and time that a request has is free; so it
// waits by what would cross, and for most of what it can spare at the most.
//
// A fixed wait costs each stage the same, whatever it saves, and servers idle while small
// results wait.
func (p *Planner) patience(now time.Time, j *job) time.Duration {
	crossing := int64(len(j.todo)) * max(j.ResultBytes, j.InputBytes)
	spare := max(j.Target.Sub(now)-p.fullCall(), 0)
	return min(time.Duration(crossing)*waitPerByte, time.Duration(slackPart*float64(spare)))
}

// goesFar tells whether a job takes a server of another failure domain: where none of
// its own is free before its patience ends.
func (p *Planner) goesFar(now time.Time, j *job) bool {
	ends := j.arrived.Add(p.patience(now, j))
	if !now.Before(ends) {
		return true
	}
	for _, w := range p.ready {
		if w.server.Domain == j.Domain && !now.Before(w.suspectUntil) && !w.freeAt().After(ends) {
			return false
		}
	}
	return true
}

// allows tells whether a job's results may be made at a server.
func (p *Planner) allows(j Job, w *worker) bool {
	return j.Residency.Allows(p.regions[w.server.Domain])
}

// hasServer tells whether there is a server that may make a job's results.
func (p *Planner) hasServer(j Job) bool {
	return slices.ContainsFunc(p.ready, func(w *worker) bool { return p.allows(j, w) })
}

// serves tells whether a server stands in the failure domain.
func (p *Planner) serves(domain string) bool {
	return slices.ContainsFunc(p.ready, func(w *worker) bool { return w.server.Domain == domain })
}

// predictWait estimates how long a new job waits until its last item is in a call:
// behind what goes before it, and behind all that can be on time if it cannot.
func (p *Planner) predictWait(now time.Time, j Job) time.Duration {
	o := p.Outlook(now)
	if p.isOnTime(now, j) {
		o.OnTime[j.Rank] += float64(j.Count)
		return o.Wait(j.Rank)
	}
	o.Late[j.Rank] += float64(j.Count)
	return o.LateWait(j.Rank)
}

// rate returns the items a second that the servers make in full calls.
func (p *Planner) rate(now time.Time) float64 {
	rate := 0.0
	for _, w := range p.ready {
		if now.Before(w.suspectUntil) {
			continue
		}
		rate += float64(p.pool.Batch) / (p.fullCall().Seconds() * w.pace)
	}
	return rate
}
