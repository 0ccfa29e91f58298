package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

// Ended is how a call ended.
type Ended struct {
	Results []site.ItemResult
	// Load is what the server told of itself; nil: nothing.
	Load *site.Load
	// RoundTrip is how long opening the connection took; 0: not known.
	RoundTrip time.Duration
	// Failed calls have no results, and nothing is known of their items. Unsent ones did not reach the server.
	Failed bool
	Unsent bool
}

// End takes the end of a call.
func (p *Planner) End(now time.Time, callID uint64, e Ended) Actions {
	results, failed := e.Results, e.Failed
	call := p.calls[callID]
	if call == nil {
		return Actions{}
	}
	delete(p.calls, callID)
	w := p.workers[call.Server.ID]
	if w != nil {
		w.end(now, call, e, p.pool)
		p.beginNext(now, w)
	}
	a := Actions{}
	if failed && !e.Unsent {
		p.noteBroken(&a, call)
	}
	again := true
	if failed || isRefused(results) {
		again = p.repeat(now, 1)
	}
	for i, place := range call.jobs {
		result := site.ItemResult{Outcome: site.ItemUnknown}
		if !failed {
			result = results[i]
		}
		if call.fetched {
			place.job.fetched-- // counted again below where it was made
		}
		p.takeResult(&a, now, place, result, again)
	}
	a.add(p.plan(now))
	return a
}

// maxBlamed bounds the requests that are blamed; any of them is let go first.
const maxBlamed = 256

// noteBroken has jobs of calls that broke off go on alone, so that a request whose items crash
// their servers is told from those that shared a call with it.
func (p *Planner) noteBroken(a *Actions, call *Call) {
	jobs := []*job{}
	for _, place := range call.jobs {
		if !slices.Contains(jobs, place.job) {
			jobs = append(jobs, place.job)
			place.job.broken++
		}
	}
	request := jobs[0].Request
	if len(jobs) > 1 || call.shared || request == "" {
		return
	}
	for other := range p.blamed {
		if len(p.blamed) < maxBlamed {
			break
		}
		delete(p.blamed, other)
	}
	p.blamed[request] = true
	a.Crashes = append(a.Crashes, Crash{Request: request, Server: call.Server, Sent: call.started})
}

// beginNext notes that the call behind the one that ended has its turn now.
func (p *Planner) beginNext(now time.Time, w *worker) {
	if w.current != nil {
		return
	}
	for id := range w.planned {
		c := p.calls[id]
		if c == nil {
			continue
		}
		w.current = c
		if c.turn.Before(now) {
			c.turn = now
		}
		c.fetchedAt = p.predictFetch(w, c)
	}
}

func isRefused(results []site.ItemResult) bool {
	return len(results) > 0 && results[0].Outcome == site.ItemRefused
}

// takeResult takes the end of one item; again tells whether it may be sent once more.
func (p *Planner) takeResult(a *Actions, now time.Time, place placed, result site.ItemResult, again bool) {
	j := place.job
	if result.Outcome == site.ItemMade && j.over {
		a.Release = append(a.Release, result.Handle)
		return
	}
	if j.over {
		return
	}
	switch result.Outcome {
	case site.ItemMade:
		j.handles[place.index] = result.Handle
		j.made++
		j.fetched++
		delete(p.blamed, j.Request)
		if j.made == j.Count {
			p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeMade})
		}
	case site.ItemGone:
		p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeGone})
	case site.ItemLate:
		p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeExpired})
	default:
		p.sendAgain(a, now, place, again)
	}
}

// sendAgain puts an item back into the queue. A call that was refused or broke
// off counts against the budget that all ingresses share, once: what arrives at a
// server is the call. Items that found no memory or failed wait for a call that
// goes anyway.
func (p *Planner) sendAgain(a *Actions, now time.Time, place placed, again bool) {
	j := place.job
	j.repeats++
	if j.released {
		p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeGone})
		return
	}
	if !again || j.repeats > maxRepeats*j.Count {
		p.finish(a, now, j, Done{JobID: j.ID, Outcome: OutcomeFailed, RetryAfter: p.predictWait(now, j.Job)})
		return
	}
	j.todo = append(j.todo, place.index)
	if !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// finish ends a job; what was made of one that fails is released.
func (p *Planner) finish(a *Actions, now time.Time, j *job, done Done) {
	j.over = true
	done.InputsReleased = j.released
	delete(p.jobs, j.ID)
	p.queue = slices.DeleteFunc(p.queue, func(q *job) bool { return q == j })
	if done.Outcome == OutcomeMade {
		done.Handles = j.handles
	} else {
		for _, h := range j.handles {
			if h != "" {
				a.Release = append(a.Release, h)
			}
		}
	}
	p.tell(a, now, done)
}

// Outlook tells what waits for a call, and how many results a second are made in full calls.
func (p *Planner) Outlook(now time.Time) delay.Backlog {
	o := delay.Backlog{OnTime: delay.Counts{}, Late: delay.Counts{}, Rate: p.rate(now), Demand: p.demand.Rates(now)}
	for _, q := range p.queue {
		counts := o.Late
		if p.isOnTime(now, q.Job) {
			counts = o.OnTime
		}
		counts[q.Rank] += float64(len(q.todo))
	}
	return o
}

// tell ends a job with the outlook for the next ones.
func (p *Planner) tell(a *Actions, now time.Time, done Done) {
	done.Outlook = p.Outlook(now)
	a.Done = append(a.Done, done)
}
