// Package slots bounds how many calls a stand-in works on at once.
package slots

import (
	"context"
	"time"
)

// Slots is a fixed number of places; a call waits for one.
type Slots struct {
	places chan struct{}
}

// NewSlots returns n free places.
func NewSlots(n int) *Slots {
	return &Slots{places: make(chan struct{}, max(n, 1))}
}

// Take waits for a place; false means that ctx ended first.
func (s *Slots) Take(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Free gives a place back.
func (s *Slots) Free() {
	<-s.places
}

// Work spends d, or less when ctx ends first, and reports whether it spent all.
func Work(ctx context.Context, d time.Duration) bool {
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
