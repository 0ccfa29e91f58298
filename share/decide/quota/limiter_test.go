package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

const (
	// window, overage and slack are the stated bound on what a server with a limit may receive.
	window  = 4 * time.Second
	overage = 1.5
	slack   = 5
)

// countMost returns the largest number of times within any window.
func countMost(times []time.Time) int {
	most := 0
	for first := range times {
		last := first
		for last < len(times) && times[last].Sub(times[first]) < window {
			last++
		}
		most = max(most, last-first)
	}
	return most
}

// Guards against a server receiving more than it takes: requests that are reserved one after another
// wait for their stages for different times and are then sent together, or are given up.
func TestNoWindowExceedsTheStatedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1.5, 2, 7, 40}).Draw(t, "rate")
		now := time.Unix(100, 0)
		server := &site.Server{ID: "i-1"}
		limiter := quota.NewLimiter()
		limiter.Observe(now, server, limitOf(rate))
		waiting := 0
		sent := []time.Time{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"reserve", "reserve", "send", "send-all", "cancel"}).Draw(t, "step") {
			case "reserve":
				for limiter.Allows(now, server) {
					limiter.Reserve(now, server)
					waiting++
				}
			case "send":
				if waiting > 0 {
					waiting--
					limiter.MarkSent(server)
					sent = append(sent, now)
				}
			case "send-all":
				for ; waiting > 0; waiting-- {
					limiter.MarkSent(server)
					sent = append(sent, now)
				}
			case "cancel":
				if waiting > 0 {
					waiting--
					limiter.Cancel(now, server)
				}
			}
		}
		if most, allowed := countMost(sent), int(overage*rate*window.Seconds())+slack; most > allowed {
			t.Fatalf("%d requests within %v at a rate of %v, allowed are %d", most, window, rate, allowed)
		}
	})
}

// Guards against a server that takes some requests and gets far fewer, because a request counts for
// as long as it waits for its stages.
func TestRateIsUsedWhileRequestsWaitForStages(t *testing.T) {
	for _, rate := range []float64{1, 3, 10} {
		is := is.New(t)
		const stageTime = 1200 * time.Millisecond
		start := time.Unix(100, 0)
		server := &site.Server{ID: "i-1"}
		limiter := quota.NewLimiter()
		limiter.Observe(start, server, limitOf(rate))
		due := []time.Time{}
		sent := 0
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
			for len(due) > 0 && !now.Before(due[0]) {
				due = due[1:]
				limiter.MarkSent(server)
				sent++
			}
			if limiter.Allows(now, server) {
				limiter.Reserve(now, server)
				due = append(due, now.Add(stageTime))
			}
		}
		is.True(float64(sent) > 0.9*rate*time.Minute.Seconds())
		is.True(float64(sent) <= rate*time.Minute.Seconds()+slack)
	}
}

// Guards against a server that takes no requests and never gets the one whose answer would withdraw
// the limit.
func TestServerThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	limiter := quota.NewLimiter()
	limiter.Observe(now, server, limitOf(0))
	is.True(!limiter.Allows(now, server))
	is.True(limiter.Allows(now.Add(4*time.Second), server))
}

// Guards against requests that were placed before a server stated its limit and are not counted when
// they are sent.
func TestRequestsThatWaitWhenTheLimitIsStatedCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	limiter := quota.NewLimiter()
	for range 6 {
		limiter.Reserve(now, server)
	}
	limiter.Observe(now, server, limitOf(1))
	now = now.Add(time.Minute)
	is.True(!limiter.Allows(now, server))
	for range 6 {
		limiter.MarkSent(server)
	}
	is.True(limiter.Allows(now, server))
}

// Guards against requests that were placed before a server stated its limit and that make room for
// others when they are given up.
func TestCanceledRequestReturnsOnlyTheTokenThatItTook(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	limiter := quota.NewLimiter()
	limiter.Reserve(now, server)
	limiter.Observe(now, server, limitOf(1))
	limiter.Cancel(now, server)
	is.True(!limiter.Allows(now, server))
	now = now.Add(time.Second)
	is.True(limiter.Allows(now, server))
	limiter.Reserve(now, server)
	is.True(!limiter.Allows(now, server))
	limiter.Cancel(now, server)
	is.True(limiter.Allows(now, server))
}

// Guards against a limit that outlives its withdrawal, and against tokens that a restarted server
// owes for requests to the server before.
func TestLimiterFollowsTheStatements(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1", Incarnation: 1}
	limiter := quota.NewLimiter()
	limiter.Observe(now, server, limitOf(1))
	is.True(!limiter.Allows(now, server)) // what was sent before is not known
	is.Equal(limiter.NextAt(now, server), now.Add(time.Second))
	limiter.Observe(now, server, limitOf(10))
	is.Equal(limiter.NextAt(now, server), now.Add(100*time.Millisecond))
	limiter.Observe(now, server, site.RateLimit{})
	is.True(limiter.Allows(now, server))
	limiter.Observe(now, server, limitOf(1))
	is.True(limiter.Allows(now, &site.Server{ID: "i-1", Incarnation: 2}))
}

