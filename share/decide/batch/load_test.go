package batch_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/models/site"
)

// loadResult counts how the jobs of a load ended.
type loadResult struct {
	offered, onTime, late, refused, calls int
	// byRank counts the jobs that were offered and those on time by rank.
	byRank map[site.Rank]rankCount
}

// rankCount counts the jobs of one rank.
type rankCount struct{ offered, onTime int }

func (o *loadResult) count(rank site.Rank, offered, onTime int) {
	r := o.byRank[rank]
	o.byRank[rank] = rankCount{offered: r.offered + offered, onTime: r.onTime + onTime}
}

// newMixedJob returns a job of one to three results with a target one second from now.
func newMixedJob(source *rand.Rand, now time.Time, id uint64) batch.Job {
	job := newJob(now, id, 1+source.IntN(3))
	job.Target = now.Add(time.Second)
	job.Expires = now.Add(4 * time.Second)
	return job
}

// callEnd is the end of a call at a server.
type callEnd struct {
	at      time.Time
	planner int
	call    batch.Call
	refused bool
}

// simulate offers a load to planners that share five servers. Like the pools of the users, each
// server works on one call at a time, lets two more wait and refuses the rest.
func simulate(planners int, rate func(time.Duration) float64, length time.Duration, draw func(*rand.Rand, time.Time, uint64) batch.Job) loadResult {
	source := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // a fixed load
	start := time.Unix(0, 0)
	now := start
	o := loadResult{byRank: map[site.Rank]rankCount{}}
	ps := []*batch.Planner{}
	for range planners {
		ps = append(ps, newPlanner(start, "a", "a", "a", "a", "a"))
	}
	idleAt := map[string]time.Time{}
	waiting := map[string][]time.Time{}
	events := []callEnd{}
	jobs := map[uint64]batch.Job{}
	apply := func(i int, a batch.Actions) {
		for _, d := range a.Completions {
			switch {
			case d.Outcome != batch.OutcomeMade:
				o.refused++
			case now.After(jobs[d.JobID].Target):
				o.late++
			default:
				o.onTime++
				o.count(jobs[d.JobID].Rank, 0, 1)
			}
		}
		for _, c := range a.Calls {
			o.calls++
			id := c.Server.ID
			ends := waiting[id]
			for len(ends) > 0 && !ends[0].After(now) {
				ends = ends[1:]
			}
			if len(ends) >= 3 {
				waiting[id] = ends
				events = append(events, callEnd{at: now.Add(2 * time.Millisecond), planner: i, call: c, refused: true})
				continue
			}
			begin := idleAt[id]
			if begin.Before(now) {
				begin = now
			}
			pool := newPool()
			at := begin.Add(pool.CallTime + time.Duration(len(c.Items))*pool.ItemTime)
			idleAt[id] = at
			waiting[id] = append(ends, at)
			events = append(events, callEnd{at: at, planner: i, call: c})
		}
		sort.SliceStable(events, func(a, b int) bool { return events[a].at.Before(events[b].at) })
	}
	next := now
	for id := uint64(1); now.Sub(start) < length+8*time.Second; {
		step := now.Add(20 * time.Millisecond)
		if next.Before(step) && next.Sub(start) < length {
			step = next
		}
		if len(events) > 0 && !events[0].at.After(step) {
			e := events[0]
			events = events[1:]
			now = e.at
			results := resultsFor(e.call)
			if e.refused {
				for i := range results {
					results[i] = site.ItemResult{Outcome: site.ItemRefused}
				}
			}
			apply(e.planner, ps[e.planner].FinishCall(now, e.call.ID, batch.CallResult{Results: results}))
			continue
		}
		now = step
		if now.Equal(next) && now.Sub(start) < length {
			i := source.IntN(planners)
			job := draw(source, now, id)
			jobs[id] = job
			id++
			o.offered++
			o.count(job.Rank, 1, 0)
			apply(i, ps[i].Add(now, job))
			next = now.Add(time.Duration(source.ExpFloat64() / rate(now.Sub(start)) * float64(time.Second)))
			continue
		}
		for i, p := range ps {
			apply(i, p.Tick(now))
		}
	}
	return o
}

// Five servers produce 8 results per call of 360 ms, 111 per second in all. At 45 jobs per second
// of two results each, an ordinary load of both deployments, six ingresses with separate calls need
// more servers, since each call has a fixed cost of 200 ms. One planner fills the calls.
func TestOnePlannerHandlesLoadThatSixCannot(t *testing.T) {
	is := is.New(t)
	steady := func(time.Duration) float64 { return 45 }
	one := simulate(1, steady, 20*time.Second, newMixedJob)
	six := simulate(6, steady, 20*time.Second, newMixedJob)
	t.Logf("one planner: %+v; six: %+v", one, six)
	is.True(one.onTime*100 >= one.offered*97)
	is.True(six.onTime < one.onTime)
	is.True(one.calls < six.calls)
}

