package admit

import (
	"math"
	"time"
)

// sweepInterval is the time between two sweeps, which drop the buckets that are full again.
const sweepInterval = 10 * time.Second

// bucket is a team's token bucket. A team without a stored bucket has a full one.
type bucket struct {
	// tokens becomes negative when a request that costs more than the burst is admitted.
	tokens   float64
	rate     float64
	burst    float64
	filledAt time.Time
}

// buckets holds the token buckets of the teams that are not known to be full.
type buckets struct {
	// entries is the number of entries among which the limits are divided; at least 1.
	entries float64
	teams   map[string]bucket
	sweptAt time.Time
}

func newBuckets() buckets { return buckets{entries: 1, teams: make(map[string]bucket)} }

// take charges the request to its team and returns true. If the team is over its limit, take
// charges nothing and returns false and how long the team has to wait.
func (b *buckets) take(now time.Time, q Request) (wait time.Duration, ok bool) {
	if q.Rate <= 0 {
		return 0, true
	}
	b.sweep(now)
	t, known := b.teams[q.Team]
	if !known {
		t = bucket{tokens: math.Inf(1), filledAt: now} // full; refill limits it to the burst
	}
	t.rate = q.Rate / b.entries
	t.burst = max(q.Burst, q.Rate) / b.entries
	t.refill(now)
	// A request that costs more than the burst is admitted if the bucket is full, and its tokens
	// become negative.
	needed := min(q.Cost, t.burst)
	if t.tokens < needed {
		b.teams[q.Team] = t
		return time.Duration((needed - t.tokens) / t.rate * float64(time.Second)), false
	}
	t.tokens -= q.Cost
	b.teams[q.Team] = t
	return 0, true
}

// refill adds the tokens earned since the last refill.
func (t *bucket) refill(now time.Time) {
	elapsed := max(now.Sub(t.filledAt), 0)
	t.tokens = min(t.burst, t.tokens+t.rate*elapsed.Seconds())
	t.filledAt = now
}

// sweep drops the full buckets, at most once per sweepInterval, so that idle teams take no memory.
func (b *buckets) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for name, t := range b.teams {
		t.refill(now)
		if t.tokens >= t.burst {
			delete(b.teams, name)
		}
	}
}
