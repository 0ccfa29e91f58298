// Package chain decides about the stages of one request together: whether they
// can end in time, when each should begin, and until when each is of use.
package chain

import (
	"time"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

const (
	// engineTime is about how long an engine takes to begin its answer once it has the results.
	engineTime = 200 * time.Millisecond
	// waitAge is how long a reported wait counts; it fades over that time, since the
	// queue that it was read from is worked off meanwhile.
	waitAge = 1500 * time.Millisecond
	// endReserve is kept between the end of the stages and the request's own deadline,
	// for the events of the answer.
	endReserve = 700 * time.Millisecond
	// typicalFill is the part of a batch that a call holds beside the request's own items.
	typicalFill = 2
)

// Wait is what the batcher of a service last told of its queue.
type Wait struct {
	delay.Backlog
	// At is when it was told; zero: it was not.
	At time.Time
}

// Known are the services of the stages as one ingress knows them.
type Known struct {
	Pools map[string]*site.Pool
	Waits map[string]Wait
	// Ahead are the results of each service that requests under way still need and
	// that no queue holds yet, at all ingresses together.
	Ahead map[string]delay.Counts
}

// Plan is the outlook of one request's stages.
type Plan struct {
	// Total predicts the time until the engine begins its answer, LateTotal the same
	// for a request that goes behind those that can be on time.
	Total     time.Duration
	LateTotal time.Duration
	// After predicts, by stage, the time from the end of a stage to that.
	After []time.Duration
	// Level is, by stage, how many stages still follow on the longest way to the engine.
	Level []int
	// held is the longest wait of a late request's results for the next stage,
	// against the time that they are kept.
	held float64
}

// NewPlan predicts a chain for a request of a rank: it waits for what goes before it
// and passes the rest. Counts holds the number of results of each stage; a stage
// without results takes no time.
//
// Guards against a burst of the less urgent that keeps the urgent out: judged by the
// whole queue, as many of both are refused, and those that are let in are the ones
// with the fewest stages.
func NewPlan(now time.Time, rank site.Rank, stages []site.Stage, counts []int, k Known) Plan {
	p := Plan{After: make([]time.Duration, len(stages)), Level: make([]int, len(stages))}
	onTime, _ := k.stageTimes(stages, counts, func(service string) time.Duration { return k.wait(now, service, rank) })
	late, lateWaits := k.stageTimes(stages, counts, func(service string) time.Duration { return k.lateWait(now, service, rank) })
	afterLate := make([]time.Duration, len(stages))
	for i := range stages {
		p.After[i] = engineTime
		afterLate[i] = engineTime
	}
	// A stage takes results of stages with lower numbers only.
	for i := len(stages) - 1; i >= 0; i-- {
		own := p.After[i] + onTime[i]
		ownLate := afterLate[i] + late[i]
		for _, before := range stages[i].After {
			p.After[before] = max(p.After[before], own)
			afterLate[before] = max(afterLate[before], ownLate)
			p.Level[before] = max(p.Level[before], p.Level[i]+min(countOf(counts, i), 1))
			p.held = max(p.held, k.heldShare(stages[before].Service, lateWaits[i]))
		}
		p.Total = max(p.Total, own)
		p.LateTotal = max(p.LateTotal, ownLate)
	}
	return p
}

// stageTimes predicts how long each stage takes, and how much of that it waits.
//
// Requests that are still in an earlier stage arrive before this one; leaving
// them out lets a burst in until the queues behind the first stage are full,
// which shows a second later. What is worked off until this one arrives is taken off.
func (k Known) stageTimes(stages []site.Stage, counts []int, wait func(service string) time.Duration) (times, waits []time.Duration) {
	times = make([]time.Duration, len(stages))
	waits = make([]time.Duration, len(stages))
	ends := make([]time.Duration, len(stages))
	for i, s := range stages {
		arrives := time.Duration(0)
		for _, before := range s.After {
			arrives = max(arrives, ends[before])
		}
		if n := countOf(counts, i); n > 0 && k.Pools[s.Service] != nil {
			waits[i] = max(wait(s.Service)-arrives, 0)
			times[i] = waits[i] + callTime(k.Pools[s.Service], n)
		}
		ends[i] = arrives + times[i]
	}
	return times, waits
}

func countOf(counts []int, stage int) int {
	if stage >= len(counts) {
		return 0
	}
	return counts[stage]
}

// callTime is about how long the call takes that holds a stage's results.
func callTime(pool *site.Pool, count int) time.Duration {
	items := min(max(count, pool.Batch/typicalFill), pool.Batch)
	return pool.CallTime + time.Duration(items)*pool.ItemTime
}

// heldShare returns the part of the time that a server keeps results for which they would wait.
func (k Known) heldShare(maker string, wait time.Duration) float64 {
	pool := k.Pools[maker]
	if pool == nil || pool.KeepTime <= 0 {
		return 0
	}
	return float64(wait) / float64(pool.KeepTime)
}

// wait predicts how long a request that can be on time waits at a service.
func (k Known) wait(now time.Time, service string, rank site.Rank) time.Duration {
	w := k.Waits[service]
	return fade(now, w, w.Wait(rank)) + aheadTime(w, k.Ahead[service].UpTo(rank))
}

// lateWait predicts the same for a request that cannot be on time.
func (k Known) lateWait(now time.Time, service string, rank site.Rank) time.Duration {
	w := k.Waits[service]
	return fade(now, w, w.LateWait(rank)) + aheadTime(w, k.Ahead[service].Sum())
}

// fade takes off what was worked off since a wait was told.
func fade(now time.Time, w Wait, told time.Duration) time.Duration {
	left := max(1-float64(now.Sub(w.At))/float64(waitAge), 0)
	return time.Duration(left * float64(told))
}

// aheadTime is how long the service takes for results that will be in its queue before
// a new request; nothing where its rate is not known.
func aheadTime(w Wait, results float64) time.Duration {
	if w.Rate == 0 {
		return 0
	}
	return w.ProcessingTime(results, 0)
}

// Begin tells whether a stage whose inputs are there begins now. Deepest is the
// highest level of the stages that have not ended.
//
// A stage that nothing waits for begins when the others have as few stages left
// as it has: begun earlier, its results would only take memory at their
// server until the others have caught up. Such results are often the
// large ones, of which a server holds few.
func (p Plan) Begin(stage, deepest int) bool {
	return p.Level[stage] >= deepest
}

// Verdict says what becomes of a request before its first stage.
type Verdict string

// The verdicts.
const (
	// Go begins.
	Go Verdict = "go"
	// Hold waits: the request will be late, and its results would lie at their
	// servers for too long while others that can be on time go first.
	Hold Verdict = "hold"
	// Refuse answers at once that the request was not run.
	Refuse Verdict = "refuse"
)

const (
	// maxHeld is the part of the time that results are kept for which they may wait.
	// Those that wait for longer take memory which requests that are on time need.
	maxHeld = 0.15
	// lateReserve is how much longer than predicted a late request must have: whatever
	// can be on time goes before it.
	lateReserve = 1.2
)

// Admit decides on a request that should begin its answer before target and
// must before ends. RetryAfter says when one that is refused could be served.
//
// Overload makes all requests late where each waits its turn. So what can be
// on time goes at once; what cannot, but would be done with some certainty
// when the others have passed, waits where it holds nothing; the rest is told
// at once when to come back.
func (p Plan) Admit(now, target, ends time.Time) (v Verdict, retryAfter time.Duration) {
	if !now.Add(p.Total).After(target) {
		return Go, 0
	}
	needed := time.Duration(lateReserve*float64(p.LateTotal)) + endReserve
	if over := now.Add(needed).Sub(ends); over > 0 {
		return Refuse, over
	}
	if p.held > maxHeld {
		return Hold, 0
	}
	return Go, 0
}

// Limits returns until when a stage must have ended for the request to be on
// time, and until when its results are of use at all.
func (p Plan) Limits(stage int, target, ends time.Time) (onTime, useful time.Time) {
	return target.Add(-p.After[stage]), ends.Add(-p.After[stage] - endReserve)
}
