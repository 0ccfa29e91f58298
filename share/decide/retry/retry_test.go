package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/modules/codes"
)

func lostAttempt() retry.Attempt {
	return retry.Attempt{
		Code: codes.BackendLost, Outcome: codes.OutcomeUnknown, Idempotent: true,
		Remaining: time.Second, EstimatedTime: 100 * time.Millisecond,
	}
}

func notRunAttempt(c codes.Code) retry.Attempt {
	a := lostAttempt()
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
		{"lost", lostAttempt(), retry.ActionRetry, retry.ReasonNone, 1},
		{"lost, non-idempotent", with(lostAttempt(), func(a *retry.Attempt) { a.Idempotent = false }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"lost, non-idempotent with a new claim", with(lostAttempt(), func(a *retry.Attempt) { a.Idempotent, a.Reclaimed = false, true }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"refused, non-idempotent", with(notRunAttempt(codes.Draining), func(a *retry.Attempt) { a.Idempotent = false }), retry.ActionStop, retry.ReasonNotIdempotent, 0},
		{"refused, non-idempotent with a new claim", with(notRunAttempt(codes.Draining), func(a *retry.Attempt) { a.Idempotent, a.Reclaimed = false, true }), retry.ActionResend, retry.ReasonNone, 0},
		{"no time left", with(lostAttempt(), func(a *retry.Attempt) { a.Remaining = 104 * time.Millisecond }), retry.ActionStop, retry.ReasonDeadline, 0},
		{"part delivered", with(lostAttempt(), func(a *retry.Attempt) { a.Delivered = true }), retry.ActionStop, retry.ReasonDelivered, 0},
		{"preempted", with(lostAttempt(), func(a *retry.Attempt) { a.Code, a.Outcome = codes.Preempted, codes.OutcomeRan }), retry.ActionRetry, retry.ReasonNone, 1},
		{"draining", notRunAttempt(codes.Draining), retry.ActionResend, retry.ReasonNone, 0},
		{"newer revision", notRunAttempt(codes.NewerRevision), retry.ActionResend, retry.ReasonNone, 0},
		{"overloaded", notRunAttempt(codes.Overloaded), retry.ActionResend, retry.ReasonNone, 1},
		{"resent too often", with(notRunAttempt(codes.Draining), func(a *retry.Attempt) { a.Resends = 3 }), retry.ActionStop, retry.ReasonResends, 0},
		{"bad request", notRunAttempt(codes.BadRequest), retry.ActionStop, retry.ReasonFinal, 0},
		{"tombstoned", notRunAttempt(codes.Tombstoned), retry.ActionStop, retry.ReasonFinal, 0},
		{"deadline passed", with(lostAttempt(), func(a *retry.Attempt) { a.Code = codes.DeadlineExceeded }), retry.ActionStop, retry.ReasonFinal, 0},
		{"canceled", with(lostAttempt(), func(a *retry.Attempt) { a.Code = codes.Canceled }), retry.ActionStop, retry.ReasonFinal, 0},
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
			is.Equal(d.Backoff > 0, tc.action == retry.ActionRetry)
		})
	}
}

func TestBackoffDoublesUpToMaxBackoff(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Settings{InitialTokens: 9, MaxTokens: 9, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 60 * time.Millisecond})
	var pauses []time.Duration
	for retries := range 5 {
		d := b.Decide(with(lostAttempt(), func(a *retry.Attempt) { a.Retries = retries }), 0.5)
		pauses = append(pauses, d.Backoff/time.Millisecond)
	}
	is.Equal(pauses, []time.Duration{5, 10, 20, 30, 30})
}

// Guards against retry storms. If a stage fails every call for a minute and every request is
// retried without a budget, the stage gets three times the load while it is least able to handle
// it, and stays down after the cause is gone.
func TestRetriesOfFailingStageAreBounded(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.DefaultSettings(0.1))
	const offered = 10_000
	sent := 0
	for range offered {
		b.OnFirstAttempt()
		sent++
		for retries := 0; ; retries++ {
			d := b.Decide(with(lostAttempt(), func(a *retry.Attempt) { a.Retries = retries }), 0.5)
			if d.Action == retry.ActionStop {
				break
			}
			sent++
		}
	}
	t.Logf("offered %d, sent %d", offered, sent)
	is.True(float64(sent) <= 1.1*offered+3)
}

