package retry

import "time"

// PendingAttempt is an attempt that has no answer yet.
type PendingAttempt struct {
	Idempotent bool
	// Delivered is set once part of the answer was sent to the caller.
	Delivered bool
	// Hedged is set once a second attempt was sent.
	Hedged bool
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	// Remaining is the time left until the deadline; EstimatedTime is the predicted time of another
	// attempt.
	Remaining     time.Duration
	EstimatedTime time.Duration
}

// Hedge reports whether to send a second attempt while one is pending. If so, it charges the second
// attempt to the budget.
func (b *Budget) Hedge(o PendingAttempt) bool {
	if b.settings.HedgeAfter <= 0 || o.Elapsed < b.settings.HedgeAfter {
		return false
	}
	if !o.Idempotent || o.Delivered || o.Hedged || o.Remaining < o.EstimatedTime {
		return false
	}
	return b.withdraw()
}
