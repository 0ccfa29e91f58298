// Package budget implements the retry budget of a service: it limits how many requests are
// retried. The limit holds for all ingresses together over any span of one window. Each ingress
// keeps to its own part of it without communication, so it also holds while the ingresses
// cannot reach each other.
package budget

import "time"

// Settings define the limit of a deployment.
type Settings struct {
	// Ratio is the share of a window's requests that may be retried.
	Ratio float64
	// Slack is the number of retries per window that are allowed in addition to Ratio, by all
	// ingresses together.
	Slack float64
	// Window is the span over which requests and retries are counted.
	Window time.Duration
}

// usableShare is the share of the limit that is used. The rest covers requests that arrive, and
// are counted, in another window than the one they were sent in, and an ingress that was
// replaced and starts counting from zero.
const usableShare = 0.7

// Budget counts the requests and retries of one service at one ingress. It is not safe for
// concurrent use.
type Budget struct {
	settings Settings
	// requests and retries hold the times within the last window, the oldest first.
	requests []time.Time
	retries  []time.Time
}

// NewBudget returns a budget without counted requests.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// SetSettings replaces the settings and keeps the counts.
func (b *Budget) SetSettings(settings Settings) { b.settings = settings }

// CountRequest counts a new request, as opposed to a retry.
func (b *Budget) CountRequest(now time.Time) {
	b.expire(now)
	b.requests = append(b.requests, now)
}

// Decision states whether retries were granted, and what this depended on.
type Decision struct {
	Granted bool
	// Requests and Retries are the numbers counted within the last window before the decision.
	Requests int
	Retries  int
	// Limit is the highest number of retries that was allowed within the window.
	Limit float64
	// Ingresses is the number of ingresses that share the slack.
	Ingresses int
}

// TakeRetries counts n retries and grants them, or counts none if they exceed this ingress's part
// of the limit. The argument ingresses is the highest number of ingresses that may use the budget
// at the same time.
func (b *Budget) TakeRetries(now time.Time, n, ingresses int) Decision {
	b.expire(now)
	ingresses = max(ingresses, 1)
	part := b.settings.Slack / float64(ingresses)
	d := Decision{
		Requests: len(b.requests), Retries: len(b.retries), Ingresses: ingresses,
		Limit: usableShare * (b.settings.Ratio*float64(len(b.requests)) + part),
	}
	if float64(len(b.retries)+n) > d.Limit {
		return d
	}
	for range n {
		b.retries = append(b.retries, now)
	}
	d.Granted = true
	return d
}

func (b *Budget) expire(now time.Time) {
	oldest := now.Add(-b.settings.Window)
	b.requests = dropBefore(b.requests, oldest)
	b.retries = dropBefore(b.retries, oldest)
}

func dropBefore(times []time.Time, oldest time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(oldest) {
		n++
	}
	return append(times[:0], times[n:]...)
}
