package chain_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

const ms = time.Millisecond

// newStages returns the stages of a part lookup: one stage of large results that no other
// stage uses, and a chain of three stages.
func newStages() []site.Stage {
	return []site.Stage{
		{Service: "encode", ResultBytes: 1_500_000},
		{Service: "encode", ResultBytes: 8000},
		{Service: "retrieve", After: []int{1}, ResultBytes: 60_000},
		{Service: "rerank", After: []int{2}, ResultBytes: 6000},
	}
}

// newReport returns the report of a queue in which a request of rank 0 waits for the given
// times: onTime if it can be on time, late if it cannot.
func newReport(at time.Time, onTime, late time.Duration) chain.Report {
	const rate = 1000
	return chain.Report{At: at, Backlog: delay.Backlog{
		OnTime: delay.Counts{0: rate * onTime.Seconds()}, Late: delay.Counts{0: rate * (late - onTime).Seconds()}, Rate: rate,
	}}
}

func newSnapshot(now time.Time, wait time.Duration) chain.Snapshot {
	pool := &site.Pool{MaxBatch: 10, CallTime: 200 * ms, ItemTime: 10 * ms, ResultTTL: 4 * time.Second}
	s := chain.Snapshot{Pools: map[string]*site.Pool{}, Reports: map[string]chain.Report{}}
	for _, name := range []string{"encode", "retrieve", "rerank"} {
		s.Pools[name] = pool
		s.Reports[name] = newReport(now, wait, 3*wait)
	}
	return s
}

func TestPlanAddsTheLongestPath(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, newSnapshot(now, 100*ms))
	// engine 200, rerank 200+100, retrieve 200+60, encode 100+200+50; the queues of the
	// later stages are worked off before the request reaches them
	is.Equal(p.Total, 1110*ms)
	is.Equal(p.Remaining[1], 760*ms)
	is.Equal(p.Remaining[0], 200*ms)
	is.Equal(p.StagesLeft, []int{0, 2, 1, 0})
}

// A stage without results takes no time and does not delay other stages.
func TestPlanSkipsStagesWithoutResults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 0, 0, 0}, newSnapshot(now, 100*ms))
	is.Equal(p.Total, 550*ms) // 100+200+50 and the engine's 200
	is.Equal(p.StagesLeft, []int{0, 0, 0, 0})
	is.Equal(chain.NewPlan(now, 0, newStages(), nil, chain.Snapshot{}).Total, 200*ms)
}

// Guards against large results that fill the memory of their server for a second longer than
// needed. Only the engine needs them, at the end, so their stage must start together with the last
// stage of the chain; both then end at the same time. The load has twenty such requests a second.
func TestLargeResultsAreProducedLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, newSnapshot(now, 0))
	is.True(!p.ShouldStart(0, 2)) // two stages follow the first one of the chain
	is.True(p.ShouldStart(1, 2))
	is.True(!p.ShouldStart(0, 1))
	is.True(p.ShouldStart(0, 0)) // the last stage of the chain starts now
}

// A burst of one kind of request, at 2.6 times its usual rate for six seconds, fills the queue of
// its last stage. Requests that can be on time are admitted, late ones that would
// occupy memory for long are held before their first stage while they can still meet their
// deadline, and those that cannot meet it are refused at once.
func TestAdmitInABurst(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name             string
		onTime, late     time.Duration
		target, deadline time.Duration
		want             chain.Verdict
	}{
		{"no load", 0, 0, 2 * time.Second, 8 * time.Second, chain.Admit},
		{"short queue", 900 * ms, 1200 * ms, 2500 * ms, 8 * time.Second, chain.Admit},
		{"late, and its results would wait for a large share of their keep time", 2 * time.Second, 2500 * ms, 2 * time.Second, 8 * time.Second, chain.Hold},
		{"late, short wait", 200 * ms, 300 * ms, 500 * ms, 8 * time.Second, chain.Admit},
		{"late, and the deadline cannot be met", 3 * time.Second, 7 * time.Second, 2 * time.Second, 8 * time.Second, chain.Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSnapshot(now, 0)
			s.Reports["rerank"] = newReport(now, c.onTime, c.late)
			p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, s)
			got, retryAfter := p.Admit(now, now.Add(c.target), now.Add(c.deadline))
			is.Equal(got, c.want)
			is.Equal(retryAfter > 0, c.want == chain.Refuse)
		})
	}
}

// Guards against estimates from the current queues alone. At the start of a burst a hundred
// requests are in their first stage and the later queues are still empty, but they will be full
// when the next request gets there: the pending results count, minus those produced by then.
func TestPlanCountsPendingResults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := newSnapshot(now, 0)
	counts := []int{0, 1, 6, 10}
	empty := chain.NewPlan(now, 0, newStages(), counts, s)
	s.Reports["rerank"] = chain.Report{Backlog: delay.Backlog{Rate: 500}, At: now}
	s.Pending = map[string]delay.Counts{"rerank": {0: 1000}}
	full := chain.NewPlan(now, 0, newStages(), counts, s)
	// 1000 results at 500 per second take 2 s, of which 510 ms pass in the earlier stages
	is.Equal(full.Total-empty.Total, 1490*ms)
}

