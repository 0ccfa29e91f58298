package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/budget"
)

var settings = budget.Settings{Ratio: 0.2, Slack: 58, Window: 10 * time.Second} //nolint:gochecknoglobals // a constant in all but syntax

// takeRetry takes a retry and sends it at once. It returns false if none is granted.
func takeRetry(b *budget.Budget, now time.Time, ingresses int) bool {
	if !b.TakeRetry(now, ingresses).Granted {
		return false
	}
	b.RecordSent(now)
	return true
}

// Guards against more retries than the limit in a window because they were granted in one and sent in the
// next, after their results had been produced again.
func TestRetriesCountWhenTheyAreSent(t *testing.T) {
	is := is.New(t)
	b := budget.NewBudget(settings, time.Time{})
	granted := func(now time.Time) int {
		n := 0
		for b.TakeRetry(now, 1).Granted {
			n++
		}
		return n
	}
	start := time.Unix(0, 0)
	first := granted(start)
	is.Equal(first, 40) // 0.7 of 58
	sent := start.Add(settings.Window - time.Second)
	for range first - 1 {
		b.RecordSent(sent)
	}
	b.ReturnRetry()
	is.Equal(granted(start.Add(settings.Window+time.Second)), 1)
	is.Equal(granted(sent.Add(settings.Window+time.Millisecond)), first-1)
}

// Backend servers crash in a burst and every request is retried. Six ingresses that cannot
// reach each other must together stay within the limit over any span of one window.
func TestIngressesTogetherStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ingresses = 6
		budgets := [ingresses]*budget.Budget{}
		for i := range budgets {
			budgets[i] = budget.NewBudget(settings, time.Time{})
		}
		start := time.Unix(0, 0)
		requests, retries := []time.Time{}, []time.Time{}
		now := start
		for range 3000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, ingresses-1).Draw(t, "ingress")]
			b.CountRequest(now)
			requests = append(requests, now)
			if takeRetry(b, now, ingresses) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-settings.Window)
			n, m := countIn(retries, from, end), countIn(requests, from, end)
			if float64(n) > settings.Ratio*float64(m)+settings.Slack {
				t.Fatalf("%d retries for %d requests", n, m)
			}
		}
	})
}

// Guards against more retries than the limit because an ingress forgets with each restart what it has
// spent. Any number of them restart, one by one or all at once, and some learn what they have spent.
func TestRestartedIngressesTogetherStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ingresses := rapid.IntRange(1, 6).Draw(t, "ingresses")
		budgets := make([]*budget.Budget, ingresses)
		now := time.Unix(0, 0)
		for i := range budgets {
			budgets[i] = budget.NewBudget(settings, time.Time{})
		}
		gap := rapid.IntRange(1, 60).Draw(t, "gap")
		restarts := rapid.IntRange(20, 600).Draw(t, "steps between restarts")
		requests, retries := []time.Time{}, []time.Time{}
		for step := range 1500 {
			now = now.Add(time.Duration(rapid.IntRange(0, gap).Draw(t, "ms")) * time.Millisecond)
			if step%restarts == restarts-1 {
				first := rapid.IntRange(0, ingresses-1).Draw(t, "first restarted")
				for i := range budgets[first:] {
					account := budgets[first+i].Account(now)
					budgets[first+i] = budget.NewBudget(settings, now)
					if rapid.Bool().Draw(t, "is remembered") {
						budgets[first+i].Restore(now, account)
					}
				}
			}
			b := budgets[rapid.IntRange(0, ingresses-1).Draw(t, "ingress")]
			b.CountRequest(now)
			requests = append(requests, now)
			for range 2 {
				if takeRetry(b, now, ingresses) {
					retries = append(retries, now)
				}
			}
		}
		checkBound(t, requests, retries)
	})
}

// Guards against an ingress that has just spent its whole part when it is restarted, does not learn of it, and spends
// as much again within the window.
func TestRestartAfterAllIsSpentStaysWithinBound(t *testing.T) {
	const step, perWindow = 10 * time.Millisecond, 1000
	now := time.Unix(0, 0)
	b := budget.NewBudget(settings, time.Time{})
	requests, retries := 0, 0
	for n := range 2*perWindow - 1 {
		if n == perWindow {
			for takeRetry(b, now, 1) {
				retries++
			}
			b = budget.NewBudget(settings, now)
		}
		now = now.Add(step)
		b.CountRequest(now)
		requests++
		for n >= perWindow && takeRetry(b, now, 1) {
			retries++
		}
	}
	if limit := settings.Ratio*float64(requests)/2 + settings.Slack; float64(retries) > limit {
		t.Fatalf("%d retries within a window; allowed are %g", retries, limit)
	}
}

// checkBound checks the retries in each window. The requests are those of the window, of the one before it
// or of the one half a window before it, whichever are most.
func checkBound(t *rapid.T, requests, retries []time.Time) {
	for _, end := range retries {
		n, m := countIn(retries, end.Add(-settings.Window), end), 0
		for _, before := range []time.Duration{0, settings.Window / 2, settings.Window} {
			m = max(m, countIn(requests, end.Add(-settings.Window-before), end.Add(-before)))
		}
		if float64(n) > settings.Ratio*float64(m)+settings.Slack {
			t.Fatalf("%d retries for %d requests", n, m)
		}
	}
}

func countIn(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

func TestIdleServiceMayRetryWithinSlack(t *testing.T) {
	is := is.New(t)
	b := budget.NewBudget(settings, time.Time{})
	now := time.Unix(0, 0)
	is.True(takeRetry(b, now, 6))
	taken := 1
	for takeRetry(b, now, 6) {
		taken++
	}
	is.Equal(taken, 6) // 0.7 of 58/6
	is.True(takeRetry(b, now.Add(settings.Window+time.Millisecond), 6))
}

// Guards against an ingress that gets no retries for longer than a window after it was restarted.
func TestRestartedIngressGetsItsPartBack(t *testing.T) {
	is := is.New(t)
	startedAt := time.Unix(0, 0)
	b := budget.NewBudget(settings, startedAt)
	is.True(!takeRetry(b, startedAt, 6))
	is.True(takeRetry(b, startedAt.Add(settings.Window/2), 6)) // 0.25 of half of 58/6
	later := startedAt.Add(2 * settings.Window)
	taken := 0
	for takeRetry(b, later, 6) {
		taken++
	}
	is.Equal(taken, 6)
}