// Guards against refused callers that all return at the same moment, of whom all but one are refused
// again.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a, b, c := &site.Server{ID: "a"}, &site.Server{ID: "b"}, &site.Server{ID: "c"}
	limiter := quota.NewLimiter()
	_, limited := limiter.ScheduleReturn(now, []*site.Server{a, b, c})
	is.True(!limited)
	limiter.Observe(now, a, limitOf(1))
	limiter.Observe(now, b, limitOf(0.5))
	waits := []time.Duration{}
	for range 20 {
		wait, limited := limiter.ScheduleReturn(now, []*site.Server{a, b, c})
		is.True(limited)
		waits = append(waits, wait)
	}
	is.Equal(waits[:6], []time.Duration{
		time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 4 * time.Second,
	})
	is.Equal(waits[len(waits)-1], 5*time.Second)
}

// Guards against several retries being scheduled for one ingress, which uses one of them, so that the
// server gets fewer requests than it takes.
func TestIngressHasOneScheduledRetryAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	limiter := quota.NewLimiter()
	limiter.Observe(now, server, limitOf(2))
	for range 10 {
		is.Equal(limiter.ScheduleRetry(now, server, "first"), 500*time.Millisecond)
		is.Equal(limiter.ScheduleRetry(now, server, "second"), time.Second)
	}
	now = now.Add(500 * time.Millisecond)
	is.True(limiter.AllowsRetry(now, server)) // the retry of the first
	limiter.Reserve(now, server)
	is.Equal(limiter.ScheduleRetry(now, server, "first"), time.Second) // after the second
	is.Equal(limiter.ScheduleRetry(now, server, "second"), 500*time.Millisecond)
	now = now.Add(500 * time.Millisecond)
	is.True(limiter.AllowsRetry(now, server))
}

// Guards against a server that takes requests again and gets few for seconds, because those that were
// refused at an earlier, lower rate are still scheduled at that one.
func TestRaisedRateIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	l := quota.NewLimiter()
	l.Observe(now, server, limitOf(0))
	for _, ingress := range []string{"a", "b", "c"} {
		l.ScheduleRetry(now, server, ingress)
	}
	now = now.Add(100 * time.Millisecond)
	l.Observe(now, server, limitOf(2))
	is.True(l.ScheduleRetry(now, server, "a") <= time.Second)
	is.True(l.ScheduleRetry(now, server, "b") <= 2*time.Second)
}

// Guards against ingresses that ask for single requests and get none, since whoever places or batches at the
// server takes each request that its rate allows; and against a rate that is not used while they take turns.
func TestThoseWhoAskTakeTurnsWithThoseWhoPlace(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 10, 40} {
		for _, ingresses := range []int{1, 6} {
			is := is.New(t)
			start := time.Unix(100, 0)
			server := &site.Server{ID: "i-1"}
			limiter := quota.NewLimiter()
			limiter.Observe(start, server, limitOf(rate))
			asksAt := make([]time.Time, ingresses)
			asked, placed := 0, 0
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
				for i := range asksAt {
					name := fmt.Sprint(i)
					switch {
					case now.Before(asksAt[i]):
					case limiter.AllowsRetry(now, server):
						limiter.Reserve(now, server)
						limiter.MarkSent(server)
						limiter.RecordRetry(server, name)
						asked++
					default:
						asksAt[i] = now.Add(max(limiter.ScheduleRetry(now, server, name), 50*time.Millisecond))
					}
				}
				if limiter.Allows(now, server) {
					limiter.Reserve(now, server)
					limiter.MarkSent(server)
					placed++
				}
			}
			taken := rate * time.Minute.Seconds()
			t.Logf("rate %g, %d ingresses: %d asked for, %d placed", rate, ingresses, asked, placed)
			is.True(float64(asked) >= 0.3*taken)
			is.True(float64(placed) >= 0.3*taken)
			is.True(float64(asked+placed) >= 0.8*taken)
			is.True(float64(asked+placed) <= taken+slack)
		}
	}
}

// Guards against requests that are kept back for an ingress that does not ask again.
func TestRequestIsNotLeftForLong(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1"}
	limiter := quota.NewLimiter()
	limiter.Observe(now, server, limitOf(2))
	now = now.Add(limiter.ScheduleRetry(now, server, "gone"))
	limiter.Reserve(now, server)
	limiter.MarkSent(server)
	now = now.Add(limiter.ScheduleRetry(now, server, "gone"))
	is.True(!limiter.Allows(now, server))
	is.True(limiter.Allows(now.Add(300*time.Millisecond), server))
}
