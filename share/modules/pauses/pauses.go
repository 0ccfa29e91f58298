// Package pauses waits for a time or for the end of a context.
package pauses

import (
	"context"
	"time"
)

// Wait waits for d and returns false when the context ended first.
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
