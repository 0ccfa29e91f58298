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

// ledger has one pool of 10 units a second; only urgent work may go beyond.
func ledger() *spend.Ledger {
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
		{"idle capacity takes batch", 0, batch, 5, spend.VerdictCommitted, 0},
		{"batch leaves a reserve", 40, batch, 5, spend.VerdictRefused, 500 * time.Millisecond},
		{"normal may use more of it", 40, normal, 5, spend.VerdictCommitted, 0},
		{"normal may not go beyond", 50, normal, 5, spend.VerdictRefused, time.Second},
		{"urgent uses the last unit", 45, urgent, 5, spend.VerdictCommitted, 0},
		{"urgent goes beyond", 50, urgent, 5, spend.VerdictBeyond, 0},
		{"a large one passes when idle", 0, batch, 500, spend.VerdictCommitted, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := ledger()
			l.Add(start, spend.Use{Pool: "gpu", Priority: urgent, Cost: tc.used})
			d := l.Decide(start, "gpu", tc.priority, tc.cost)
			is.Equal(d.Verdict, tc.verdict)
			is.Equal(d.RetryAfter, tc.after)
		})
	}
	is.New(t).Equal(ledger().Decide(start, "none", batch, 1).Verdict, spend.VerdictCommitted)
}

// Urgent work goes far beyond the committed amount and stops. If its excess
// were kept as a debt, batch work would wait while committed capacity, paid
// for anyway, stands idle.
func TestWorkBeyondLeavesNoDebt(t *testing.T) {
	is := is.New(t)
	l := ledger()
	l.Add(start, spend.Use{Pool: "gpu", Priority: urgent, Cost: 5000})
	is.Equal(l.Decide(start.Add(2*time.Second), "gpu", batch, 5).Verdict, spend.VerdictCommitted)
}

func TestReportFillsTheCommittedPartByPriority(t *testing.T) {
	is := is.New(t)
	l := ledger()
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

func TestShareDividesTheCommittedAmount(t *testing.T) {
	is := is.New(t)
	l := ledger()
	l.SetShare(start, 0.25)
	l.Add(start, spend.Use{Pool: "gpu", Priority: normal, Cost: 12})
	is.Equal(l.Decide(start, "gpu", normal, 1).Verdict, spend.VerdictRefused)
	is.Equal(l.Reports(start)[0].Committed, 137.5)
}

func TestNothingIsLostInTheAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spend.DefaultSettings()
		s.Lines = 4
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
				t.Fatalf("%s with retry after %v", d.Verdict, d.RetryAfter)
			}
			l.Add(now, u)
			total += u.Cost
		}
		r := l.Reports(now.Add(s.Cell))[0]
		if math.Abs(r.Used+r.Beyond-total) > 1e-6 || r.Used > r.Committed+1e-6 {
			t.Fatalf("used %v and beyond %v of %v", r.Used, r.Beyond, total)
		}
		cells := int64(now.Sub(start)/s.Cell) + 1
		if int64(len(r.Lines)) > cells*int64(s.Lines+1) {
			t.Fatalf("%d lines in %d cells", len(r.Lines), cells)
		}
	})
}

func TestWindowForgetsAWholeTurnLater(t *testing.T) {
	is := is.New(t)
	l := ledger()
	u := spend.Use{Pool: "gpu", Stage: "draft", Team: "a", Priority: normal, Cost: 7}
	l.Add(start, u)
	l.Add(start.Add(time.Minute), u) // the same cell of the ring
	is.Equal(l.Reports(start.Add(65 * time.Second))[0].Used, 7.0)
}

func TestTeamsBeyondTheLinesCountTogether(t *testing.T) {
	is := is.New(t)
	s := spend.DefaultSettings()
	s.Lines = 2
	l := spend.New(s)
	l.SetPools(start, []config.Pool{{Name: "gpu", Committed: 10}})
	for n := range 10 {
		l.Add(start, spend.Use{Pool: "gpu", Stage: "draft", Team: fmt.Sprint(n), Priority: normal, Cost: 1})
	}
	is.Equal(l.Reports(start.Add(s.Cell))[0].Lines, []spend.Line{
		{Stage: "draft", Team: spend.Other, Used: 8},
		{Stage: "draft", Team: "0", Used: 1},
		{Stage: "draft", Team: "1", Used: 1},
	})
}
