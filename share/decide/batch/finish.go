package batch

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

// CallResult describes how a call ended.
type CallResult struct {
	Results []site.ItemResult
	// Load is the load that the server reported; nil if it reported none.
	Load *site.Load
	// RoundTrip is how long opening the connection took; 0 if not known.
	RoundTrip time.Duration
	// Failed is set if the call has no results, so that the state of its items is unknown.
	// Unsent is set in addition if the call did not reach the server.
	Failed bool
	Unsent bool
}

// FinishCall processes the end of a call.
func (p *Planner) FinishCall(now time.Time, callID uint64, r CallResult) Actions {
	results, failed := r.Results, r.Failed
	call := p.calls[callID]
	if call == nil {
		return Actions{}
	}
	delete(p.calls, callID)
	w := p.workers[call.Server.ID]
	if w != nil {
		w.finish(now, call, r, p.pool)
		p.startNext(now, w)
	}
	a := Actions{}
	if failed && !r.Unsent {
		p.recordFailedCall(&a, call)
	}
	mayRetry := true
	if failed || isRefused(results) {
		mayRetry = p.retry()
	}
	for i, ref := range call.refs {
		result := site.ItemResult{Outcome: site.ItemUnknown}
		if !failed {
			result = results[i]
		}
		if call.inputsFetched {
			ref.job.fetched-- // finishItem counts the item again if it has a result
		}
		p.finishItem(&a, now, ref, result, mayRetry)
	}
	a.add(p.plan(now))
	return a
}

// maxSuspects limits the size of Planner.suspects; an arbitrary entry is removed to make room.
const maxSuspects = 256

// recordFailedCall records a call that failed after it was sent. It counts against each job in the
// call, and a job with too many failed calls is sent alone from then on. That distinguishes a
// request whose items crash servers from requests that only shared a call with it.
func (p *Planner) recordFailedCall(a *Actions, call *Call) {
	jobs := []*job{}
	for _, ref := range call.refs {
		if !slices.Contains(jobs, ref.job) {
			jobs = append(jobs, ref.job)
			ref.job.failedCalls++
		}
	}
	digest := jobs[0].RequestDigest
	if len(jobs) > 1 || call.shared || digest == "" {
		return
	}
	for other := range p.suspects {
		if len(p.suspects) < maxSuspects {
			break
		}
		delete(p.suspects, other)
	}
	p.suspects[digest] = true
	a.Crashes = append(a.Crashes, Crash{RequestDigest: digest, Server: call.Server, SentAt: call.started})
}

// startNext records that the call that waited at the server for the one that ended starts now.
func (p *Planner) startNext(now time.Time, w *worker) {
	if w.current != nil {
		return
	}
	for id := range w.plannedBytes {
		c := p.calls[id]
		if c == nil {
			continue
		}
		w.current = c
		if c.turn.Before(now) {
			c.turn = now
		}
		c.inputsFetchedAt = p.predictFetch(w, c)
	}
}

func isRefused(results []site.ItemResult) bool {
	return len(results) > 0 && results[0].Outcome == site.ItemRefused
}

// finishItem processes the result of one item of a call; mayRetry allows it to be sent again.
func (p *Planner) finishItem(a *Actions, now time.Time, ref itemRef, result site.ItemResult, mayRetry bool) {
	j := ref.job
	if result.Outcome == site.ItemMade && j.ended {
		a.Release = append(a.Release, result.Handle)
		return
	}
	if j.ended {
		return
	}
	switch result.Outcome {
	case site.ItemMade:
		j.handles[ref.index] = result.Handle
		j.produced++
		j.fetched++
		delete(p.suspects, j.RequestDigest)
		if j.produced == j.Count {
			p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeMade})
		}
	case site.ItemInputGone:
		p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeInputGone})
	case site.ItemLate:
		p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeExpired})
	default:
		p.retryItem(a, now, ref, mayRetry)
	}
}

// retryItem puts an item back into the queue, or ends its job if it must not be retried. A call
// that failed or was refused is charged once to the retry budget that all ingresses share, however
// many items it had, because what a server receives is the call. Items that found no memory or
// failed by themselves are not charged: they join a call that is sent anyway.
func (p *Planner) retryItem(a *Actions, now time.Time, ref itemRef, mayRetry bool) {
	j := ref.job
	j.retries++
	if j.inputsReleased {
		p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeInputGone})
		return
	}
	if !mayRetry || j.retries > maxRetries*j.Count {
		p.endJob(a, now, j, Completion{JobID: j.ID, Outcome: OutcomeFailed, RetryAfter: p.predictWait(now, j.Job)})
		return
	}
	j.queued = append(j.queued, ref.index)
	if !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// endJob ends a job. The results of a job that is not complete are released.
func (p *Planner) endJob(a *Actions, now time.Time, j *job, c Completion) {
	j.ended = true
	c.InputsReleased = j.inputsReleased
	delete(p.jobs, j.ID)
	p.queue = slices.DeleteFunc(p.queue, func(q *job) bool { return q == j })
	if c.Outcome == OutcomeMade {
		c.Handles = j.handles
	} else {
		for _, h := range j.handles {
			if h != "" {
				a.Release = append(a.Release, h)
			}
		}
	}
	p.complete(a, now, c)
}

// Backlog returns the results that are in no call yet, and the rate at which full calls produce
// results.
func (p *Planner) Backlog(now time.Time) delay.Backlog {
	b := delay.Backlog{OnTime: delay.Counts{}, Late: delay.Counts{}, Rate: p.rate(now), Demand: p.demand.Rates(now)}
	for _, j := range p.queue {
		counts := b.Late
		if p.isOnTime(now, j.Job) {
			counts = b.OnTime
		}
		counts[j.Rank] += float64(len(j.queued))
	}
	return b
}

// complete adds a completion to the actions, together with the current backlog.
func (p *Planner) complete(a *Actions, now time.Time, c Completion) {
	c.Backlog = p.Backlog(now)
	a.Completions = append(a.Completions, c)
}
