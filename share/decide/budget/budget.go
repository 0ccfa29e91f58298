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

const (
	// usableShare is the share of the limit that is used by an ingress that knows what it has spent
	// within the last window.
	usableShare = 0.7
	// unknownShare is the share that is used by one that does not, because an earlier run of it ended
	// within the window and may have spent usableShare. Together they leave a rest for requests that
	// arrive, and are counted, in another window than the one in which they were sent.
	unknownShare = 0.25
)

// Budget counts the requests and retries of one service at one ingress. It is not safe for
// concurrent use.
type Budget struct {
	settings Settings
	// knownSince is the start of the time for which all requests and retries of the ingress are
	// counted. What an earlier run of it has spent before that is not known.
	knownSince time.Time
	// requests and retries hold when requests arrived and retries were sent within the last window, the
	// oldest first.
	requests []time.Time
	retries  []time.Time
	// unsent is the number of retries that were granted and have not been sent yet.
	unsent int
	// earlier is the account of an earlier run of the ingress at earlierAt; zero if there is none.
	earlier   Account
	earlierAt time.Time
}

// Account is what was counted within the last window.
type Account struct {
	Requests int
	Retries  int
	// Known is the part of the window for which all requests and retries were counted.
	Known time.Duration
}

// NewBudget returns a budget without counted requests. Nothing is known of the time before knownSince;
// zero if the ingress has not run before.
func NewBudget(settings Settings, knownSince time.Time) *Budget {
	return &Budget{settings: settings, knownSince: knownSince}
}

// SetKnownSince replaces the start of the time for which all requests and retries are counted.
func (b *Budget) SetKnownSince(at time.Time) { b.knownSince = at }

// SetSettings replaces the settings and keeps the counts.
func (b *Budget) SetSettings(settings Settings) { b.settings = settings }

// CountRequest counts a new request, as opposed to a retry.
func (b *Budget) CountRequest(now time.Time) {
	b.expire(now)
	b.requests = append(b.requests, now)
}

// Decision states whether a retry was granted, and what this depended on.
type Decision struct {
	Granted bool
	// Account is what was counted before the decision.
	Account
	// Limit is the highest number of retries that was allowed within the window.
	Limit float64
	// Ingresses is the number of ingresses that share the slack; 0: not known.
	Ingresses int
}

// TakeRetry grants a retry, unless it exceeds this ingress's part of the limit. The argument ingresses
// is the highest number of ingresses that may use the budget at the same time; while it is 0, not known, no
// slack is granted. The retry counts until a window after it was sent: RecordSent or ReturnRetry must follow.
func (b *Budget) TakeRetry(now time.Time, ingresses int) Decision {
	a := b.Account(now)
	d := Decision{Account: a, Ingresses: ingresses, Limit: b.limit(a, ingresses)}
	if float64(a.Retries+1) > d.Limit {
		return d
	}
	b.unsent++
	d.Granted = true
	return d
}

// RecordSent records that a granted retry is sent now.
func (b *Budget) RecordSent(now time.Time) {
	b.unsent--
	b.retries = append(b.retries, now)
}

// ReturnRetry records that a granted retry will not be sent.
func (b *Budget) ReturnRetry() { b.unsent-- }

// limit returns how many retries are allowed within the window that ends now. As long as an earlier run may
// have spent its part within the window, the slack grows with the time, so that several starts in a row get
// no more of it than one.
func (b *Budget) limit(a Account, ingresses int) float64 {
	part := 0.0
	if ingresses > 0 {
		part = b.settings.Slack / float64(ingresses)
	}
	earned := b.settings.Ratio * float64(a.Requests)
	if a.Known >= b.settings.Window {
		return usableShare * (earned + part)
	}
	return unknownShare * (earned + part*a.Known.Seconds()/b.settings.Window.Seconds())
}

// Account returns what is counted within the window that ends now. The retries of an earlier run count for a
// whole window, since it is not known when they were made; its requests expire evenly over the window.
func (b *Budget) Account(now time.Time) Account {
	b.expire(now)
	a := Account{Requests: len(b.requests), Retries: len(b.retries) + b.unsent, Known: min(now.Sub(b.knownSince), b.settings.Window)}
	if rest := b.settings.Window - now.Sub(b.earlierAt); rest > 0 {
		a.Retries += b.earlier.Retries
		a.Requests += int(float64(b.earlier.Requests) * rest.Seconds() / b.settings.Window.Seconds())
	}
	return a
}

// Restore adds the account of an earlier run of the ingress at the given time, which was before this run.
// Nothing was spent in between.
func (b *Budget) Restore(at time.Time, a Account) {
	b.earlier, b.earlierAt = a, at
	b.knownSince = at.Add(-a.Known)
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
