// Package uptime has a clock for the age of what was learnt from others: it also counts while the machine is
// suspended, when the monotonic clock of package time stands still.
package uptime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadTime is the longest time between two readings of the monotonic clock for a reading of the other clock
	// between them to count as of the same moment: the process may be stopped between any two of them.
	maxReadTime = time.Millisecond
	// maxReadings limits the readings of one call.
	maxReadings = 8
)

// Reading holds the monotonic clock, the clock that also counts suspensions, and the monotonic clock again, read in
// this order.
type Reading struct {
	Before, Total, After time.Duration
}

// Clock is a clock that also counts while the machine is suspended. It is safe for concurrent use.
type Clock struct {
	read func() (Reading, error)

	lock sync.Mutex
	// hasBaseline is set once baseline is known: for how long the machine had been suspended before. Suspended is the same
	// since then; it never decreases.
	hasBaseline         bool
	baseline, suspended time.Duration
}

// NewClock returns a clock. Read reads the clocks of the machine.
func NewClock(read func() (Reading, error)) *Clock { return &Clock{read: read} }

var system = NewClock(readSystem) //nolint:gochecknoglobals // the machine has one such clock

// Now returns the current time. Compared with other results of Now or Since, it includes suspensions of the machine; it
// must not be compared with results of time.Now.
func Now() time.Time { return system.Now() }

// Since returns the time since a result of Now, including suspensions of the machine.
func Since(t time.Time) time.Duration { return system.Now().Sub(t) }

// Now returns the current time, including suspensions of the machine.
func (c *Clock) Now() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	for range maxReadings {
		r, err := c.read()
		if err != nil {
			break // the machine has no such clock, and time.Now is as good as it gets
		}
		if r.After-r.Before <= maxReadTime {
			c.observe(r.Total - r.After)
			break
		}
	}
	return time.Now().Add(c.suspended)
}

// observe records for how long the machine has been suspended since it was started. The caller holds the lock.
func (c *Clock) observe(total time.Duration) {
	if !c.hasBaseline {
		c.hasBaseline, c.baseline = true, total
	}
	c.suspended = max(c.suspended, total-c.baseline)
}

func readSystem() (Reading, error) {
	r := Reading{}
	for _, c := range []struct {
		id    int32
		value *time.Duration
	}{{unix.CLOCK_MONOTONIC, &r.Before}, {unix.CLOCK_BOOTTIME, &r.Total}, {unix.CLOCK_MONOTONIC, &r.After}} {
		now := unix.Timespec{}
		if err := unix.ClockGettime(c.id, &now); err != nil {
			return Reading{}, err
		}
		*c.value = time.Duration(now.Nano())
	}
	return r, nil
}
