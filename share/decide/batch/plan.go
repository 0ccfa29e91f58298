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
func (p *Planner) order(now time.Time) {
	slices.SortStableFunc(p.queue, func(a, b *job) int {
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

// isOnTime tells whether a job that is in a call now is done before its target.
func (p *Planner) isOnTime(now time.Time, j Job) bool {
	return now.Add(p.pool.CallTime).Before(j.Target)
}

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

// fill sends one call with the first items of the queue that fit the server; false where none does.
func (p *Planner) fill(a *Actions, now time.Time, w *worker) bool {
	used := w.used + w.foreignAt(now, p.pool.KeepTime)
	room := int64(roomPart*float64(p.pool.RoomBytes)) - used
	call := Call{Server: w.server, started: now}
	bytes := int64(0)
	for _, j := range p.sortFor(now, w) {
		for len(j.todo) > 0 && len(call.Items) < p.pool.Batch {
			// A result larger than the whole memory is tried alone: its size is approximate.
			if bytes+j.ResultBytes > room && (used > 0 || len(call.Items) > 0) {
				break
			}
			index := j.todo[0]
			j.todo = j.todo[1:]
			bytes += j.ResultBytes
			call.Items = append(call.Items, j.item(now, index))
			call.jobs = append(call.jobs, placed{job: j, index: index})
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.todo) == 0 })
	if len(call.Items) == 0 {
		return false
	}
	p.lastID++
	call.ID = p.lastID
	call.expected = p.pool.CallTime + time.Duration(len(call.Items))*p.pool.ItemTime
	call.Timeout = w.timeout(call.expected)
	w.start(call.ID, bytes)
	p.calls[call.ID] = &call
	a.Calls = append(a.Calls, call)
	return true
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

// sortFor returns the jobs that may go to a server: first those whose results
// are used in its failure domain, then those that have waited for a server of
// their own domain long enough. Results are fetched over the links between
// domains otherwise, which are slow and charged for.
func (p *Planner) sortFor(now time.Time, w *worker) []*job {
	near, far := []*job{}, []*job{}
	for _, j := range p.queue {
		switch {
		case j.Domain == "" || j.Domain == w.server.Domain || !p.serves(j.Domain):
			near = append(near, j)
		case now.Sub(j.arrived) >= p.pool.CallTime/foreignPart:
			far = append(far, j)
		}
	}
	return append(near, far...)
}

// foreignPart divides a call's time into how long a job waits for a server of its domain.
const foreignPart = 2

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
	rate := 0.0 // items a second
	full := p.pool.CallTime + time.Duration(p.pool.Batch)*p.pool.ItemTime
	for _, w := range p.ready {
		if now.Before(w.suspectUntil) {
			continue
		}
		rate += float64(p.pool.Batch) / (full.Seconds() * w.pace)
	}
	if rate == 0 {
		return noServerPause
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
