package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// fillCall sends a call with the first jobs of the queue that fit the server, and reports whether
// it sent one.
//
// A job goes into one call as a whole if possible: if it is split over two calls it ends with the
// later one, and the results of the earlier one take memory until then.
func (p *Planner) fillCall(a *Actions, now time.Time, w *worker) bool {
	used := w.usedBytes + w.foreignBytesAt(now, p.pool.ResultTTL)
	d := draft{
		call:      Call{Server: w.server, HeldBytes: used, started: now},
		freeBytes: int64(plannedMemoryShare*float64(p.pool.ResultMemoryBytes)) - used,
		maxItems:  p.pool.MaxBatch,
		// A result larger than the whole memory is tried alone: its size is approximate.
		serverEmpty: used == 0,
	}
	jobs := p.candidates(now, w)
	if w.inFlight > 0 {
		jobs = slices.DeleteFunc(jobs, p.isSuspect)
	}
	for _, j := range jobs {
		if p.mayShare(d, j) && (d.fits(j, len(j.queued)) || p.maySplit(now, j)) {
			d.take(now, j)
		}
	}
	if len(d.call.Items) == 0 && len(jobs) > 0 {
		d.take(now, jobs[0])
	}
	if len(d.call.Items) == 0 || p.isGathering(now, d) || p.shouldWaitForMemory(now, w, d, jobs) {
		d.putBack()
		return false
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.queued) == 0 })
	p.send(a, w, d)
	return true
}

const (
	// splitAfter is how long a job waits before it may be split over several calls. It is
	// longer than the time within which a job is on time, so that only jobs that are late
	// anyway are split, in order to complete at all.
	splitAfter = 2 * time.Second
	// smallCallShare is the share of a batch below which a call is small.
	smallCallShare = 0.5
	// maxMemoryWait is how long an idle server with little free memory waits for more to
	// be released. A call has a fixed cost in time, which a single result would have to bear.
	maxMemoryWait = 150 * time.Millisecond
)

// gatherShare is the time that a call that is not full waits for more jobs after the first
// one arrived, as a share of the fixed time of a call.
const gatherShare = 0.1

// isGathering reports whether a call that is not full should wait for the rest of a group of
// requests. Callers send several requests at once, and jobs that shared a call reach the next
// stage together. If the first of them were sent alone, that call would cost its whole fixed time
// for one job, and the others would wait for the next free server.
func (p *Planner) isGathering(now time.Time, d draft) bool {
	if len(d.call.Items) == d.maxItems {
		return false
	}
	gather := time.Duration(gatherShare * float64(p.pool.CallTime))
	for _, ref := range d.call.refs {
		if now.Sub(ref.job.arrived) >= gather {
			return false
		}
	}
	return true
}

// maySplit reports whether a job may be split over several calls: it does not fit into one call or
// into the memory of one server, or it arrived at least splitAfter ago and smaller jobs may have
// overtaken it since.
func (p *Planner) maySplit(now time.Time, j *job) bool {
	room := int64(plannedMemoryShare * float64(p.pool.ResultMemoryBytes))
	tooLarge := len(j.queued) > p.pool.MaxBatch || int64(len(j.queued))*j.ResultBytes > room
	return tooLarge || now.Sub(j.arrived) >= splitAfter
}

// shouldWaitForMemory reports whether a call is small only because the server lacks memory, so
// that it is better to wait until results are released there.
func (p *Planner) shouldWaitForMemory(now time.Time, w *worker, d draft, jobs []*job) bool {
	left := 0
	for _, j := range jobs {
		left += len(j.queued)
	}
	small := len(d.call.Items) < int(smallCallShare*float64(p.pool.MaxBatch)) && left >= len(d.call.Items)
	if !small || w.usedBytes == 0 {
		w.memoryWaitSince = time.Time{}
		return false
	}
	if w.memoryWaitSince.IsZero() {
		w.memoryWaitSince = now
	}
	if now.Sub(w.memoryWaitSince) >= maxMemoryWait {
		w.memoryWaitSince = time.Time{}
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
	call.QueuedItems = p.CountQueuedItems()
	call.LimitedServers = p.countLimited()
	call.turn = call.started.Add(w.leadTime())
	w.start(&call, d.bytes)
	call.inputsFetchedAt = p.predictFetch(w, &call)
	p.calls[call.ID] = &call
	p.limiter.Reserve(call.started, &w.server)
	p.limiter.MarkSent(&w.server)
	a.Calls = append(a.Calls, call)
}

// draft is a call that is being filled.
type draft struct {
	call Call
	// freeBytes is the memory that the results of the call may take at the server, bytes
	// what those in the draft take.
	freeBytes int64
	bytes     int64
	maxItems  int
	// serverEmpty is set if the server holds no results.
	serverEmpty bool
}

// mayShare reports whether a job may join the jobs in the draft; a suspect is sent alone.
func (p *Planner) mayShare(d draft, j *job) bool {
	if len(d.call.refs) == 0 {
		return true
	}
	return !p.isSuspect(j) && !p.isSuspect(d.call.refs[0].job)
}

// fits reports whether n more items of a job fit into the draft.
func (d *draft) fits(j *job, n int) bool {
	if len(d.call.Items)+n > d.maxItems {
		return false
	}
	return d.bytes+int64(n)*j.ResultBytes <= d.freeBytes || d.serverEmpty && len(d.call.Items) == 0 && n == 1
}

// take moves as many items of a job into the draft as fit.
func (d *draft) take(now time.Time, j *job) {
	for len(j.queued) > 0 && d.fits(j, 1) {
		index := j.queued[0]
		j.queued = j.queued[1:]
		d.bytes += j.ResultBytes
		d.call.Items = append(d.call.Items, j.item(now, index))
		d.call.refs = append(d.call.refs, itemRef{job: j, index: index})
	}
}

// putBack returns the items of the draft to their jobs, in their original order.
func (d *draft) putBack() {
	for i := len(d.call.refs) - 1; i >= 0; i-- {
		ref := d.call.refs[i]
		ref.job.queued = append([]int{ref.index}, ref.job.queued...)
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
