package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/modules/codes"
)

func lost() retry.Attempt {
	return retry.Attempt{
		Code: codes.BackendLost, Outcome: codes.OutcomeUnknown, Idempotent: true,
		Remaining: time.Second, Need: 100 * time.Millisecond,
	}
}

func notRun(c codes.Code) retry.Attempt {
	a := lost()
	a.Code = c
	a.Outcome = codes.OutcomeNotRun
	return a
}

func with(a retry.Attempt, change func(a *retry.Attempt)) retry.Attempt {
	change(&a)
	return a
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		attempt retry.Attempt
		action  retry.Action
		reason  retry.Reason
		spent   float64
	}{
		{"lost", lost(), retry.ActionRetry, retry.ReasonNone, 1},
		{"lost order", with(lost(), func(a *retry.Attempt) { a.Idempotent = false }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"lost order with a new claim", with(lost(), func(a *retry.Attempt) { a.Idempotent, a.Reclaimed = false, true }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"order refused", with(notRun(codes.Draining), func(a *retry.Attempt) { a.Idempotent = false }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"order refused and claimed anew", with(notRun(codes.Draining), func(a *retry.Attempt) { a.Idempotent, a.Reclaimed = false, true }), retry.ActionResend, retry.ReasonNone, 0},
		{"no time left", with(lost(), func(a *retry.Attempt) { a.Remaining = 104 * time.Millisecond }), retry.ActionStop, retry.ReasonDeadline, 0},
		{"part delivered", with(lost(), func(a *retry.Attempt) { a.Delivered = true }), retry.ActionStop, retry.ReasonDelivered, 0},
		{"preempted", with(lost(), func(a *retry.Attempt) { a.Code, a.Outcome = codes.Preempted, codes.OutcomeRan }), retry.ActionRetry, retry.ReasonNone, 1},
		{"draining", notRun(codes.Draining), retry.ActionResend, retry.ReasonNone, 0},
		{"newer revision", notRun(codes.NewerRevision), retry.ActionResend, retry.ReasonNone, 0},
		{"overloaded", notRun(codes.Overloaded), retry.ActionResend, retry.ReasonNone, 1},
		{"resent too often", with(notRun(codes.Draining), func(a *retry.Attempt) { a.Resends = 3 }), retry.ActionStop, retry.ReasonResends, 0},
		{"bad request", notRun(codes.BadRequest), retry.ActionStop, retry.ReasonFinal, 0},
		{"tombstoned", notRun(codes.Tombstoned), retry.ActionStop, retry.ReasonFinal, 0},
		{"deadline passed", with(lost(), func(a *retry.Attempt) { a.Code = codes.DeadlineExceeded }), retry.ActionStop, retry.ReasonFinal, 0},
		{"canceled", with(lost(), func(a *retry.Attempt) { a.Code = codes.Canceled }), retry.ActionStop, retry.ReasonFinal, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := retry.NewBudget(retry.DefaultSettings(0.1))
			before := b.Tokens()
			d := b.Decide(tc.attempt, 0.5)
			is.Equal(d.Action, tc.action)
			is.Equal(d.Reason, tc.reason)
			is.Equal(before-b.Tokens(), tc.spent)
			is.Equal(d.After > 0, tc.action == retry.ActionRetry)
		})
	}
}

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Settings{Reserve: 9, Cap: 9, Base: 10 * time.Millisecond, Max: 60 * time.Millisecond})
	var pauses []time.Duration
	for retries := range 5 {
		d := b.Decide(with(lost(), func(a *retry.Attempt) { a.Retries = retries }), 0.5)
		pauses = append(pauses, d.After/time.Millisecond)
	}
	is.Equal(pauses, []time.Duration{5, 10, 20, 30, 30})
}

// A stage fails every call for a minute and each caller's request is retried.
// Without a budget the stage would get three times the load while it is least
// able to take it, and would stay down after the cause has gone.
func TestFailingStageGetsNoStorm(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.DefaultSettings(0.1))
	const offered = 10_000
	sent := 0
	for range offered {
		b.OnFirst()
		sent++
		for retries := 0; ; retries++ {
			d := b.Decide(with(lost(), func(a *retry.Attempt) { a.Retries = retries }), 0.5)
			if d.Action == retry.ActionStop {
				break
			}
			sent++
		}
	}
	t.Logf("offered %d, sent %d", offered, sent)
	is.True(float64(sent) <= 1.1*offered+3)
}

