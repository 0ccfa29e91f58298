package retry

import "time"

// Open is an attempt still without an answer.
type Open struct {
	Idempotent bool
	// Delivered is set once a part of the answer went to the caller.
	Delivered bool
	// Hedged is set once a second attempt was sent.
	Hedged bool
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	// Remaining is the time left to the deadline; Need the predicted time of another attempt.
	Remaining time.Duration
	Need      time.Duration
}

// Hedge says whether to send a second attempt beside an open one, and takes it from the budget.
func (b *Budget) Hedge(o Open) bool {
	if b.settings.HedgeAfter <= 0 || o.Elapsed < b.settings.HedgeAfter {
		return false
	}
	if !o.Idempotent || o.Delivered || o.Hedged || o.Remaining < o.Need {
		return false
	}
	return b.withdraw()
}
