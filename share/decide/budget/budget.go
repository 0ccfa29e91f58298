// Package budget bounds how often requests are sent once more. The bound holds
// for all ingresses together over any span of a window's length; each one keeps
// to its part without asking, so it holds also while they are cut off from each
// other.
package budget

import "time"

// Settings are the deployment's bound.
type Settings struct {
	// Ratio of the requests of a window that may be sent once more.
	Ratio float64
	// Slack is what may be sent once more in a window beside that, by all ingresses together.
	Slack float64
	// Window is the span over which is counted.
	Window time.Duration
}

// keepPart is the share of the bound that is used. The rest covers arrivals that
// are counted in another window than they were sent in, and an ingress that was
// replaced and counts anew.
const keepPart = 0.7

// Budget counts for one service at one ingress; its caller guards it.
type Budget struct {
	settings Settings
	// requests and repeats hold the times of the last window, the oldest first.
	requests []time.Time
	repeats  []time.Time
}

// NewBudget returns a budget with nothing counted.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// SetSettings takes a new bound; what was counted stays.
func (b *Budget) SetSettings(settings Settings) { b.settings = settings }

// CountRequest notes the first arrival of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.expire(now)
	b.requests = append(b.requests, now)
}

// TakeRepeats counts n further arrivals and returns true, or returns false where they are beyond
// this ingress's part. Ingresses is the highest number of them that may count at the same time.
func (b *Budget) TakeRepeats(now time.Time, n, ingresses int) bool {
	b.expire(now)
	part := b.settings.Slack / float64(max(ingresses, 1))
	bound := keepPart * (b.settings.Ratio*float64(len(b.requests)) + part)
	if float64(len(b.repeats)+n) > bound {
		return false
	}
	for range n {
		b.repeats = append(b.repeats, now)
	}
	return true
}

func (b *Budget) expire(now time.Time) {
	oldest := now.Add(-b.settings.Window)
	b.requests = dropBefore(b.requests, oldest)
	b.repeats = dropBefore(b.repeats, oldest)
}

func dropBefore(times []time.Time, oldest time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(oldest) {
		n++
	}
	return append(times[:0], times[n:]...)
}
