// Package chain makes the decisions that concern all stages of one request together:
// whether the stages can end in time, when each of them starts, and by when each must end.
package chain

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

const (
	// engineStartTime is the approximate time from when an engine has the results of the
	// stages until its answer begins.
	engineStartTime = 200 * time.Millisecond
	// reportFadeTime is the age at which a reported wait no longer counts. Its weight falls
	// linearly until then, because the queue it describes is worked off in the meantime.
	reportFadeTime = 1500 * time.Millisecond
	// answerReserve is the time kept free between the end of the stages and the deadline
	// of the request, for the events of the answer.
	answerReserve = 700 * time.Millisecond
	// typicalFillDivisor sets the assumed size of a call: a full batch divided by it, or the
	// request's own items if they are more, but never more than a batch.
	typicalFillDivisor = 2
)

// Report is the last report of a batcher about the queue of its service.
type Report struct {
	delay.Backlog
	// At is when the report arrived; zero if there was none.
	At time.Time
}

// Snapshot is the view that one ingress has of the services that run the stages.
type Snapshot struct {
	Pools   map[string]*site.Pool
	Reports map[string]Report
	// Pending counts, by service, the results that requests in flight still need but that
	// are not in a queue yet, summed over all ingresses.
	Pending map[string]delay.Counts
}

// Plan holds the estimated times of the stages of one request.
type Plan struct {
	// Total is the estimated time until the engine's answer begins if the request is served
	// among those that can be on time, LateTotal the same if it is served after them.
	Total     time.Duration
	LateTotal time.Duration
	// Remaining is, by stage, the estimated time from the end of that stage until the
	// engine's answer begins.
	Remaining []time.Duration
	// StagesLeft is, by stage, the number of stages that follow on the longest path to the
	// engine. Stages without results do not count.
	StagesLeft []int
	// maxWaitShare is the longest time that results of a late request wait for their next
	// stage, as a share of the time for which servers keep them.
	maxWaitShare float64
}

// NewPlan estimates the times of the stages for a request of the given rank, which waits
// for requests that are at least as urgent and overtakes the others. Counts holds the number
// of results of each stage; a stage without results takes no time.
//
// If the estimate used the whole queue instead, a burst of less urgent requests would cause as
// many urgent requests as less urgent ones to be refused, and the requests admitted would be
// those with the fewest stages.
func NewPlan(now time.Time, rank site.Rank, stages []site.Stage, counts []int, s Snapshot) Plan {
	p := Plan{Remaining: make([]time.Duration, len(stages)), StagesLeft: make([]int, len(stages))}
	order := site.OrderStages(stages)
	onTime, _ := s.stageTimes(stages, order, counts, func(service string) time.Duration { return s.wait(now, service, rank) })
	late, lateWaits := s.stageTimes(stages, order, counts, func(service string) time.Duration { return s.lateWait(now, service, rank) })
	lateRemaining := make([]time.Duration, len(stages))
	for i := range stages {
		p.Remaining[i] = engineStartTime
		lateRemaining[i] = engineStartTime
	}
	// Going backwards visits every stage after all stages that use its results.
	for _, i := range slices.Backward(order) {
		total := p.Remaining[i] + onTime[i]
		lateTotal := lateRemaining[i] + late[i]
		for _, input := range stages[i].After {
			p.Remaining[input] = max(p.Remaining[input], total)
			lateRemaining[input] = max(lateRemaining[input], lateTotal)
			p.StagesLeft[input] = max(p.StagesLeft[input], p.StagesLeft[i]+min(countOf(counts, i), 1))
			p.maxWaitShare = max(p.maxWaitShare, s.waitShare(stages[input].Service, lateWaits[i]))
		}
		p.Total = max(p.Total, total)
		p.LateTotal = max(p.LateTotal, lateTotal)
	}
	return p
}

// stageTimes estimates how long each stage takes and how much of that it waits. Order lists the
// stages so that each follows its inputs. The function wait returns the wait of a result that would
// reach the service now.
//
// That wait must include the results of requests that are still in an earlier stage, since
// they reach the service first. Without them a burst is admitted until the queues after the
// first stage are full, which becomes visible only a second later. The time that the request
// spends in earlier stages is subtracted, because the queue is worked off in the meantime.
func (s Snapshot) stageTimes(stages []site.Stage, order, counts []int, wait func(service string) time.Duration) (times, waits []time.Duration) {
	times = make([]time.Duration, len(stages))
	waits = make([]time.Duration, len(stages))
	ends := make([]time.Duration, len(stages))
	for _, i := range order {
		stage := stages[i]
		arrival := time.Duration(0)
		for _, input := range stage.After {
			arrival = max(arrival, ends[input])
		}
		if n := countOf(counts, i); n > 0 && s.Pools[stage.Service] != nil {
			waits[i] = max(wait(stage.Service)-arrival, 0)
			times[i] = waits[i] + max(callTime(s.Pools[stage.Service], n), pendingTime(s.Reports[stage.Service], float64(n)))
		}
		ends[i] = arrival + times[i]
	}
	return times, waits
}

