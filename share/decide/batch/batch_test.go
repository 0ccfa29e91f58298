package batch_test

import (
	"fmt"
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

func always(time.Time, int) bool { return true }

func newPlanner(now time.Time, domains ...string) *batch.Planner {
	p := batch.NewPlanner(newPool(), nil, always)
	p.SetServers(now, newServers(domains...))
	return p
}

func newJob(now time.Time, id uint64, count int) batch.Job {
	return batch.Job{
		ID: id, AttemptID: fmt.Sprint(id), Request: fmt.Sprint(id) + "-digest", Count: count, ResultBytes: 10_000,
		Target: now.Add(2 * time.Second), Expires: now.Add(6 * time.Second),
	}
}

// gathered is how long a planner waits for the rest of a group of jobs.
const gathered = 20 * time.Millisecond

// add gives a planner a job that came early enough to begin now.
func add(p *batch.Planner, now time.Time, j batch.Job) batch.Actions {
	a := p.Add(now.Add(-gathered), j)
	later := p.Tick(now)
	a.Calls = append(a.Calls, later.Calls...)
	a.Done = append(a.Done, later.Done...)
	a.Release = append(a.Release, later.Release...)
	a.Fetched = append(a.Fetched, later.Fetched...)
	return a
}

// made answers a call with a result for each item.
func made(c batch.Call) []site.ItemResult {
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
	first := add(p, now, newJob(now, 1, 1))
	is.Equal(len(first.Calls), 1) // an idle server begins at once
	for id := uint64(2); id <= 5; id++ {
		is.Equal(len(add(p, now, newJob(now, id, 2)).Calls), 0)
	}
	next := p.End(now.Add(220*time.Millisecond), first.Calls[0].ID, batch.Ended{Results: made(first.Calls[0])})
	is.Equal(len(next.Done), 1)
	is.Equal(next.Done[0].Handles, []string{"10.0.0.1:1/1-0-0"})
	is.Equal(len(next.Calls), 1)
	is.Equal(len(next.Calls[0].Items), 8)
}

// Handles of one request must never reach another: each job gets its own results
// in their order, also where a call holds items of many.
func TestEachJobGetsItsOwnResults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	open := add(p, now, newJob(now, 1, 3)).Calls
	add(p, now, newJob(now, 2, 5))
	add(p, now, newJob(now, 3, 7))
	done := map[uint64][]string{}
	for len(open) > 0 {
		now = now.Add(300 * time.Millisecond)
		a := p.End(now, open[0].ID, batch.Ended{Results: made(open[0])})
		open = append(open[1:], a.Calls...)
		for _, d := range a.Done {
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

// A server crashes in the middle of a call. Its items go to another one, and the
// server is left alone.
func TestBrokenCallGoesElsewhere(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a")
	first := add(p, now, newJob(now, 1, 2)).Calls[0]
	a := p.End(now.Add(100*time.Millisecond), first.ID, batch.Ended{Failed: true})
	is.Equal(len(a.Calls), 1)
	is.True(a.Calls[0].Server.ID != first.Server.ID)
	is.Equal(len(a.Calls[0].Items), 2)
}

// All servers crash and the shared budget of repeats is used up. Callers are told
// at once instead of at their deadline.
func TestNoBudgetEndsTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := batch.NewPlanner(newPool(), nil, func(time.Time, int) bool { return false })
	p.SetServers(now, newServers("a"))
	first := add(p, now, newJob(now, 1, 2)).Calls[0]
	a := p.End(now, first.ID, batch.Ended{Failed: true})
	is.Equal(len(a.Done), 1)
	is.Equal(a.Done[0].Outcome, batch.OutcomeFailed)
}

// A caller leaves while its results are being made. They are released as soon as
// they are there: nobody else knows of them, and they take memory for seconds.
func TestCanceledJobsAreReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := add(p, now, newJob(now, 1, 2)).Calls[0]
	is.Equal(p.Cancel(now, 1).Done[0].Outcome, batch.OutcomeCanceled)
	a := p.End(now.Add(time.Second), call.ID, batch.Ended{Results: made(call)})
	is.Equal(len(a.Release), 2)
	is.Equal(len(a.Done), 0)
	is.Equal(p.Count(), 0)
}

// A result's input has gone with the server that held it. The job ends at once,
// and what else was made of it is released.
func TestGoneInputEndsTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := add(p, now, newJob(now, 1, 2)).Calls[0]
	results := made(call)
	results[1] = site.ItemResult{Outcome: site.ItemInputGone}
	a := p.End(now, call.ID, batch.Ended{Results: results})
	is.Equal(a.Done[0].Outcome, batch.OutcomeGone)
	is.Equal(len(a.Release), 1)
}

