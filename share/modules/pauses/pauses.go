// Package pauses provides a sleep that ends early when a context ends.
package pauses

import (
	"context"
	"time"
)

// Wait sleeps for d and returns true. It returns false if the context ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
