package admit

import (
	"math"
	"time"
)

// sweepEvery is how often the buckets that are full again are dropped.
const sweepEvery = 10 * time.Second

// bucket is a team's token bucket; one that is full again equals none.
type bucket struct {
	// tokens may fall below zero by the cost of a call above the burst.
	tokens float64
	rate   float64
	burst  float64
	at     time.Time
}

// buckets holds the state of the teams that used something lately.
type buckets struct {
	// entries divides the limits; at least 1.
	entries float64
	teams   map[string]bucket
	sweptAt time.Time
}

func newBuckets() buckets { return buckets{entries: 1, teams: make(map[string]bucket)} }

// take charges the request to its team; false, with how long the team has to wait, when it may not begin.
func (b *buckets) take(now time.Time, q Request) (wait time.Duration, ok bool) {
	if q.Rate <= 0 {
		return 0, true
	}
	b.sweep(now)
	t, known := b.teams[q.Team]
	if !known {
		t = bucket{tokens: math.Inf(1), at: now} // full; fill cuts it to the burst
	}
	t.rate = q.Rate / b.entries
	t.burst = max(q.Burst, q.Rate) / b.entries
	t.fill(now)
	// A call above the burst passes when the bucket is full, and leaves a debt.
	need := min(q.Cost, t.burst)
	if t.tokens < need {
		b.teams[q.Team] = t
		return time.Duration((need - t.tokens) / t.rate * float64(time.Second)), false
	}
	t.tokens -= q.Cost
	b.teams[q.Team] = t
	return 0, true
}

func (t *bucket) fill(now time.Time) {
	passed := max(now.Sub(t.at), 0)
	t.tokens = min(t.burst, t.tokens+t.rate*passed.Seconds())
	t.at = now
}

func (b *buckets) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepEvery {
		return
	}
	b.sweptAt = now
	for name, t := range b.teams {
		t.fill(now)
		if t.tokens >= t.burst {
			delete(b.teams, name)
		}
	}
}
