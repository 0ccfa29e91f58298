package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRetries limits the retries of a job, per item on average: one for a restarted
	// server, one for a refusal, and one to spare.
	maxRetries = 3
	// noServerRetryAfter is the time after which a caller may retry if no backend server is
	// registered: a registration becomes visible about one heartbeat after a server starts.
	noServerRetryAfter = time.Second
	// plannedMemoryShare is the share of a server's memory that is planned for; result
	// sizes are approximate.
	plannedMemoryShare = 0.95
	// maxSlowdownRatio is how much slower than the fastest server another one may be and
	// still get work while the queue fits into the calls of the others.
	maxSlowdownRatio = 2.5
)

// plan drops what has expired, sorts the queue and sends the calls that can be sent.
func (p *Planner) plan(now time.Time) Actions {
	a := Actions{}
	p.expire(&a, now)
	p.releaseFetchedInputs(&a, now)
	if len(p.queue) == 0 {
		return a
	}
	p.sortQueue(now)
	p.shed(&a, now)
	skipped := map[*worker]bool{}
	for len(p.queue) > 0 {
		w := p.chooseWorker(now, skipped)
		if w == nil {
			return a
		}
		if !p.fillCall(&a, now, w) {
			skipped[w] = true // no memory is free, or no job may or should go there yet
		}
	}
	return a
}

// expire ends jobs that have run out of time or for which no server is left, and drops results
// whose keep time has passed.
func (p *Planner) expire(a *Actions, now time.Time) {
	for _, j := range slices.Clone(p.queue) {
		switch {
		case !now.Add(p.pool.CallTime).Before(j.Expires):
			p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeExpired})
		case len(p.ready) > 0 && !p.hasServer(now, j.Job):
			p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeNoServer, RetryAfter: p.noServerWait(now, j.Job)})
		}
	}
	for _, w := range p.workers {
		w.expire(now)
	}
}

