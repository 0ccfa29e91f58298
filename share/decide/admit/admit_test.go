package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/modules/codes"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant in all but syntax

// newMeasured returns an admitter with 100 equal measured times of each stage.
func newMeasured(times map[string]time.Duration) *admit.Admitter {
	a := admit.New(admit.DefaultSettings())
	for key, took := range times {
		for range 100 {
			a.OnStageTime(start, key, took)
		}
	}
	return a
}

func TestDecideByDeadline(t *testing.T) {
	times := map[string]time.Duration{"encode": 20 * time.Millisecond, "generate": 800 * time.Millisecond}
	stages := func(wait time.Duration, full bool) []admit.Stage {
		return []admit.Stage{{Key: "encode"}, {Key: "generate", Wait: wait, QueuesFull: full}}
	}
	cases := []struct {
		name          string
		stages        []admit.Stage
		remaining     time.Duration
		code          codes.Code
		minRetryAfter time.Duration
		maxRetryAfter time.Duration
	}{
		{"fits", stages(100*time.Millisecond, false), time.Second, codes.OK, 0, 0},
		{"queue delay too long", stages(2*time.Second, false), time.Second, codes.DeadlineUnmeetable, 1700 * time.Millisecond, 2 * time.Second},
		{"stage times too long", stages(0, false), 300 * time.Millisecond, codes.DeadlineUnmeetable, 30 * time.Second, 30 * time.Second},
		{"queues full", stages(3*time.Second, true), time.Minute, codes.Overloaded, 3 * time.Second, 3 * time.Second},
		{"nothing measured", []admit.Stage{{Key: "new", EstimatedTime: time.Second}}, 500 * time.Millisecond, codes.DeadlineUnmeetable, 30 * time.Second, 30 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := newMeasured(times).Decide(start, admit.Request{Team: "a", Remaining: tc.remaining, Stages: tc.stages})
			if tc.code == codes.OK {
				is.Equal(d.Refusal, nil)
				is.Equal(len(d.Shares), len(tc.stages))
				return
			}
			is.Equal(d.Refusal.Code, tc.code)
			is.Equal(d.Refusal.Outcome, codes.OutcomeNotRun)
			is.True(d.Refusal.RetryAfter >= tc.minRetryAfter && d.Refusal.RetryAfter <= tc.maxRetryAfter)
		})
	}
}

func TestSplitPassesSavedTimeToLaterStages(t *testing.T) {
	is := is.New(t)
	a := newMeasured(map[string]time.Duration{"one": 100 * time.Millisecond, "two": 100 * time.Millisecond, "three": 200 * time.Millisecond})
	stages := []admit.Stage{{Key: "one"}, {Key: "two"}, {Key: "three"}}
	first := a.Split(start, 4*time.Second, stages)
	is.Equal(first[0].Round(100*time.Millisecond), time.Second)
	is.Equal(first[2].Round(100*time.Millisecond), 2*time.Second)
	// The first stage took 0.4 s of its share of 1 s.
	second := a.Split(start, 3600*time.Millisecond, stages[1:])
	is.True(second[0] > first[1])
	is.True(second[1] > first[2])
}

// Guards against refusing all requests forever after a slow minute of a stage. While admission
// refuses every request, no new time is measured. Slow times that never expire would keep it
// refusing after the stage has recovered.
func TestSlowTimesExpireWithoutNewMeasurements(t *testing.T) {
	is := is.New(t)
	a := newMeasured(map[string]time.Duration{"generate": 9 * time.Second})
	q := admit.Request{Team: "a", Remaining: 4 * time.Second, Stages: []admit.Stage{{Key: "generate"}}}
	is.Equal(a.Decide(start, q).Refusal.Code, codes.DeadlineUnmeetable)
	is.Equal(a.Decide(start.Add(31*time.Second), q).Refusal, nil)
}

func TestRefusedRequestIsNotCharged(t *testing.T) {
	is := is.New(t)
	a := admit.New(admit.DefaultSettings())
	q := admit.Request{Team: "a", Rate: 1, Burst: 1, Cost: 1, Stages: []admit.Stage{{Key: "x", QueuesFull: true}}}
	is.Equal(a.Decide(start, q).Refusal.Code, codes.Overloaded)
	q.Stages[0].QueuesFull = false
	is.Equal(a.Decide(start, q).Refusal, nil)
	d := a.Decide(start, q)
	is.Equal(d.Refusal.Code, codes.TeamLimit)
	is.Equal(d.Refusal.RetryAfter, time.Second)
	is.Equal(a.Decide(start.Add(time.Second), q).Refusal, nil)
}

