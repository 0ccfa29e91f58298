package batch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/models/site"
)

func newPool() site.Pool {
	return site.Pool{
		Slots: 1, QueueLimit: 2, MaxBatch: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond,
		ResultMemoryBytes: 20_000_000, ResultTTL: 4 * time.Second,
	}
}

func newServers(domains ...string) []site.Server {
	servers := []site.Server{}
	for i, domain := range domains {
		servers = append(servers, site.Server{ID: fmt.Sprintf("p%d", i), Domain: domain, State: site.ServerReady})
	}
	return servers
}

func alwaysRetry() bool { return true }

func newPlanner(now time.Time, domains ...string) *batch.Planner {
	p := batch.NewPlanner(newPool(), nil, alwaysRetry)
	p.SetServers(now, newServers(domains...))
	return p
}

func newJob(now time.Time, id uint64, count int) batch.Job {
	return batch.Job{
		ID: id, AttemptID: fmt.Sprint(id), RequestDigest: fmt.Sprint(id) + "-digest", Count: count, ResultBytes: 10_000,
		Target: now.Add(2 * time.Second), Expires: now.Add(6 * time.Second),
	}
}

// gatherTime is how long a planner waits for the rest of a group of jobs.
const gatherTime = 20 * time.Millisecond

// addGathered adds a job that arrived early enough for its gather time to be over now.
func addGathered(p *batch.Planner, now time.Time, j batch.Job) batch.Actions {
	a := p.Add(now.Add(-gatherTime), j)
	later := p.Tick(now)
	a.Calls = append(a.Calls, later.Calls...)
	a.Completions = append(a.Completions, later.Completions...)
	a.Release = append(a.Release, later.Release...)
	a.ReleaseInputs = append(a.ReleaseInputs, later.ReleaseInputs...)
	return a
}

// resultsFor returns a result for each item of a call.
func resultsFor(c batch.Call) []site.ItemResult {
	results := []site.ItemResult{}
	for _, i := range c.Items {
		handle := fmt.Sprintf("10.0.0.1:1/%s-%d-%d", i.AttemptID, i.Stage, i.Index)
		results = append(results, site.ItemResult{Outcome: site.ItemMade, Handle: handle})
	}
	return results
}

func TestJobsShareCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	first := addGathered(p, now, newJob(now, 1, 1))
	is.Equal(len(first.Calls), 1) // an idle server starts at once
	for id := uint64(2); id <= 5; id++ {
		is.Equal(len(addGathered(p, now, newJob(now, id, 2)).Calls), 0)
	}
	next := p.FinishCall(now.Add(220*time.Millisecond), first.Calls[0].ID, batch.CallResult{Results: resultsFor(first.Calls[0])})
	is.Equal(len(next.Completions), 1)
	is.Equal(next.Completions[0].Handles, []string{"10.0.0.1:1/1-0-0"})
	is.Equal(len(next.Calls), 1)
	is.Equal(len(next.Calls[0].Items), 8)
}

// Guards against handles that reach the wrong request: each job gets its own results in order,
// even if a call holds items of several jobs.
func TestEachJobGetsItsOwnResults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	inFlight := addGathered(p, now, newJob(now, 1, 3)).Calls
	addGathered(p, now, newJob(now, 2, 5))
	addGathered(p, now, newJob(now, 3, 7))
	done := map[uint64][]string{}
	for len(inFlight) > 0 {
		now = now.Add(300 * time.Millisecond)
		a := p.FinishCall(now, inFlight[0].ID, batch.CallResult{Results: resultsFor(inFlight[0])})
		inFlight = append(inFlight[1:], a.Calls...)
		for _, d := range a.Completions {
			is.Equal(d.Outcome, batch.OutcomeMade)
			done[d.JobID] = d.Handles
		}
	}
	is.Equal(len(done), 3)
	for id, handles := range done {
		for i, h := range handles {
			is.Equal(h, fmt.Sprintf("10.0.0.1:1/%d-0-%d", id, i))
		}
	}
}

// A server crashes during a call. The items of the call must go to another server and not back to
// the one that crashed.
func TestFailedCallIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a")
	first := addGathered(p, now, newJob(now, 1, 2)).Calls[0]
	a := p.FinishCall(now.Add(100*time.Millisecond), first.ID, batch.CallResult{Failed: true})
	is.Equal(len(a.Calls), 1)
	is.True(a.Calls[0].Server.ID != first.Server.ID)
	is.Equal(len(a.Calls[0].Items), 2)
}

