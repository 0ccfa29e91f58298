package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/place"
)

// placerChange simulates a cold service while its placer is replaced. The old placer continues to
// place the requests of those ingresses that have not observed the change yet.
type placerChange struct {
	now     time.Time
	placers []*place.Engines
	// waiting holds the placed requests that wait for their stages.
	waiting []waitingRequest
	// sent holds the send times of the requests to each engine.
	sent map[string][]time.Time
}

type waitingRequest struct {
	placer    *place.Engines
	placement place.Placement
}

// Guards against a cold engine receiving more than its limit while the placer is replaced: the
// old and the new placer place requests at the same time, and the requests of both are sent
// together.
func TestTwoPlacersKeepTheLimitOfColdEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &placerChange{now: time.Unix(100, 0), sent: map[string][]time.Time{}}
		for range 2 {
			c.placers = append(c.placers, newColdEngines(c.now.Add(time.Hour), 2, 2))
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			c.step(t)
		}
		const limit = 18 // rate 9 with overage 1.5 and slack 5, rounded down
		for engine, times := range c.sent {
			for n := limit; n < len(times); n++ {
				if times[n].Sub(times[n-limit]) <= time.Second {
					t.Fatalf("%s received %d requests within a second", engine, limit+1)
				}
			}
		}
	})
}

func (c *placerChange) step(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "step") < 2 {
		placer := c.placers[rapid.IntRange(0, 1).Draw(t, "placer")]
		if p, found := placer.Place(c.now, newReviewQuery(rapid.IntRange(0, 3).Draw(t, "session"))); found {
			c.waiting = append(c.waiting, waitingRequest{placer, p})
		}
		return
	}
	// The waiting requests are sent together, except for those that are abandoned.
	for _, r := range c.waiting {
		if rapid.IntRange(0, 9).Draw(t, "left") == 0 {
			r.placer.End(c.now, r.placement.ID, place.ResultCanceled)
			continue
		}
		r.placer.MarkSent(c.now, r.placement.ID)
		c.sent[r.placement.Server.ID] = append(c.sent[r.placement.Server.ID], c.now)
		r.placer.End(c.now, r.placement.ID, place.ResultServed)
	}
	c.waiting = nil
}