// Guards against admissions without a charge. A bucket that lacks less than it refills in a
// nanosecond gives a wait of 0. If that is taken for an admission, any number of calls pass at that
// moment.
func TestAlmostFullBucketRefuses(t *testing.T) {
	is := is.New(t)
	a := admit.New(admit.DefaultSettings())
	is.Equal(a.Decide(start, admit.Request{Team: "a", Rate: 1, Burst: 1, Cost: 1e-10}).Refusal, nil)
	for range 3 {
		is.Equal(a.Decide(start, admit.Request{Team: "a", Rate: 1, Burst: 1, Cost: 1}).Refusal.Code, codes.TeamLimit)
	}
}

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := admit.New(admit.DefaultSettings())
		var stages []admit.Stage
		for n := range rapid.IntRange(1, 8).Draw(t, "stages") {
			s := admit.Stage{Key: fmt.Sprint(n)}
			s.Wait = time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond
			s.EstimatedTime = time.Duration(rapid.IntRange(0, 500).Draw(t, "estimated time")) * time.Millisecond
			a.OnStageTime(start, s.Key, time.Duration(rapid.IntRange(0, 900).Draw(t, "took"))*time.Millisecond)
			stages = append(stages, s)
		}
		remaining := time.Duration(rapid.IntRange(1, 4000).Draw(t, "remaining")) * time.Millisecond
		sum := time.Duration(0)
		for _, share := range a.Split(start, remaining, stages) {
			if share < 0 {
				t.Fatal("negative share")
			}
			sum += share
		}
		if sum != remaining {
			t.Fatalf("shares add up to %v instead of the remaining %v", sum, remaining)
		}
	})
}

func TestTeamLimitHoldsAcrossEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rate * rapid.Float64Range(1, 3).Draw(t, "burst")
		maxCost := rapid.Float64Range(0.1, 5).Draw(t, "cost")
		var admitters []*admit.Admitter
		for range entries {
			a := admit.New(admit.DefaultSettings())
			a.SetEntries(entries)
			admitters = append(admitters, a)
		}
		now, admitted := start, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			q := admit.Request{Team: "a", Rate: rate, Burst: burst, Cost: rapid.Float64Range(0, maxCost).Draw(t, "one")}
			a := admitters[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if a.Decide(now, q).Refusal == nil {
				admitted += q.Cost
			}
		}
		limit := burst + rate*now.Sub(start).Seconds() + float64(entries)*maxCost
		if admitted > limit*1.000001 {
			t.Fatalf("admitted cost %v over the limit of %v", admitted, limit)
		}
	})
}

func TestBurstIsDividedAmongEntries(t *testing.T) {
	is := is.New(t)
	a := admit.New(admit.DefaultSettings())
	a.SetEntries(4)
	q := admit.Request{Team: "a", Rate: 10, Burst: 20, Cost: 1}
	for round := range 2 {
		admitted := 0
		for range 20 {
			if a.Decide(start.Add(time.Duration(round)*9*time.Second), q).Refusal == nil {
				admitted++
			}
		}
		is.Equal(admitted, 5)
	}
}

func TestTimesCountAfterLongIdlePeriod(t *testing.T) {
	is := is.New(t)
	a := newMeasured(map[string]time.Duration{"x": time.Millisecond})
	now := start.Add(time.Hour)
	for range 10 {
		a.OnStageTime(now, "x", 9*time.Second)
	}
	q := admit.Request{Team: "a", Remaining: time.Second, Stages: []admit.Stage{{Key: "x"}}}
	is.Equal(a.Decide(now, q).Refusal.Code, codes.DeadlineUnmeetable)
}

func TestIdleTeamsHoldNoState(t *testing.T) {
	is := is.New(t)
	a := admit.New(admit.DefaultSettings())
	for n := range 1000 {
		a.Decide(start, admit.Request{Team: fmt.Sprint(n), Rate: 10, Burst: 20, Cost: 5})
	}
	is.Equal(a.CountTeams(), 1000)
	a.Decide(start.Add(20*time.Second), admit.Request{Team: "last", Rate: 10, Burst: 20, Cost: 5})
	is.Equal(a.CountTeams(), 1)
}