// Large results fill a server's memory. Small ones behind them go on, and the
// large ones follow when some were released.
func TestMemoryIsPlanned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	large := newJob(now, 1, 6)
	large.ResultBytes = 3_000_000
	call := add(p, now, large).Calls[0]
	is.Equal(len(call.Items), 6)
	another := newJob(now, 2, 2)
	another.ResultBytes = 3_000_000
	add(p, now, another)
	add(p, now, newJob(now, 3, 4))
	now = now.Add(300 * time.Millisecond)
	handles := made(call)
	next := p.End(now, call.ID, batch.Ended{Results: handles}).Calls[0]
	is.Equal(len(next.Items), 4)
	is.Equal(next.Items[0].AttemptID, "3")
	p.End(now, next.ID, batch.Ended{Results: made(next)})
	now = now.Add(10 * time.Millisecond)
	last := p.Released(now, []string{handles[0].Handle, handles[1].Handle}).Calls
	is.Equal(len(last), 1)
	is.Equal(last[0].Items[0].AttemptID, "2")
}

// Another ingress batched before and its results still fill the server. Items that
// found no memory must not be sent there again and again.
func TestForeignMemoryIsLearned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	job := newJob(now, 1, 4)
	job.ResultBytes = 3_000_000
	call := add(p, now, job).Calls[0]
	results := make([]site.ItemResult, 4)
	for i := range results {
		results[i].Outcome = site.ItemNoRoom
	}
	is.Equal(len(p.End(now, call.ID, batch.Ended{Results: results}).Calls), 0)
	is.Equal(len(p.Tick(now.Add(100*time.Millisecond)).Calls), 0)
	is.Equal(len(p.Tick(now.Add(1500*time.Millisecond)).Calls), 1)
}

// Results are used in the domain of their engine. A job of large results waits for the
// server there while it will be free in time, and takes another one at once where not.
func TestOwnDomainComesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "b")
	jobA := newJob(now, 1, 1)
	jobA.Domain = "a"
	first := add(p, now, jobA).Calls[0]
	is.Equal(first.Server.Domain, "a")
	again := newJob(now, 2, 2)
	again.Domain = "a"
	again.ResultBytes = 1_500_000
	is.Equal(len(add(p, now, again).Calls), 0)
	is.Equal(len(p.Tick(now.Add(210*time.Millisecond)).Calls), 0) // free after 220 ms
	now = now.Add(220 * time.Millisecond)
	own := p.End(now, first.ID, batch.Ended{Results: made(first)}).Calls
	is.Equal(len(own), 1)
	is.Equal(own[0].Server.Domain, "a")
	smaller := newJob(now, 4, 2)
	smaller.Domain = "a"
	smaller.ResultBytes = 400_000 // worth 192 ms, and the server is busy for 240 ms
	late := add(p, now, smaller).Calls
	is.Equal(len(late), 1)
	is.Equal(late[0].Server.Domain, "b")
	lost := newJob(now, 3, 1)
	lost.Domain = "c" // no server stands there
	p.End(now, late[0].ID, batch.Ended{Results: made(late[0])})
	is.Equal(len(add(p, now, lost).Calls), 1)
}

// A note's three stages each find their own domain's server busy and another one idle.
// Were it to wait for 200 ms a stage, it would be late with no pool full; what would
// cross is a few kilobytes, so it goes at once. So does a job of large results that has
// no time to wait, while one whose inputs are large waits though its results are small.
func TestWaitForTheOwnDomainIsWorthItsBytes(t *testing.T) {
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
			add(p, now, busy)
			job := newJob(now, 2, 2)
			job.Domain = "a"
			job.ResultBytes, job.InputBytes = c.resultBytes, c.inputBytes
			job.Target = now.Add(c.target)
			add(p, now, job)
			is.Equal(len(p.Tick(now.Add(20*time.Millisecond)).Calls) == 0 && p.CountItems() == 2, c.waits)
		})
	}
}

// A server turns five times slower. While the others keep up it gets nothing.
func TestSlowServerIsSpared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a", "a")
	for id := uint64(1); id < 40; id++ {
		a := add(p, now, newJob(now, id, 1))
		is.Equal(len(a.Calls), 1)
		took := 220 * time.Millisecond
		if a.Calls[0].Server.ID == "p0" {
			took = 1100 * time.Millisecond
			is.True(id < 10)
		}
		now = now.Add(took)
		p.End(now, a.Calls[0].ID, batch.Ended{Results: made(a.Calls[0])})
	}
}

func TestNoServerAnswersAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := batch.NewPlanner(newPool(), nil, always)
	a := add(p, now, newJob(now, 1, 1))
	is.Equal(a.Done[0].Outcome, batch.OutcomeNoServer)
	is.True(a.Done[0].RetryAfter > 0)
}

// The queue is so long that a job cannot be done before it is of no use. Its
// caller learns so at once, with the time after which it could.
func TestHopelessJobsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	refused := 0
	for id := uint64(1); id <= 100; id++ {
		for _, d := range add(p, now, newJob(now, id, 4)).Done {
			is.Equal(d.Outcome, batch.OutcomeBusy)
			is.True(d.RetryAfter > 3*time.Second)
			refused++
		}
	}
	is.True(refused > 20 && refused < 80)
}
