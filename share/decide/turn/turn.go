// Package turn decides when an ingress makes a write that several of them know to be due, so that one of
// them does at first, and the others only if it does not.
package turn

import (
	"slices"
	"time"
)

// Order holds since when writes have been due. It is not safe for concurrent use.
type Order struct {
	// takeover is how long a write may stay due until the next ingress by rank makes it, since the one before
	// may be cut off from the store.
	takeover time.Duration
	dueSince map[string]time.Time
}

// NewOrder returns an order in which no write is due.
func NewOrder(takeover time.Duration) *Order {
	return &Order{takeover: takeover, dueSince: map[string]time.Time{}}
}

// Retain forgets the writes that are not due any more.
func (o *Order) Retain(keys []string) {
	for key := range o.dueSince {
		if !slices.Contains(keys, key) {
			delete(o.dueSince, key)
		}
	}
}

// IsTurn reports whether an ingress makes a write that is due now. Place is its place by rank among the
// ingresses; negative: it has none.
func (o *Order) IsTurn(now time.Time, key string, place int) bool {
	since, isDue := o.dueSince[key]
	if !isDue {
		since = now
		o.dueSince[key] = now
	}
	return place >= 0 && now.Sub(since) >= time.Duration(place)*o.takeover
}
