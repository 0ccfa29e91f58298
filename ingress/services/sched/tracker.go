// Package sched reports when the goroutines of the process run late, because the process is busy itself or
// because the machine does not run it. Every timeout and every heartbeat of the process is late then, too. While
// the process is busy itself, it takes only some of the new connections.
package sched

import "time"

const (
	// checkInterval is the time between two checks. A check that runs later than lateAfter counts as late.
	checkInterval = 100 * time.Millisecond
	lateAfter     = 100 * time.Millisecond
	// reportInterval is the minimum time between two reports, refusalReportInterval that between two lines
	// about refused connections.
	reportInterval        = 5 * time.Second
	refusalReportInterval = time.Second
)

// Usage is what a process has used since its start, and what it is at.
type Usage struct {
	Processor  time.Duration
	GCCycles   uint64
	Goroutines uint64
}

// Report describes the late checks since the report before.
type Report struct {
	// Count is the number of late checks, and Longest the longest delay of one.
	Count   int
	Longest time.Duration
	// Elapsed is the time from the check before the one with the longest delay, Processor the processor
	// time that the process took in it, and GCCycles the number of garbage collections that ended in it. A
	// process whose processor time is far below the elapsed time was not run, or had nothing to do but
	// wait for a call of the operating system.
	Elapsed   time.Duration
	Processor time.Duration
	GCCycles  uint64
	// Goroutines is the number of goroutines at the check with the longest delay.
	Goroutines uint64
}

// Tracker finds the late checks. It is not safe for concurrent use.
type Tracker struct {
	// checkedAt is when the last check ran, and used what the process had used by then.
	checkedAt time.Time
	used      Usage
	// pending describes the late checks that were not reported yet.
	pending    Report
	reportedAt time.Time
}

// NewTracker returns a tracker whose first check is due checkInterval after now.
func NewTracker(now time.Time, used Usage) *Tracker { return &Tracker{checkedAt: now, used: used} }

// Check records that a check runs now. It returns the delay of the check if it is late, or else 0, and a
// report if one is due.
func (t *Tracker) Check(now time.Time, used Usage) (delay time.Duration, due *Report) {
	elapsed := now.Sub(t.checkedAt)
	delay = elapsed - checkInterval
	if delay < lateAfter {
		delay = 0
	}
	if delay > 0 {
		t.addLate(elapsed, delay, used)
	}
	t.checkedAt, t.used = now, used
	if t.pending.Count == 0 || now.Sub(t.reportedAt) < reportInterval {
		return delay, nil
	}
	report := t.pending
	t.pending, t.reportedAt = Report{}, now
	return delay, &report
}

func (t *Tracker) addLate(elapsed, delay time.Duration, used Usage) {
	t.pending.Count++
	if delay <= t.pending.Longest {
		return
	}
	t.pending.Longest, t.pending.Elapsed = delay, elapsed
	t.pending.Processor = used.Processor - t.used.Processor
	t.pending.GCCycles = used.GCCycles - t.used.GCCycles
	t.pending.Goroutines = used.Goroutines
}