func countOf(counts []int, stage int) int {
	if stage >= len(counts) {
		return 0
	}
	return counts[stage]
}

// callTime estimates the duration of the call that produces count results of a stage.
func callTime(pool *site.Pool, count int) time.Duration {
	items := min(max(count, pool.MaxBatch/typicalFillDivisor), pool.MaxBatch)
	return pool.CallTime + time.Duration(items)*pool.ItemTime
}

// waitShare returns the time that results wait for their next stage as a share of the time
// for which the servers of the producing service keep them.
func (s Snapshot) waitShare(producer string, wait time.Duration) float64 {
	pool := s.Pools[producer]
	if pool == nil || pool.ResultTTL <= 0 {
		return 0
	}
	return float64(wait) / float64(pool.ResultTTL)
}

// wait estimates how long a request that can be on time waits at a service.
func (s Snapshot) wait(now time.Time, service string, rank site.Rank) time.Duration {
	r := s.Reports[service]
	return fade(now, r, r.Wait(rank)) + pendingTime(r, s.Pending[service].UpTo(rank))
}

// lateWait estimates the same for a request that cannot be on time.
func (s Snapshot) lateWait(now time.Time, service string, rank site.Rank) time.Duration {
	r := s.Reports[service]
	return fade(now, r, r.LateWait(rank)) + pendingTime(r, s.Pending[service].Sum())
}

// fade reduces a reported wait by the share that has been worked off since the report.
func fade(now time.Time, r Report, wait time.Duration) time.Duration {
	left := max(1-float64(now.Sub(r.At))/float64(reportFadeTime), 0)
	return time.Duration(left * float64(wait))
}

// pendingTime estimates how long the service takes for results that will enter its queue
// before a new request does; zero if its rate is not known.
func pendingTime(r Report, results float64) time.Duration {
	if r.Rate == 0 {
		return 0
	}
	return r.ProcessingTime(results, 0)
}

// ShouldStart reports whether a stage that has all its inputs starts now. The parameter
// maxStagesLeft is the maximum of StagesLeft over the stages that have not ended.
//
// A stage on a shorter path waits until the other stages have no more stages left than it
// has. If it started earlier, it would only fill the memory of its server with results that
// cannot be used until the longer path has caught up. Such results are often the large ones,
// of which a server can hold few.
func (p Plan) ShouldStart(stage, maxStagesLeft int) bool {
	return p.StagesLeft[stage] >= maxStagesLeft
}

// Verdict is the decision on a request before its first stage.
type Verdict string

// The verdicts.
const (
	// Admit starts the request.
	Admit Verdict = "go"
	// Hold delays the request: it will be late, and its results would occupy the memory of
	// their servers for too long while requests that can be on time are served first.
	Hold Verdict = "hold"
	// Refuse answers at once that the request was not run.
	Refuse Verdict = "refuse"
)

const (
	// maxLateWaitShare is the share of their keep time for which results of a late request
	// may wait. Results that wait longer take memory that on-time requests need.
	maxLateWaitShare = 0.15
	// lateSafetyFactor scales the estimated time of a late request: every request that can
	// be on time is served before it.
	lateSafetyFactor = 1.2
)

// Admit decides on a request whose answer should begin before target and which must end
// before deadline. RetryAfter is how long the caller of a refused request should wait.
//
// In an overload, serving all requests in their order of arrival makes all of them late.
// Therefore a request that can be on time is admitted at once. A request that cannot, but
// very likely ends before its deadline after the on-time requests have been served, is held
// for as long as its results would wait too long between stages. Any other is refused at once.
func (p Plan) Admit(now, target, deadline time.Time) (v Verdict, retryAfter time.Duration) {
	if !now.Add(p.Total).After(target) {
		return Admit, 0
	}
	needed := time.Duration(lateSafetyFactor*float64(p.LateTotal)) + answerReserve
	if excess := now.Add(needed).Sub(deadline); excess > 0 {
		return Refuse, excess
	}
	if p.maxWaitShare > maxLateWaitShare {
		return Hold, 0
	}
	return Admit, 0
}

// CanEndBy reports whether the stages of an admitted request are expected to end by a point in time.
func (p Plan) CanEndBy(now, target, by time.Time) bool {
	expected := p.Total
	if now.Add(p.Total).After(target) {
		expected = p.LateTotal
	}
	return !now.Add(expected - engineStartTime).After(by)
}

// Deadlines returns the time by which a stage must end for the request to meet its target,
// and the time after which its results are useless.
func (p Plan) Deadlines(stage int, target, deadline time.Time) (onTime, expires time.Time) {
	return target.Add(-p.Remaining[stage]), deadline.Add(-p.Remaining[stage] - answerReserve)
}