// A report that is two seconds old no longer counts. Otherwise an ingress that refused every
// request would get no new reports and would never learn that the queue is short again.
func TestReportedWaitsFade(t *testing.T) {
	is := is.New(t)
	reported := time.Unix(0, 0)
	s := newSnapshot(reported, 2*time.Second)
	fresh := chain.NewPlan(reported, 0, newStages(), []int{0, 1, 1, 1}, s)
	old := chain.NewPlan(reported.Add(2*time.Second), 0, newStages(), []int{0, 1, 1, 1}, s)
	is.Equal(fresh.Total-old.Total, 2*time.Second) // the queues of the later stages are worked off meanwhile
}

func TestDeadlinesLeaveTimeForLaterStages(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{0, 1, 6, 10}, newSnapshot(now, 0))
	onTime, expires := p.Deadlines(1, now.Add(2*time.Second), now.Add(8*time.Second))
	is.Equal(onTime, now.Add(2*time.Second-p.Remaining[1]))
	is.True(expires.Before(now.Add(8*time.Second - p.Remaining[1])))
}

// A burst of reviews fills the queue of the first stage, and more are pending; notes have a more
// urgent rank. By an estimate from the whole queue, a note would wait 3 s and be refused, but only
// other notes are served before it. A chat, less urgent than both, must not be admitted.
func TestAdmitByRank(t *testing.T) {
	is := is.New(t)
	const note, review, chat = site.Rank(0), site.Rank(1), site.Rank(2)
	now := time.Unix(0, 0)
	s := newSnapshot(now, 0)
	s.Reports["encode"] = chain.Report{At: now, Backlog: delay.Backlog{
		OnTime: delay.Counts{note: 20, review: 300}, Late: delay.Counts{review: 500}, Rate: 100,
	}}
	s.Pending = map[string]delay.Counts{"encode": {review: 100}}
	admit := func(rank site.Rank) chain.Verdict {
		p := chain.NewPlan(now, rank, newStages(), []int{0, 1, 6, 10}, s)
		v, _ := p.Admit(now, now.Add(2*time.Second), now.Add(6*time.Second))
		return v
	}
	is.Equal(admit(note), chain.Admit)
	is.Equal(admit(review), chain.Refuse)
	is.Equal(admit(chat), chain.Refuse)
}

// Guards against a plan that depends on how the stages are numbered.
func TestPlanDoesNotDependOnTheNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages, counts := newStages(), []int{2, 1, 6, 10}
		now := time.Unix(0, 0)
		s := newSnapshot(now, 100*ms)
		s.Reports["rerank"] = newReport(now, 900*ms, 1200*ms)
		want := chain.NewPlan(now, 0, stages, counts, s)
		numbers := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "numbers")
		renumbered, recounted := make([]site.Stage, len(stages)), make([]int, len(stages))
		for i, stage := range stages {
			moved := stage
			moved.After = nil
			for _, input := range stage.After {
				moved.After = append(moved.After, numbers[input])
			}
			renumbered[numbers[i]], recounted[numbers[i]] = moved, counts[i]
		}
		got := chain.NewPlan(now, 0, renumbered, recounted, s)
		if got.Total != want.Total || got.LateTotal != want.LateTotal {
			t.Fatalf("%v and %v, not %v and %v", got.Total, got.LateTotal, want.Total, want.LateTotal)
		}
		for i, n := range numbers {
			if got.Remaining[n] != want.Remaining[i] || got.StagesLeft[n] != want.StagesLeft[i] {
				t.Fatalf("stage %d: %v, %d left, not %v, %d", i, got.Remaining[n], got.StagesLeft[n], want.Remaining[i], want.StagesLeft[i])
			}
		}
	})
}

// Guards against a request with more results than the pools can ever produce that is admitted, and whose pending
// results make each other request seem late.
func TestRequestOfTooManyResultsIsRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	for _, count := range []int{100_000, math.MaxInt32} {
		p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, count}, newSnapshot(now, 0))
		verdict, retryAfter := p.Admit(now, now.Add(2*time.Second), now.Add(20*time.Second))
		is.Equal(verdict, chain.Refuse)
		is.True(retryAfter > 0)
	}
}

// The stages of a request that is late are served after those of the others, so that they end later.
func TestCanEndBy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.Plan{Total: 1700 * ms, LateTotal: 4200 * ms} // with 200 ms for the start of the answer
	onTime, late := now.Add(2*time.Second), now.Add(time.Second)
	is.True(p.CanEndBy(now, onTime, now.Add(1500*ms)))
	is.True(!p.CanEndBy(now, onTime, now.Add(1400*ms)))
	is.True(!p.CanEndBy(now, late, now.Add(1500*ms)))
	is.True(p.CanEndBy(now, late, now.Add(4*time.Second)))
}