func TestRetriesStayWithinShare(t *testing.T) {
	results := []codes.Code{codes.BackendFailed, codes.Overloaded, codes.Draining, codes.Preempted, codes.BackendLost}
	rapid.Check(t, func(t *rapid.T) {
		s := retry.DefaultSettings(rapid.Float64Range(0, 1).Draw(t, "share"))
		s.HedgeAfter = time.Millisecond
		s.InitialTokens = rapid.Float64Range(0, 5).Draw(t, "initial tokens")
		b := retry.NewBudget(s)
		first, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				b.OnFirstAttempt()
				first++
				continue
			}
			if rapid.IntRange(0, 3).Draw(t, "hedge") == 0 {
				if b.Hedge(retry.PendingAttempt{Idempotent: true, Elapsed: time.Second, Remaining: time.Second}) {
					extra++
				}
				continue
			}
			a := lostAttempt()
			a.Code = rapid.SampledFrom(results).Draw(t, "code")
			a.Outcome = rapid.SampledFrom([]codes.Outcome{codes.OutcomeNotRun, codes.OutcomeRan, codes.OutcomeUnknown}).Draw(t, "outcome")
			a.Idempotent = rapid.Bool().Draw(t, "idempotent")
			d := b.Decide(a, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if !a.Idempotent && d.Action != retry.ActionStop {
				t.Fatalf("action %s after a non-idempotent call", d.Action)
			}
			if d.Action == retry.ActionRetry || d.Action == retry.ActionResend && a.Code != codes.Draining {
				extra++
			}
		}
		if float64(extra) > s.InitialTokens+s.Share*float64(first)+0.000001 {
			t.Fatalf("%d retries, resends and hedges for %d first attempts", extra, first)
		}
	})
}

func TestBudgetHoldsAtMostMaxTokens(t *testing.T) {
	b := retry.NewBudget(retry.DefaultSettings(0.1))
	for range 10_000 {
		b.OnFirstAttempt()
	}
	is.New(t).Equal(b.Tokens(), retry.DefaultSettings(0.1).MaxTokens)
}

func TestHedge(t *testing.T) {
	pending := retry.PendingAttempt{Idempotent: true, Elapsed: 300 * time.Millisecond, Remaining: time.Second, EstimatedTime: 100 * time.Millisecond}
	cases := []struct {
		name   string
		after  time.Duration
		change func(o *retry.PendingAttempt)
		want   bool
	}{
		{"off by default", 0, func(*retry.PendingAttempt) {}, false},
		{"late", 200 * time.Millisecond, func(*retry.PendingAttempt) {}, true},
		{"early", 400 * time.Millisecond, func(*retry.PendingAttempt) {}, false},
		{"non-idempotent", 200 * time.Millisecond, func(o *retry.PendingAttempt) { o.Idempotent = false }, false},
		{"once only", 200 * time.Millisecond, func(o *retry.PendingAttempt) { o.Hedged = true }, false},
		{"no time left", 200 * time.Millisecond, func(o *retry.PendingAttempt) { o.Remaining = 0 }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := retry.DefaultSettings(0.1)
			s.HedgeAfter = tc.after
			o := pending
			tc.change(&o)
			is.New(t).Equal(retry.NewBudget(s).Hedge(o), tc.want)
		})
	}
}

// Guards against errors for callers when a replica is lost after a minute of overload although
// other replicas have capacity, because resends after refusals for load had used up the retry
// budget.
func TestOverloadLeavesHalfOfBudgetForFaults(t *testing.T) {
	is := is.New(t)
	s := retry.DefaultSettings(0.1)
	b := retry.NewBudget(s)
	for range 1000 {
		b.OnFirstAttempt()
	}
	resent := 0
	for range 100 {
		if b.Decide(notRunAttempt(codes.DeadlineUnmeetable), 0).Action == retry.ActionResend {
			resent++
		}
	}
	is.Equal(resent, int(s.MaxTokens)/2)
	retried := 0
	for range 100 {
		if b.Decide(lostAttempt(), 0).Action == retry.ActionRetry {
			retried++
		}
	}
	is.Equal(retried, int(s.MaxTokens)/2)
}