// sortQueue puts jobs that can still be on time first, by rank and then by arrival. Late jobs
// get the remaining capacity, in the same order. Ordering by deadline alone would spend the
// capacity in an overload on requests that are about to be late.
//
// Rank precedes arrival. Otherwise, in a burst, requests with one stage push out requests with
// three, whatever ranks the operators gave them: each of the three stages queues by arrival, and
// a single missed turn is enough to be late.
//
// Jobs of which some results exist or are being produced precede all others. Otherwise memory
// fills with parts of jobs: where few results fit, jobs are split over calls, and the results of
// one part take memory until the rest is produced, behind all jobs that arrived in the meantime.
func (p *Planner) sortQueue(now time.Time) {
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		if a.isStarted() != b.isStarted() {
			if a.isStarted() {
				return -1
			}
			return 1
		}
		aOnTime, bOnTime := p.isOnTime(now, a.Job), p.isOnTime(now, b.Job)
		if aOnTime != bOnTime {
			if aOnTime {
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

// shed refuses late jobs that would not be sent before they expire, because jobs that can be on
// time keep arriving and overtake them. Their callers learn at once, instead of seconds later,
// when there will be capacity. Jobs that have been started, here or in an earlier stage, are kept.
func (p *Planner) shed(a *Actions, now time.Time) {
	b := p.Backlog(now)
	if b.Rate == 0 {
		return
	}
	queuedAhead := b.OnTime.Sum()
	for _, j := range slices.Clone(p.queue) {
		if p.isOnTime(now, j.Job) {
			continue
		}
		wait := b.ProcessingTime(queuedAhead+float64(len(j.queued)), b.Demand.Sum())
		if !j.isStarted() && len(j.Inputs) == 0 && now.Add(wait+p.pool.CallTime).After(j.Expires) {
			p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeBusy, RetryAfter: wait})
			continue
		}
		queuedAhead += float64(len(j.queued))
	}
}

// isOnTime reports whether a job meets its target if it is sent now. It assumes a full call:
// the answer only matters under load, and calls are full then.
func (p *Planner) isOnTime(now time.Time, j Job) bool {
	return now.Add(p.fullCallTime()).Before(j.Target)
}

// fullCallTime returns the duration of a call with a full batch.
func (p *Planner) fullCallTime() time.Duration {
	return p.pool.CallTime + time.Duration(p.pool.MaxBatch)*p.pool.ItemTime
}

// isStarted reports whether some results of the job exist or are being produced.
func (j *job) isStarted() bool { return len(j.queued) < j.Count }

// chooseWorker returns the fastest idle server, or else the fastest that is about to be idle. It
// returns nil if there is none, or if it is better to wait for a faster server that is busy. Servers
// that are paused, or whose rate limit does not allow a call, are left out.
func (p *Planner) chooseWorker(now time.Time, skipped map[*worker]bool) *worker {
	idle, soonIdle := []*worker{}, []*worker{}
	fastest := math.Inf(1)
	healthy := 0
	for _, w := range p.ready {
		if now.Before(w.backoffUntil) || p.isPaused(now, w) || !p.limiter.Allows(now, &w.server) {
			continue
		}
		healthy++
		fastest = min(fastest, w.slowdown)
		if w.inFlight == 0 && !skipped[w] {
			idle = append(idle, w)
		}
		if p.pool.QueueLimit > 0 && w.isSoonIdle(now) && !skipped[w] && !p.isSuspect(w.current.refs[0].job) {
			soonIdle = append(soonIdle, w)
		}
	}
	if healthy == 0 {
		return p.probeWorker(now, skipped)
	}
	items := p.CountQueuedItems()
	if len(idle) == 0 {
		idle = soonIdle
	}
	idle = slices.DeleteFunc(idle, func(w *worker) bool {
		return w.slowdown > maxSlowdownRatio*fastest && items <= (healthy-1)*p.pool.MaxBatch
	})
	if len(idle) == 0 {
		return nil
	}
	return slices.MinFunc(idle, func(a, b *worker) int {
		if c := cmp.Compare(math.Round(a.slowdown*slowdownSteps), math.Round(b.slowdown*slowdownSteps)); c != 0 {
			return c
		}
		return cmp.Compare(a.usedBytes, b.usedBytes)
	})
}

// slowdownSteps rounds slowdowns to quarters for the comparison of servers, so that small
// differences do not concentrate all work on one server.
const slowdownSteps = 4

// probeWorker returns the idle server whose backoff ends first. It is used when all servers are in
// backoff: if none got work, none would be probed.
func (p *Planner) probeWorker(now time.Time, skipped map[*worker]bool) *worker {
	var best *worker
	for _, w := range p.ready {
		if w.inFlight > 0 || skipped[w] || p.isPaused(now, w) || !p.limiter.Allows(now, &w.server) {
			continue
		}
		if best == nil || w.backoffUntil.Before(best.backoffUntil) {
			best = w
		}
	}
	return best
}

// candidates returns the jobs that may go to a server, in this order: jobs that have been started,
// whatever its failure domain; jobs whose results are used in its failure domain, or whose own
// domain is not known or has no server; and jobs that no longer wait for a server in their domain.
func (p *Planner) candidates(now time.Time, w *worker) []*job {
	started, local, remote := []*job{}, []*job{}, []*job{}
	for _, j := range p.queue {
		switch {
		case !p.allows(j.Job, w):
		case j.isStarted():
			started = append(started, j)
		case j.Domain == "" || j.Domain == w.server.Domain || !p.hasServerIn(j.Domain):
			local = append(local, j)
		case p.acceptsRemote(now, j):
			remote = append(remote, j)
		}
	}
	return slices.Concat(started, local, remote)
}

const (
	// localWaitPerByte is how long a job waits for a server in its own failure domain for
	// each byte that would otherwise cross between domains.
	localWaitPerByte = 240 * time.Nanosecond
	// maxSlackShare is the share of a job's slack that it may spend on that wait.
	maxSlackShare = 0.9
)

// localWait returns how long after its arrival a job waits for a server in its own failure domain.
// Traffic between failure domains is charged for, while the slack of a request costs nothing.
// Therefore the wait grows with the bytes that would cross, up to most of the slack.
//
// A fixed wait would cost every stage the same time whatever it saves, and servers would be idle
// while jobs with small results wait.
func (p *Planner) localWait(now time.Time, j *job) time.Duration {
	crossing := int64(len(j.queued)) * max(j.ResultBytes, j.InputBytes)
	slack := max(j.Target.Sub(now)-p.fullCallTime(), 0)
	return min(time.Duration(crossing)*localWaitPerByte, time.Duration(maxSlackShare*float64(slack)))
}

// acceptsRemote reports whether a job accepts a server in another failure domain: its local wait
// is over, or no healthy server in its own domain will be idle before the wait is over.
func (p *Planner) acceptsRemote(now time.Time, j *job) bool {
	ends := j.arrived.Add(p.localWait(now, j))
	if !now.Before(ends) {
		return true
	}
	for _, w := range p.ready {
		if w.server.Domain == j.Domain && !now.Before(w.backoffUntil) && p.isIdleBy(now, w, ends) {
			return false
		}
	}
	return true
}

// isIdleBy reports whether a server takes a call by the given time: it is idle, its pause is over, and its
// rate limit allows one.
func (p *Planner) isIdleBy(now time.Time, w *worker, at time.Time) bool {
	return !w.idleAt().After(at) && !p.pauses.PausedUntil(now, &w.server).After(at) && !p.limiter.NextAt(now, &w.server).After(at)
}

// allows reports whether the results of a job may be produced at a server.
func (p *Planner) allows(j Job, w *worker) bool {
	if !j.Residency.Allows(p.regions[w.server.Domain]) {
		return false
	}
	if !j.IsFallback {
		return true
	}
	_, limited := p.limiter.Find(&w.server)
	return !limited
}

// hasServer reports whether there is a server that may produce the results of a job.
func (p *Planner) hasServer(now time.Time, j Job) bool {
	return slices.ContainsFunc(p.ready, func(w *worker) bool { return p.takesWork(now, j, w) })
}

// hasServerIn reports whether there is a server in the failure domain.
func (p *Planner) hasServerIn(domain string) bool {
	return slices.ContainsFunc(p.ready, func(w *worker) bool { return w.server.Domain == domain })
}

// predictWait estimates how long a new job waits until its last item is in a call: behind all
// jobs that are served first, which include all on-time jobs if it cannot be on time itself.
func (p *Planner) predictWait(now time.Time, j Job) time.Duration {
	b := p.Backlog(now)
	if p.isOnTime(now, j) {
		b.OnTime[j.Rank] += float64(j.Count)
		return b.Wait(j.Rank)
	}
	b.Late[j.Rank] += float64(j.Count)
	return b.LateWait(j.Rank)
}

// canProduce reports whether all servers together could produce the results of a job before it expires, if they did
// nothing else.
func (p *Planner) canProduce(now time.Time, j Job) bool {
	calls := int(j.Expires.Sub(now)/max(p.pool.CallTime, time.Millisecond)) + 1
	return j.Count <= calls*p.pool.Slots*p.pool.MaxBatch*len(p.ready)
}

// rate returns how many items per second the servers that are neither in backoff nor paused process in
// full calls. A server with a rate limit processes no more calls than that.
func (p *Planner) rate(now time.Time) float64 {
	rate := 0.0
	for _, w := range p.ready {
		if now.Before(w.backoffUntil) || p.isPaused(now, w) {
			continue
		}
		rate += float64(p.pool.MaxBatch) * p.callRate(w)
	}
	return rate
}
