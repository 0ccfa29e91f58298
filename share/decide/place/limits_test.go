package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// newLimitedEngines returns two engines in one failure domain, of which the first states a rate, and
// the limiter of their placer.
func newLimitedEngines(now time.Time, rate float64) (*place.Engines, *quota.Limiter) {
	e := place.NewEngines(regions)
	servers := newServers("a1", "a1")
	limiter := quota.NewLimiter()
	limiter.Observe(now, &servers[0], site.RateLimit{State: site.RateLimited, PerSecond: rate})
	e.SetLimiter(limiter)
	e.SetServers(servers, site.Engine{Slots: 128, CacheTokens: 260_000})
	return e, limiter
}

// Guards against an engine in need receiving as many requests as the others, and against one that
// gets none at all.
func TestEngineWithARateLimitGetsNoMoreThanItTakes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	e, _ := newLimitedEngines(now, 2)
	counts := map[string]int{}
	q := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 100}}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		p, found := e.Place(now, q)
		is.True(found)
		counts[p.Server.ID]++
		e.MarkSent(now, p.ID)
		e.End(now, p.ID, place.ResultServed)
	}
	is.True(counts["s0"] <= 2*10+1)
	is.True(counts["s0"] >= 2*10-1)
	is.Equal(counts["s0"]+counts["s1"], 200)
}

// Guards against an engine in need receiving requests from an ingress that cannot reach the placer,
// in addition to those of the placer.
func TestFallbackAvoidsEnginesWithARateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	e, limiter := newLimitedEngines(now, 100)
	limiter.NextAt(now, &site.Server{ID: "s0"}) // it has tokens from now on
	now = now.Add(time.Minute)
	is.True(limiter.Allows(now, &site.Server{ID: "s0"}))
	q := newReviewQuery(1)
	q.IsFallback = true
	for range 10 {
		p, found := e.Place(now, q)
		is.True(found)
		is.Equal(p.Server.ID, "s1")
	}
	q.Exclude = []string{"s1"}
	_, found := e.Place(now, q)
	is.True(!found)
	limiter.Observe(now, &site.Server{ID: "s0"}, site.RateLimit{})
	_, found = e.Place(now, q)
	is.True(found)
}

// Guards against requests that are given up before they are sent and count against the rate of an
// engine for ever.
func TestUnsentRequestReleasesItsReservationAtAnEngineWithARateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	e, _ := newLimitedEngines(now, 1)
	q := newReviewQuery(1)
	q.Exclude = []string{"s1"}
	for range 10 {
		placed := []place.Placement{}
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			if p, found := e.Place(now, q); found {
				placed = append(placed, p)
			}
		}
		is.True(len(placed) > 0) // as many as may wait for their stages
		is.True(len(placed) < 5)
		for _, p := range placed {
			e.End(now, p.ID, place.ResultCanceled)
		}
	}
}

// limitedPlacers simulates the placers of a service with one engine that states a rate. The second
// placer takes over from the first.
type limitedPlacers struct {
	now     time.Time
	placers []*place.Engines
	waiting []limitedRequest
	sent    []time.Time
}

// limitedRequest is a placed request whose stages end at readyAt.
type limitedRequest struct {
	placer    *place.Engines
	placement place.Placement
	readyAt   time.Time
}

func (l *limitedPlacers) place(placer, stageMillis int) {
	p, found := l.placers[placer].Place(l.now, newReviewQuery(1))
	if found {
		ready := l.now.Add(time.Duration(stageMillis) * time.Millisecond)
		l.waiting = append(l.waiting, limitedRequest{placer: l.placers[placer], placement: p, readyAt: ready})
	}
}

func (l *limitedPlacers) send() {
	left := l.waiting[:0]
	for _, w := range l.waiting {
		if l.now.Before(w.readyAt) {
			left = append(left, w)
			continue
		}
		w.placer.MarkSent(l.now, w.placement.ID)
		l.sent = append(l.sent, l.now)
		w.placer.End(l.now, w.placement.ID, place.ResultServed)
	}
	l.waiting = left
}

// Guards against an engine in need receiving more than it takes while its placer is replaced. For a
// second some ingresses still ask the old placer, others already the new one, which does not know
// what was placed before.
func TestChangeOfThePlacerKeepsTheStatedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.5, 1, 2, 4, 10, 40}).Draw(t, "rate")
		start := time.Unix(100, 0)
		l := &limitedPlacers{now: start}
		for range 2 {
			e := place.NewEngines(regions)
			servers := newServers("a1")
			limiter := quota.NewLimiter()
			limiter.Observe(start, &servers[0], site.RateLimit{State: site.RateLimited, PerSecond: rate})
			e.SetLimiter(limiter)
			e.SetServers(servers, site.Engine{Slots: 128, CacheTokens: 260_000})
			l.placers = append(l.placers, e)
		}
		const takeover, overlap = 6 * time.Second, time.Second
		for l.now.Before(start.Add(12 * time.Second)) {
			l.now = l.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			stageMillis := rapid.IntRange(0, 1500).Draw(t, "stages")
			if l.now.Before(start.Add(takeover + overlap)) {
				l.place(0, stageMillis)
			}
			if !l.now.Before(start.Add(takeover)) {
				l.place(1, stageMillis)
			}
			l.send()
		}
		const window, overage, slack = 4 * time.Second, 1.5, 5
		allowed := int(overage*rate*window.Seconds()) + slack
		for n := allowed; n < len(l.sent); n++ {
			if l.sent[n].Sub(l.sent[n-allowed]) < window {
				t.Fatalf("%d requests within %v at a rate of %v", allowed+1, window, rate)
			}
		}
	})
}
