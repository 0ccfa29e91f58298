package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// limitedPool simulates the servers of a planner, of which the first states a rate.
type limitedPool struct {
	planner *batch.Planner
	// open holds the calls in flight with the times at which they end.
	open map[uint64]openCall
	// calls counts the calls by server, outcomes the completed jobs by outcome.
	calls    map[string]int
	outcomes map[batch.Outcome]int
	// added holds when the open jobs were added, waits how long the refused ones had waited.
	added map[uint64]time.Time
	waits []time.Duration
}

type openCall struct {
	call batch.Call
	ends time.Time
}

func newLimitedPool(now time.Time, rate float64, domains ...string) *limitedPool {
	limiter := quota.NewLimiter()
	servers := newServers(domains...)
	limiter.Observe(now, &servers[0], site.RateLimit{State: site.RateLimited, PerSecond: rate})
	p := newPlanner(now, domains...)
	p.SetLimiter(limiter)
	return &limitedPool{planner: p, open: map[uint64]openCall{}, calls: map[string]int{}, outcomes: map[batch.Outcome]int{}, added: map[uint64]time.Time{}}
}

func (l *limitedPool) perform(now time.Time, a batch.Actions) {
	for _, c := range a.Calls {
		l.calls[c.Server.ID]++
		l.open[c.ID] = openCall{call: c, ends: now.Add(200*time.Millisecond + time.Duration(len(c.Items))*20*time.Millisecond)}
	}
	for _, c := range a.Completions {
		l.outcomes[c.Outcome]++
		if c.Outcome == batch.OutcomeBusy {
			l.waits = append(l.waits, now.Sub(l.added[c.JobID]))
		}
		l.perform(now, l.planner.MarkReleased(now, c.Handles))
	}
}

// run adds a job with one item each interval, for the given time.
func (l *limitedPool) run(now time.Time, interval, length time.Duration) {
	const step = 5 * time.Millisecond
	id := uint64(0)
	next := now
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		if !now.Before(next) {
			id++
			next = next.Add(interval)
			l.added[id] = now
			l.perform(now, l.planner.Add(now, newJob(now, id, 1)))
		}
		for callID, o := range l.open {
			if !now.Before(o.ends) {
				delete(l.open, callID)
				l.perform(now, l.planner.FinishCall(now, callID, batch.CallResult{Results: resultsFor(o.call)}))
			}
		}
		l.perform(now, l.planner.Tick(now))
	}
}

// Guards against a pool server in need receiving as many calls as the others, and against one that
// gets none at all.
func TestPoolServerWithARateLimitGetsNoMoreCallsThanItTakes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := newLimitedPool(now, 0.5, "a", "a")
	l.run(now, 60*time.Millisecond, 20*time.Second)
	is.True(l.calls["p0"] <= 11)
	is.True(l.calls["p0"] >= 8)
	is.True(l.calls["p1"] > 30)
	is.Equal(l.outcomes[batch.OutcomeMade]+l.planner.CountJobs(), 334)
}

// Guards against a queue that is thought to be served as fast as without the limit, so that jobs are
// accepted and then expire, or wait before they are refused.
func TestQueueOfServersWithARateLimitRefusesAtOnce(t *testing.T) {
	for _, rate := range []float64{0, 0.5} {
		is := is.New(t)
		now := time.Unix(100, 0)
		l := newLimitedPool(now, rate, "a")
		l.run(now, 50*time.Millisecond, 20*time.Second)
		is.True(l.outcomes[batch.OutcomeBusy] > 200)
		is.Equal(l.outcomes[batch.OutcomeExpired], 0)
		atOnce := 0
		for _, wait := range l.waits {
			if wait == 0 {
				atOnce++
			}
		}
		is.True(4*atOnce > len(l.waits))
		is.True(l.calls["p0"] <= int(max(rate, quota.MinRate)*20)+2)
	}
}

// Guards against a job that waits for the server of its own failure domain although that one takes no
// call for a long time.
func TestJobLeavesTheDomainOfAServerWithARateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := newLimitedPool(now, 0.1, "a", "b")
	j := newJob(now, 1, 4)
	j.Domain = "a"
	j.ResultBytes = 1_500_000 // worth a wait of 1.4 s for a server in its own domain
	l.perform(now, addGathered(l.planner, now, j))
	is.Equal(l.calls, map[string]int{"p1": 1})
}

// Guards against an ingress that calls a server which states a rate, while another one may count the calls to it.
func TestJobOfAnUnreachableBatcherLeavesLimitedServersAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newLimitedPool(now, 5, "a")
	now = now.Add(10 * time.Second) // the rate allows calls
	job := newJob(now, 1, 1)
	job.IsFallback = true
	actions := l.planner.Add(now, job)
	is.Equal(len(actions.Calls), 0)
	is.Equal(actions.Completions[0].Outcome, batch.OutcomeNoServer)
	is.True(actions.Completions[0].RetryAfter > 0)
	unlimited := newLimitedPool(now, 5, "a", "b")
	unlimited.perform(now, unlimited.planner.Add(now, job))
	unlimited.perform(now.Add(time.Second), unlimited.planner.Tick(now.Add(time.Second)))
	is.Equal(unlimited.calls["p0"], 0)
	is.Equal(len(unlimited.calls), 1)
}