func TestRetriesStayWithinTheShare(t *testing.T) {
	results := []codes.Code{codes.BackendFailed, codes.Overloaded, codes.Draining, codes.Preempted, codes.BackendLost}
	rapid.Check(t, func(t *rapid.T) {
		s := retry.DefaultSettings(rapid.Float64Range(0, 1).Draw(t, "share"))
		s.HedgeAfter = time.Millisecond
		s.Reserve = rapid.Float64Range(0, 5).Draw(t, "reserve")
		b := retry.NewBudget(s)
		first, more := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				b.OnFirst()
				first++
				continue
			}
			if rapid.IntRange(0, 3).Draw(t, "hedge") == 0 {
				if b.Hedge(retry.Open{Idempotent: true, Elapsed: time.Second, Remaining: time.Second}) {
					more++
				}
				continue
			}
			a := lost()
			a.Code = rapid.SampledFrom(results).Draw(t, "code")
			a.Outcome = rapid.SampledFrom([]codes.Outcome{codes.OutcomeNotRun, codes.OutcomeRan, codes.OutcomeUnknown}).Draw(t, "outcome")
			a.Idempotent = rapid.Bool().Draw(t, "idempotent")
			d := b.Decide(a, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if !a.Idempotent && d.Action != retry.ActionStop {
				t.Fatalf("a non-idempotent call gets %s", d.Action)
			}
			if d.Action == retry.ActionRetry || d.Action == retry.ActionResend && a.Code != codes.Draining {
				more++
			}
		}
		if float64(more) > s.Reserve+s.Share*float64(first)+0.000001 {
			t.Fatalf("%d more for %d first attempts", more, first)
		}
	})
}

func TestBudgetSavesNoMoreThanItsCap(t *testing.T) {
	b := retry.NewBudget(retry.DefaultSettings(0.1))
	for range 10_000 {
		b.OnFirst()
	}
	is.New(t).Equal(b.Tokens(), retry.DefaultSettings(0.1).Cap)
}

func TestHedge(t *testing.T) {
	open := retry.Open{Idempotent: true, Elapsed: 300 * time.Millisecond, Remaining: time.Second, Need: 100 * time.Millisecond}
	cases := []struct {
		name   string
		after  time.Duration
		change func(o *retry.Open)
		want   bool
	}{
		{"off by default", 0, func(*retry.Open) {}, false},
		{"late", 200 * time.Millisecond, func(*retry.Open) {}, true},
		{"early", 400 * time.Millisecond, func(*retry.Open) {}, false},
		{"non-idempotent", 200 * time.Millisecond, func(o *retry.Open) { o.Idempotent = false }, false},
		{"once only", 200 * time.Millisecond, func(o *retry.Open) { o.Hedged = true }, false},
		{"no time left", 200 * time.Millisecond, func(o *retry.Open) { o.Remaining = 0 }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := retry.DefaultSettings(0.1)
			s.HedgeAfter = tc.after
			o := open
			tc.change(&o)
			is.New(t).Equal(retry.NewBudget(s).Hedge(o), tc.want)
		})
	}
}

// Callers get errors when a replica is lost after a minute of overload, though
// others have room: refusals for load had used up what may be sent again.
func TestLoadLeavesHalfOfTheBudgetToFaults(t *testing.T) {
	is := is.New(t)
	s := retry.DefaultSettings(0.1)
	b := retry.NewBudget(s)
	for range 1000 {
		b.OnFirst()
	}
	resent := 0
	for range 100 {
		if b.Decide(notRun(codes.DeadlineUnmeetable), 0).Action == retry.ActionResend {
			resent++
		}
	}
	is.Equal(resent, int(s.Cap)/2)
	retried := 0
	for range 100 {
		if b.Decide(lost(), 0).Action == retry.ActionRetry {
			retried++
		}
	}
	is.Equal(retried, int(s.Cap)/2)
}
