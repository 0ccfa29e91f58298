package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// fill sends one call with the first jobs of the queue that fit the server; false where none does.
//
// Jobs are taken whole: one in two calls is done with the later one, and its other
// results take memory until then.
func (p *Planner) fill(a *Actions, now time.Time, w *worker) bool {
	used := w.used + w.foreignAt(now, p.pool.ResultTTL)
	d := draft{
		call: Call{Server: w.server, Held: used, started: now},
		room: int64(roomPart*float64(p.pool.ResultMemoryBytes)) - used,
		most: p.pool.MaxBatch,
		// A result larger than the whole memory is tried alone: its size is approximate.
		empty: used == 0,
	}
	jobs := p.sortFor(now, w)
	if w.calls > 0 {
		jobs = slices.DeleteFunc(jobs, p.isSuspect)
	}
	for _, j := range jobs {
		if p.mayShare(d, j) && (d.fits(j, len(j.todo)) || p.maySplit(now, j)) {
			d.take(now, j)
		}
	}
	if len(d.call.Items) == 0 && len(jobs) > 0 {
		d.take(now, jobs[0])
	}
	if len(d.call.Items) == 0 || p.isGathering(now, d) || p.shouldWait(now, w, d, jobs) {
		d.putBack()
		return false
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.todo) == 0 })
	p.send(a, w, d)
	return true
}

const (
	// splitAfter is how long a job waits to be taken whole: longer than it has to be on
	// time, so that what comes late is at least done.
	splitAfter = 2 * time.Second
	// smallPart is the part of a batch below which a call is small.
	smallPart = 0.5
	// smallWait is how long an idle server with little memory left waits for some. A
	// call has a fixed time, which one result alone would have to bear.
	smallWait = 150 * time.Millisecond
)

// gatherPart is the part of a call's fixed time for which a call that is not full
// waits for more jobs after the first one came.
const gatherPart = 0.1

// isGathering tells whether a call that is not full waits for the rest of a group of
// requests. Callers send several requests at once, and jobs that shared a call come to
// the next stage together: begun with the first of them, a call costs its fixed time for
// one job, and the others wait for the next server that is free.
func (p *Planner) isGathering(now time.Time, d draft) bool {
	if len(d.call.Items) == d.most {
		return false
	}
	gather := time.Duration(gatherPart * float64(p.pool.CallTime))
	for _, place := range d.call.jobs {
		if now.Sub(place.job.arrived) >= gather {
			return false
		}
	}
	return true
}

// maySplit tells whether a job may be taken in parts: it is larger than any call or any
// server's memory, or smaller ones have passed it for too long.
func (p *Planner) maySplit(now time.Time, j *job) bool {
	room := int64(roomPart * float64(p.pool.ResultMemoryBytes))
	tooLarge := len(j.todo) > p.pool.MaxBatch || int64(len(j.todo))*j.ResultBytes > room
	return tooLarge || now.Sub(j.arrived) >= splitAfter
}

// shouldWait tells whether a call is small for lack of memory alone, so that it
// pays to wait until results are released.
func (p *Planner) shouldWait(now time.Time, w *worker, d draft, jobs []*job) bool {
	left := 0
	for _, j := range jobs {
		left += len(j.todo)
	}
	small := len(d.call.Items) < int(smallPart*float64(p.pool.MaxBatch)) && left >= len(d.call.Items)
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
	call.turn = call.started.Add(w.lead())
	w.start(&call, d.bytes)
	call.fetchedAt = p.predictFetch(w, &call)
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

// mayShare tells whether a job may go with what is in the call: a suspect goes alone.
func (p *Planner) mayShare(d draft, j *job) bool {
	if len(d.call.jobs) == 0 {
		return true
	}
	return !p.isSuspect(j) && !p.isSuspect(d.call.jobs[0].job)
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
