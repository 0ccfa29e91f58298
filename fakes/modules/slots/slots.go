// Package slots limits how many calls a stand-in runs at once.
package slots

import (
	"context"
	"time"
)

// Slots is a semaphore with a fixed number of slots; each running call holds one.
type Slots struct {
	// taken has one element for each slot that is taken.
	taken chan struct{}
}

// NewSlots returns n free slots, or one if n is less.
func NewSlots(n int) *Slots {
	return &Slots{taken: make(chan struct{}, max(n, 1))}
}

// Acquire takes a slot, waiting for a free one if needed. It returns false if ctx ends first.
func (s *Slots) Acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.taken <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Release frees a slot that Acquire took.
func (s *Slots) Release() {
	<-s.taken
}

// Sleep waits for d or until ctx ends, and reports whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
