// Package chain decides about the stages of one request together: whether they
// can end in time, when each should begin, and until when each is of use.
package chain

import (
	"time"

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
	// Time that a new job waits until it is in a call.
	Time time.Duration
	// At is when it was told.
	At time.Time
}

// Known are the services of the stages as one ingress knows them.
type Known struct {
	Pools map[string]*site.Pool
	Waits map[string]Wait
}

// Plan is the outlook of one request's stages.
type Plan struct {
	// Total predicts the time until the engine begins its answer.
	Total time.Duration
	// After predicts, by stage, the time from the end of a stage to that.
	After []time.Duration
	// Level is, by stage, how many stages still follow on the longest way to the engine.
	Level []int
}

// NewPlan predicts a chain. Counts holds the number of results of each stage; a
// stage without results takes no time.
func NewPlan(now time.Time, stages []site.Stage, counts []int, k Known) Plan {
	p := Plan{After: make([]time.Duration, len(stages)), Level: make([]int, len(stages))}
	for i := range stages {
		p.After[i] = engineTime
	}
	// A stage takes results of stages with lower numbers only.
	for i := len(stages) - 1; i >= 0; i-- {
		own := p.After[i] + stageTime(now, stages[i].Service, countOf(counts, i), k)
		for _, before := range stages[i].After {
			p.After[before] = max(p.After[before], own)
			p.Level[before] = max(p.Level[before], p.Level[i]+levelOf(counts, i))
		}
		p.Total = max(p.Total, own)
	}
	return p
}

func levelOf(counts []int, stage int) int {
	if countOf(counts, stage) == 0 {
		return 0
	}
	return 1
}

func countOf(counts []int, stage int) int {
	if stage >= len(counts) {
		return 0
	}
	return counts[stage]
}

// stageTime predicts the time from handing a stage in to its results.
func stageTime(now time.Time, service string, count int, k Known) time.Duration {
	pool := k.Pools[service]
	if count == 0 || pool == nil {
		return 0
	}
	items := min(max(count, pool.Batch/typicalFill), pool.Batch)
	return k.wait(now, service) + pool.CallTime + time.Duration(items)*pool.ItemTime
}

// wait returns the last told wait, faded by its age.
func (k Known) wait(now time.Time, service string) time.Duration {
	w, known := k.Waits[service]
	if !known {
		return 0
	}
	left := 1 - float64(now.Sub(w.At))/float64(waitAge)
	return time.Duration(max(left, 0) * float64(w.Time))
}

// Begin tells whether a stage whose inputs are there begins now. Deepest is the
// highest level of the stages that have not ended.
//
// A stage that nothing waits for begins when the others have as few stages left
// as it has: begun earlier, its results would only take memory at their
// server until the others have caught up. On the deployments' sheets such
// results are the large ones, 1.5 MB each, and a server holds about a dozen.
func (p Plan) Begin(stage, deepest int) bool {
	return p.Level[stage] >= deepest
}

// Verdict says what becomes of a request before its first stage.
type Verdict string

// The verdicts.
const (
	// Go begins.
	Go Verdict = "go"
	// Refuse answers at once that the request was not run.
	Refuse Verdict = "refuse"
)

// Admit decides on a request that must begin its answer before ends. RetryAfter says when it could.
func (p Plan) Admit(now, ends time.Time) (v Verdict, retryAfter time.Duration) {
	over := now.Add(p.Total + endReserve).Sub(ends)
	if over <= 0 {
		return Go, 0
	}
	return Refuse, over
}

// Limits returns until when a stage must have ended for the request to be on
// time, and until when its results are of use at all.
func (p Plan) Limits(stage int, target, ends time.Time) (onTime, useful time.Time) {
	return target.Add(-p.After[stage]), ends.Add(-p.After[stage] - endReserve)
}