// All servers crash and the shared retry budget is used up. Callers must learn that at once
// instead of at their deadline.
func TestExhaustedRetryBudgetEndsTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := batch.NewPlanner(newPool(), nil, func() bool { return false })
	p.SetServers(now, newServers("a"))
	first := addGathered(p, now, newJob(now, 1, 2)).Calls[0]
	a := p.FinishCall(now, first.ID, batch.CallResult{Failed: true})
	is.Equal(len(a.Completions), 1)
	is.Equal(a.Completions[0].Outcome, batch.OutcomeFailed)
}

// A caller cancels its job while the results are being produced. They must be released as soon as
// they exist: they have no other owner and would take memory for seconds.
func TestCanceledJobsAreReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := addGathered(p, now, newJob(now, 1, 2)).Calls[0]
	is.Equal(p.Cancel(now, 1).Completions[0].Outcome, batch.OutcomeCanceled)
	a := p.FinishCall(now.Add(time.Second), call.ID, batch.CallResult{Results: resultsFor(call)})
	is.Equal(len(a.Release), 2)
	is.Equal(len(a.Completions), 0)
	is.Equal(p.CountJobs(), 0)
}

// An input of a job was lost with the server that held it. The job must end at once, and its
// other results must be released.
func TestGoneInputEndsTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := addGathered(p, now, newJob(now, 1, 2)).Calls[0]
	results := resultsFor(call)
	results[1] = site.ItemResult{Outcome: site.ItemInputGone}
	a := p.FinishCall(now, call.ID, batch.CallResult{Results: results})
	is.Equal(a.Completions[0].Outcome, batch.OutcomeInputGone)
	is.Equal(len(a.Release), 1)
}

// Large results fill the memory of a server. Small results queued behind another large job must
// be produced in the meantime, and that job follows once some large results are released.
func TestMemoryIsPlanned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	large := newJob(now, 1, 6)
	large.ResultBytes = 3_000_000
	call := addGathered(p, now, large).Calls[0]
	is.Equal(len(call.Items), 6)
	another := newJob(now, 2, 2)
	another.ResultBytes = 3_000_000
	addGathered(p, now, another)
	addGathered(p, now, newJob(now, 3, 4))
	now = now.Add(300 * time.Millisecond)
	handles := resultsFor(call)
	next := p.FinishCall(now, call.ID, batch.CallResult{Results: handles}).Calls[0]
	is.Equal(len(next.Items), 4)
	is.Equal(next.Items[0].AttemptID, "3")
	p.FinishCall(now, next.ID, batch.CallResult{Results: resultsFor(next)})
	now = now.Add(10 * time.Millisecond)
	last := p.MarkReleased(now, []string{handles[0].Handle, handles[1].Handle}).Calls
	is.Equal(len(last), 1)
	is.Equal(last[0].Items[0].AttemptID, "2")
}

// Another ingress was the batcher before, and its results still fill the server. Items that found
// no memory there must not be sent again and again.
func TestForeignMemoryIsEstimated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	job := newJob(now, 1, 4)
	job.ResultBytes = 3_000_000
	call := addGathered(p, now, job).Calls[0]
	results := make([]site.ItemResult, 4)
	for i := range results {
		results[i].Outcome = site.ItemNoRoom
	}
	is.Equal(len(p.FinishCall(now, call.ID, batch.CallResult{Results: results}).Calls), 0)
	is.Equal(len(p.Tick(now.Add(100*time.Millisecond)).Calls), 0)
	is.Equal(len(p.Tick(now.Add(1500*time.Millisecond)).Calls), 1)
}

// Results are used in the failure domain of their engine. A job with large results waits for the
// server in that domain if it will be idle soon enough, and otherwise goes to another one at once.
func TestServerInOwnDomainIsPreferred(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "b")
	jobA := newJob(now, 1, 1)
	jobA.Domain = "a"
	first := addGathered(p, now, jobA).Calls[0]
	is.Equal(first.Server.Domain, "a")
	large := newJob(now, 2, 2)
	large.Domain = "a"
	large.ResultBytes = 1_500_000
	is.Equal(len(addGathered(p, now, large).Calls), 0)
	is.Equal(len(p.Tick(now.Add(210*time.Millisecond)).Calls), 0) // idle after 220 ms
	now = now.Add(220 * time.Millisecond)
	own := p.FinishCall(now, first.ID, batch.CallResult{Results: resultsFor(first)}).Calls
	is.Equal(len(own), 1)
	is.Equal(own[0].Server.Domain, "a")
	smaller := newJob(now, 4, 2)
	smaller.Domain = "a"
	smaller.ResultBytes = 400_000 // worth a wait of 192 ms, and the server is busy for 240 ms
	late := addGathered(p, now, smaller).Calls
	is.Equal(len(late), 1)
	is.Equal(late[0].Server.Domain, "b")
	unserved := newJob(now, 3, 1)
	unserved.Domain = "c" // there is no server in this domain
	p.FinishCall(now, late[0].ID, batch.CallResult{Results: resultsFor(late[0])})
	is.Equal(len(addGathered(p, now, unserved).Calls), 1)
}

