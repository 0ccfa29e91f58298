package batch

import (
	"time"
)

const (
	// fetchMargin is the time allowed for a call to reach its server and to start: the
	// connection and the request need two round trips.
	fetchMargin = 100 * time.Millisecond
	// fetchLinks is the number of links that an input crosses: that of the server that
	// holds it and that of the server that uses it.
	fetchLinks = 2
)

// predictFetch returns when the server of a call has certainly fetched the inputs; zero if
// that cannot be known before the call has ended.
//
// A server fetches the inputs of a call when it starts the call; the server that holds them can
// release them after that. If they were kept until the call has ended, they would take memory for
// nothing, and in a burst the memory of the pools is the bottleneck.
//
// If inputs are released too early, the entire chain of their request has to run again. This
// happens if a call has to wait at its server for a call of another planner. Therefore a time is
// only predicted for a server whose last answer reported no other work and which has not refused a
// call, failed or run out of memory within the keep time of results. Each of these can be the
// effect of another planner's calls.
func (p *Planner) predictFetch(w *worker, c *Call) time.Time {
	if w.current != c || p.pool.LinkRate <= 0 || !w.reportedIdle || c.started.Before(w.trustedFrom) {
		return time.Time{}
	}
	bytes := int64(0)
	for _, ref := range c.refs {
		bytes += ref.job.InputBytes
	}
	return c.turn.Add(fetchMargin + seconds(fetchLinks*float64(bytes)/p.pool.LinkRate))
}

// releaseFetchedInputs releases the inputs that have been fetched by now.
func (p *Planner) releaseFetchedInputs(a *Actions, now time.Time) {
	for _, c := range p.calls {
		if c.inputsFetchedAt.IsZero() || now.Before(c.inputsFetchedAt) {
			continue
		}
		c.inputsFetchedAt = time.Time{}
		c.inputsFetched = true
		for _, ref := range c.refs {
			ref.job.fetched++
			ref.job.releaseInputs(a)
		}
	}
}

// releaseInputs releases the inputs of a job once they have been fetched for every item.
func (j *job) releaseInputs(a *Actions) {
	if j.inputsReleased || j.ended || j.InputService == "" || j.fetched < j.Count {
		return
	}
	j.inputsReleased = true
	a.ReleaseInputs = append(a.ReleaseInputs, JobInputs{AttemptID: j.AttemptID, Service: j.InputService, Handles: j.Inputs})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