// The rate doubles for six seconds, beyond the capacity of the servers. Guards against a queue in
// which every job is served late: most jobs must be on time, and the queue must recover as soon as
// the burst is over.
func TestBurstLeavesMostOnTime(t *testing.T) {
	is := is.New(t)
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 11*time.Second {
			return 75
		}
		return 35
	}
	o := simulate(1, burst, 20*time.Second, newMixedJob)
	t.Logf("%+v", o)
	is.True(o.onTime*100 >= o.offered*70)
	is.True(o.onTime+o.late+o.refused == o.offered)
}

// A burst of reviews exceeds the capacity for six seconds. Notes have a more urgent rank and, with
// two more stages to go, time for little more than one call. Served by arrival, some notes would be
// late; served by rank, they must be on time, and the overload affects only the reviews causing it.
func TestBurstOfLessUrgentJobsDoesNotDelayUrgentOnes(t *testing.T) {
	is := is.New(t)
	const note, review = site.Rank(0), site.Rank(1)
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 11*time.Second {
			return 75
		}
		return 35
	}
	o := simulate(1, burst, 20*time.Second, func(source *rand.Rand, now time.Time, id uint64) batch.Job {
		job := newMixedJob(source, now, id)
		job.Rank = review
		if source.IntN(3) == 0 {
			job.Rank = note
			job.Target = now.Add(900 * time.Millisecond)
		}
		return job
	})
	t.Logf("%+v", o)
	is.True(o.byRank[note].onTime*100 >= o.byRank[note].offered*99)
	is.True(o.byRank[review].onTime*2 >= o.byRank[review].offered) // reviews must not starve
}

// A burst is twice the capacity of the servers. Late jobs are queued behind jobs that can be on
// time, which keep arriving, so that late jobs would never be served and their callers would learn
// that only after 4 s. They must be refused while their callers still have time to retry.
func TestQueuedJobsThatWouldExpireAreRefusedEarly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	source := rand.New(rand.NewPCG(7, 8)) //nolint:gosec // a fixed load
	arrivals := map[uint64]time.Time{}
	slowest := time.Duration(0)
	refused := 0
	events := []callEnd{}
	apply := func(a batch.Actions) {
		for _, d := range a.Completions {
			if d.Outcome == batch.OutcomeMade {
				continue
			}
			refused++
			slowest = max(slowest, now.Sub(arrivals[d.JobID]))
			is.True(d.RetryAfter > 0)
		}
		for _, c := range a.Calls {
			pool := newPool()
			events = append(events, callEnd{at: now.Add(pool.CallTime + time.Duration(len(c.Items))*pool.ItemTime), call: c})
		}
	}
	next := now
	for id := uint64(1); now.Before(time.Unix(10, 0)); {
		now = now.Add(5 * time.Millisecond)
		for len(events) > 0 && !events[0].at.After(now) {
			e := events[0]
			events = events[1:]
			apply(p.FinishCall(now, e.call.ID, batch.CallResult{Results: resultsFor(e.call)}))
		}
		for !next.After(now) {
			arrivals[id] = now
			apply(p.Add(now, newMixedJob(source, now, id)))
			id++
			next = next.Add(time.Duration(source.ExpFloat64() / 22 * float64(time.Second)))
		}
		apply(p.Tick(now))
	}
	t.Logf("refused %d of %d, the slowest after %v", refused, len(arrivals), slowest)
	is.True(refused*3 >= len(arrivals))
	is.True(slowest <= 2*time.Second)
}

// Guards against a state in which all jobs are late. At twice the capacity of the servers, at least
// nine tenths as many jobs must be on time as at their capacity.
func TestOverloadKeepsItsThroughput(t *testing.T) {
	is := is.New(t)
	const capacity = 55 // jobs per second: 5 servers produce 8 results each in 360 ms, and a job needs two
	full := simulate(1, func(time.Duration) float64 { return capacity }, 20*time.Second, newMixedJob)
	double := simulate(1, func(time.Duration) float64 { return 2 * capacity }, 20*time.Second, newMixedJob)
	t.Logf("at capacity %+v; at twice %+v", full, double)
	is.True(double.onTime*10 >= full.onTime*9)
}
