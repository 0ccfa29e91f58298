package spend_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant in all but syntax

const (
	urgent = config.PriorityUrgent
	normal = config.PriorityNormal
	batch  = config.PriorityBatch
)

// newLedger returns a ledger with one pool of 10 cost units per second. Only urgent work may go
// beyond the committed amount.
func newLedger() *spend.Ledger {
	l := spend.New(spend.DefaultSettings())
	l.SetPools(start, []config.Pool{{Name: "gpu", Committed: 10, Price: 2, BeyondPrice: 5, BeyondPriority: urgent}})
	return l
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name     string
		used     float64
		priority config.Priority
		cost     float64
		verdict  spend.Verdict
		after    time.Duration
	}{
		{"batch uses idle capacity", 0, batch, 5, spend.VerdictCommitted, 0},
		{"batch must leave a reserve", 40, batch, 5, spend.VerdictRefused, 500 * time.Millisecond},
		{"normal must leave a smaller reserve", 40, normal, 5, spend.VerdictCommitted, 0},
		{"normal may not go beyond the committed amount", 50, normal, 5, spend.VerdictRefused, time.Second},
		{"urgent needs to leave no reserve", 45, urgent, 5, spend.VerdictCommitted, 0},
		{"urgent may go beyond the committed amount", 50, urgent, 5, spend.VerdictBeyond, 0},
		{"work above the interval amount is allowed when idle", 0, batch, 500, spend.VerdictCommitted, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			l.Add(start, spend.Use{Pool: "gpu", Priority: urgent, Cost: tc.used})
			d := l.Decide(start, "gpu", tc.priority, tc.cost)
			is.Equal(d.Verdict, tc.verdict)
			is.Equal(d.RetryAfter, tc.after)
		})
	}
	is.New(t).Equal(newLedger().Decide(start, "none", batch, 1).Verdict, spend.VerdictCommitted)
}

// Guards against carrying urgent work far beyond the committed amount forward as a debt: after such
// work ends, batch work would wait although committed capacity, paid for anyway, is idle.
func TestWorkBeyondTheCommittedAmountLeavesNoDebt(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Add(start, spend.Use{Pool: "gpu", Priority: urgent, Cost: 5000})
	is.Equal(l.Decide(start.Add(2*time.Second), "gpu", batch, 5).Verdict, spend.VerdictCommitted)
}

func TestReportAssignsTheCommittedAmountByPriority(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.Add(start, spend.Use{Pool: "gpu", Stage: "draft", Team: "a", Priority: batch, Cost: 40})
	l.Add(start.Add(time.Second), spend.Use{Pool: "gpu", Stage: "draft", Team: "b", Priority: urgent, Cost: 30})
	l.Add(start.Add(6*time.Second), spend.Use{Pool: "gpu", Stage: "embed", Team: "a", Priority: normal, Cost: 10})
	r := l.Reports(start.Add(10 * time.Second))[0]
	is.Equal(r.Span, 55*time.Second)
	is.Equal(r.Lines, []spend.Line{
		{Stage: "draft", Team: "a", Used: 20, Beyond: 20},
		{Stage: "draft", Team: "b", Used: 30},
		{Stage: "embed", Team: "a", Used: 10},
	})
	is.Equal([]float64{r.Committed, r.Used, r.Idle, r.Beyond}, []float64{550, 60, 490, 20})
	is.Equal([]float64{r.CommittedSpend, r.BeyondSpend}, []float64{1100, 100})
	is.Equal(len(l.Reports(start.Add(5 * time.Minute))[0].Lines), 0)
}

func TestShareScalesTheCommittedAmount(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	l.SetShare(start, 0.25)
	l.Add(start, spend.Use{Pool: "gpu", Priority: normal, Cost: 12})
	is.Equal(l.Decide(start, "gpu", normal, 1).Verdict, spend.VerdictRefused)
	is.Equal(l.Reports(start)[0].Committed, 137.5)
}

func TestReportAccountsForAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spend.DefaultSettings()
		s.MaxLines = 4
		l := spend.New(s)
		l.SetPools(start, []config.Pool{{Name: "gpu", Committed: 3, BeyondPriority: normal}})
		total := 0.0
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "uses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			u := spend.Use{Pool: "gpu", Stage: "x", Cost: rapid.Float64Range(0, 9).Draw(t, "cost")}
			u.Team = fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "team"))
			u.Priority = rapid.SampledFrom([]config.Priority{urgent, normal, batch}).Draw(t, "priority")
			if d := l.Decide(now, "gpu", u.Priority, u.Cost); (d.Verdict == spend.VerdictRefused) != (d.RetryAfter > 0) {
				t.Fatalf("verdict %s with retry after %v", d.Verdict, d.RetryAfter)
			}
			l.Add(now, u)
			total += u.Cost
		}
		r := l.Reports(now.Add(s.Interval))[0]
		if math.Abs(r.Used+r.Beyond-total) > 1e-6 || r.Used > r.Committed+1e-6 {
			t.Fatalf("report has used %v and beyond %v, but work cost %v", r.Used, r.Beyond, total)
		}
		intervals := int64(now.Sub(start)/s.Interval) + 1
		if int64(len(r.Lines)) > intervals*int64(s.MaxLines+1) {
			t.Fatalf("%d lines in %d intervals", len(r.Lines), intervals)
		}
	})
}

func TestIntervalIsClearedBeforeReuse(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	u := spend.Use{Pool: "gpu", Stage: "draft", Team: "a", Priority: normal, Cost: 7}
	l.Add(start, u)
	l.Add(start.Add(time.Minute), u) // the same element of the ring
	is.Equal(l.Reports(start.Add(65 * time.Second))[0].Used, 7.0)
}

func TestTeamsBeyondMaxLinesAreCombined(t *testing.T) {
	is := is.New(t)
	s := spend.DefaultSettings()
	s.MaxLines = 2
	l := spend.New(s)
	l.SetPools(start, []config.Pool{{Name: "gpu", Committed: 10}})
	for n := range 10 {
		l.Add(start, spend.Use{Pool: "gpu", Stage: "draft", Team: fmt.Sprint(n), Priority: normal, Cost: 1})
	}
	is.Equal(l.Reports(start.Add(s.Interval))[0].Lines, []spend.Line{
		{Stage: "draft", Team: spend.OtherTeams, Used: 8},
		{Stage: "draft", Team: "0", Used: 1},
		{Stage: "draft", Team: "1", Used: 1},
	})
}