// Guards against requests that are late although no pool is full, because each of three stages
// waits 200 ms for a server in its own domain to save a few kilobytes between domains. Only jobs
// with large results or large inputs may wait, and only if they have time to spare.
func TestWaitForOwnDomainDependsOnBytes(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name                    string
		resultBytes, inputBytes int64
		target                  time.Duration
		waits                   bool
	}{
		{"small results", 8_000, 0, 2 * time.Second, false},
		{"large results", 1_500_000, 0, 2 * time.Second, true},
		{"large results and no time to spare", 1_500_000, 0, 361 * time.Millisecond, false},
		{"large inputs of each item", 6_000, 600_000, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlanner(now, "a", "b")
			busy := newJob(now, 1, 1)
			busy.Domain = "a"
			addGathered(p, now, busy)
			job := newJob(now, 2, 2)
			job.Domain = "a"
			job.ResultBytes, job.InputBytes = c.resultBytes, c.inputBytes
			job.Target = now.Add(c.target)
			addGathered(p, now, job)
			is.Equal(len(p.Tick(now.Add(20*time.Millisecond)).Calls) == 0 && p.CountQueuedItems() == 2, c.waits)
		})
	}
}

// A server becomes five times slower. It must get no work while the others can handle the load.
func TestSlowServerIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a", "a")
	for id := uint64(1); id < 40; id++ {
		a := addGathered(p, now, newJob(now, id, 1))
		is.Equal(len(a.Calls), 1)
		took := 220 * time.Millisecond
		if a.Calls[0].Server.ID == "p0" {
			took = 1100 * time.Millisecond
			is.True(id < 10)
		}
		now = now.Add(took)
		p.FinishCall(now, a.Calls[0].ID, batch.CallResult{Results: resultsFor(a.Calls[0])})
	}
}

func TestJobWithoutServerEndsAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := batch.NewPlanner(newPool(), nil, alwaysRetry)
	a := addGathered(p, now, newJob(now, 1, 1))
	is.Equal(a.Completions[0].Outcome, batch.OutcomeNoServer)
	is.True(a.Completions[0].RetryAfter > 0)
}

// The queue is so long that a job cannot be done before it expires. Its caller must learn that at
// once, together with the time after which a retry can succeed.
func TestJobsThatWouldExpireAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	refused := 0
	for id := uint64(1); id <= 100; id++ {
		for _, d := range addGathered(p, now, newJob(now, id, 4)).Completions {
			is.Equal(d.Outcome, batch.OutcomeBusy)
			is.True(d.RetryAfter > 3*time.Second)
			refused++
		}
	}
	is.True(refused > 20 && refused < 80)
}

// Guards against a job with more items than its servers can ever produce, for which memory is reserved: while they
// respond and while none of them does.
func TestJobOfTooManyItemsIsRefused(t *testing.T) {
	for _, isPaused := range []bool{false, true} {
		for _, count := range []int{2000, math.MaxInt32} {
			is := is.New(t)
			now := time.Unix(1000, 0)
			p := newPlanner(now, "a", "b")
			if isPaused {
				p.SetPauses(pausedUntil(now.Add(time.Second)))
			}
			actions := p.Add(now, newJob(now, 1, count))
			is.Equal(len(actions.Completions), 1)
			is.Equal(actions.Completions[0].Outcome, batch.OutcomeBusy)
			is.Equal(p.CountJobs(), 0)
			p.Add(now, newJob(now, 2, 100))
			is.Equal(p.CountJobs(), 1)
		}
	}
}

// pausedUntil is the end of the pause that each server has asked for.
type pausedUntil time.Time

func (u pausedUntil) PausedUntil(time.Time, *site.Server) time.Time { return time.Time(u) }
