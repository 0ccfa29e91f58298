package cold_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/cold"
)

func TestLimitIsDividedBetweenTwoPlacers(t *testing.T) {
	is := is.New(t)
	s := cold.Settings{Overage: 1.5, Slack: 5}
	limit, limited := s.Limit(9)
	is.True(limited)
	is.Equal(limit, 9) // two placers together stay below 18.5
	_, limited = s.Limit(0)
	is.True(!limited)
	limit, _ = cold.Settings{}.Limit(8)
	is.Equal(limit, 4) // with zero settings, the two limits add up to the rate itself
}

// Guards against a cold server receiving more than its limit because every ingress of a large
// deployment sends to it at once.
func TestSharesAddUpToNoMoreThanTheLimit(t *testing.T) {
	is := is.New(t)
	for _, ingresses := range []int{1, 2, 5, 28, 420} {
		sum := 0
		for rank := range ingresses {
			sum += cold.Share(rank, ingresses, 9)
		}
		is.True(sum <= 9)
		is.True(sum >= 5)
	}
	is.Equal(cold.Share(-1, 3, 9), 0) // an ingress that is stopping is not ranked and gets no share
}

// Guards against a cold server receiving more than its limit within a second: requests that
// are reserved one after another wait for their stages and are then sent together.
func TestNoSecondExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		now := time.Unix(100, 0)
		w := cold.Window{}
		reserved := 0
		sent := []time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if w.Count(now) < limit {
					w.Reserve()
					reserved++
				}
			case 2:
				if reserved > 0 {
					w.MarkSent(now)
					reserved--
					sent = append(sent, now)
				}
			case 3:
				if reserved > 0 {
					w.Cancel()
					reserved--
				}
			}
		}
		for i := range sent {
			if i >= limit && sent[i].Sub(sent[i-limit]) <= time.Second {
				t.Fatalf("%d requests sent from %v to %v", limit+1, sent[i-limit], sent[i])
			}
		}
	})
}
