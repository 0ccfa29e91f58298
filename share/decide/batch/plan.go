package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

const (
	// maxRepeats bounds how often an item is sent again: a restarted server, a refusal and one more.
	maxRepeats = 3
	// noServerPause is what a caller is told to wait for while no backend server is registered:
	// a registration shows about a heartbeat after a start.
	noServerPause = time.Second
	// priorityLead is how much earlier a job counts as arrived for each rank of urgency.
	// It lets the urgent pass within about one call and starves nobody.
	priorityLead = 150 * time.Millisecond
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
		if !now.Add(p.pool.CallTime).Before(j.Expires) {
			p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeExpired})
		}
	}
	for _, w := range p.workers {
		w.expire(now)
	}
}

// order puts first what can still be on time, by arrival with a lead for
// urgency; what is late anyway gets what is left. Ordering by deadline alone
// spends an overload on requests that are about to be late.
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
		return a.rank().Compare(b.rank())
	})
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

func (j *job) rank() time.Time {
	return j.arrived.Add(time.Duration(j.Priority) * priorityLead)
}

// chooseWorker returns the fastest idle server, or nil where waiting for a busy one is better.
func (p *Planner) chooseWorker(now time.Time, passed map[*worker]bool) *worker {
	idle := []*worker{}
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
	}
	if healthy == 0 {
		return p.probeWorker(passed)
	}
	items := p.CountItems()
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

// fill sends one call with the first jobs of the queue that fit the server; false where none does.
func (p *Planner) fill(a *Actions, now time.Time, w *worker) bool {
	used := w.used + w.foreignAt(now, p.pool.KeepTime)
	d := draft{
		call: Call{Server: w.server, Held: used, started: now},
		room: int64(roomPart*float64(p.pool.RoomBytes)) - used,
		most: p.pool.Batch,
		// A result larger than the whole memory is tried alone: its size is approximate.
		empty: used == 0,
	}
	jobs := p.sortFor(now, w)
	for _, j := range jobs {
		if d.fits(j, len(j.todo)) || now.Sub(j.arrived) >= splitAfter {
			d.take(now, j)
		}
	}
	if len(d.call.Items) == 0 && len(jobs) > 0 {
		d.take(now, jobs[0])
	}
	if len(d.call.Items) == 0 || p.shouldWait(now, w, d, jobs) {
		d.putBack()
		return false
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.todo) == 0 })
	p.send(a, w, d)
	return true
}

const (
	// splitAfter is how long a job waits to be taken whole. A job in two calls is done
	// with the later one, and its other results take memory until then.
	splitAfter = 400 * time.Millisecond
	// smallPart is the part of a batch below which a call is small.
	smallPart = 0.5
	// smallWait is how long an idle server with little memory left waits for some: a
	// call takes 200 ms before its first result in both deployments, and
	// with one result in it the server makes a tenth of what it could.
	smallWait = 150 * time.Millisecond
)

// shouldWait tells whether a call is small for lack of memory alone, so that it
// pays to wait until results are released.
func (p *Planner) shouldWait(now time.Time, w *worker, d draft, jobs []*job) bool {
	left := 0
	for _, j := range jobs {
		left += len(j.todo)
	}
	small := len(d.call.Items) < int(smallPart*float64(p.pool.Batch)) && left >= len(d.call.Items)
	if !small || w.used == 0 {
		w.waitingSince = time.Time{}
		return false
	}
	if w.waitingSince.IsZero() {
		w.waitingSince = now
	}
	if now.Sub(w.waitingSince) >= smallWait {
		w.waitingSince = time.Time{}
		return false
	}
	return true
}

func (p *Planner) send(a *Actions, w *worker, d draft) {
	call := d.call
	p.lastID++
	call.ID = p.lastID
	call.expected = p.pool.CallTime + time.Duration(len(call.Items))*p.pool.ItemTime
	call.Timeout = w.timeout(call.expected)
	call.Waiting = p.CountItems()
	call.fetchedAt = p.predictFetch(w, &call)
	w.start(call.ID, d.bytes)
	p.calls[call.ID] = &call
	a.Calls = append(a.Calls, call)
}

// draft is a call that is being filled.
type draft struct {
	call  Call
	room  int64
	bytes int64
	most  int
	empty bool
}

func (d *draft) fits(j *job, n int) bool {
	if len(d.call.Items)+n > d.most {
		return false
	}
	return d.bytes+int64(n)*j.ResultBytes <= d.room || d.empty && len(d.call.Items) == 0 && n == 1
}

// take puts as many items of a job into the call as fit.
func (d *draft) take(now time.Time, j *job) {
	for len(j.todo) > 0 && d.fits(j, 1) {
		index := j.todo[0]
		j.todo = j.todo[1:]
		d.bytes += j.ResultBytes
		d.call.Items = append(d.call.Items, j.item(now, index))
		d.call.jobs = append(d.call.jobs, placed{job: j, index: index})
	}
}

// putBack returns the items to their jobs.
func (d *draft) putBack() {
	for i := len(d.call.jobs) - 1; i >= 0; i-- {
		place := d.call.jobs[i]
		place.job.todo = append([]int{place.index}, place.job.todo...)
	}
}

func (j *job) item(now time.Time, index int) site.Item {
	return site.Item{
		AttemptID: j.AttemptID,
		Stage:     j.Stage,
		Index:     index,
		Remaining: j.Expires.Sub(now),
		Key:       j.Key,
		Inputs:    j.Inputs,
	}
}

// sortFor returns the jobs that may go to a server: first those that are begun,
// wherever it stands, then those whose results are used in its failure domain, then those that have waited for a server of
// their own domain for the fixed time of a call. Results are fetched over the links between
// domains otherwise, which are slow and charged for.
func (p *Planner) sortFor(now time.Time, w *worker) []*job {
	begun, near, far := []*job{}, []*job{}, []*job{}
	for _, j := range p.queue {
		switch {
		case j.isBegun():
			begun = append(begun, j)
		case j.Domain == "" || j.Domain == w.server.Domain || !p.serves(j.Domain):
			near = append(near, j)
		case now.Sub(j.arrived) >= p.pool.CallTime:
			far = append(far, j)
		}
	}
	return slices.Concat(begun, near, far)
}

// serves tells whether a server stands in the failure domain.
func (p *Planner) serves(domain string) bool {
	return slices.ContainsFunc(p.ready, func(w *worker) bool { return w.server.Domain == domain })
}

// predictWait estimates how long a new job waits until its last item is in a
// call: behind those that can be on time, and behind all others too if it cannot.
func (p *Planner) predictWait(now time.Time, count int, onTime bool) time.Duration {
	ahead := count
	for _, q := range p.queue {
		if !onTime || p.isOnTime(now, q.Job) {
			ahead += len(q.todo)
		}
	}
	rate := p.rate(now)
	if rate == 0 {
		return noServerPause
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
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
