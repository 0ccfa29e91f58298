package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/sched"
)

var start = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

const onTime = 100 * time.Millisecond

// Guards against an operator who cannot tell a process that is busy itself from one that the machine does
// not run: both answer late.
func TestReportTellsWhatTheProcessUsedMeanwhile(t *testing.T) {
	is := is.New(t)
	tracker := sched.NewTracker(start, sched.Usage{Processor: time.Second, GCCycles: 3})
	now := start.Add(800 * time.Millisecond)
	delay, report := tracker.Check(now, sched.Usage{Processor: 1700 * time.Millisecond, GCCycles: 4, Goroutines: 90})
	is.Equal(delay, 700*time.Millisecond)
	is.Equal(*report, sched.Report{
		Count: 1, Longest: 700 * time.Millisecond, Elapsed: 800 * time.Millisecond, Processor: 700 * time.Millisecond, GCCycles: 1, Goroutines: 90,
	})
}

// Guards against lines about ordinary delays of a timer.
func TestChecksOnTimeAreNotReported(t *testing.T) {
	is := is.New(t)
	tracker := sched.NewTracker(start, sched.Usage{})
	now := start
	for range 100 {
		now = now.Add(onTime + 90*time.Millisecond)
		delay, report := tracker.Check(now, sched.Usage{})
		is.Equal(delay, time.Duration(0))
		is.Equal(report, nil)
	}
}

// Guards against a log that is flooded while the process is overloaded, and against late checks that no line
// reports because the process has recovered before the next line is due.
func TestReportsAreBoundedAndLoseNoCheck(t *testing.T) {
	is := is.New(t)
	tracker := sched.NewTracker(start, sched.Usage{})
	now := start
	late, reported, lines := 0, 0, 0
	check := func(after time.Duration) {
		now = now.Add(after)
		delay, report := tracker.Check(now, sched.Usage{})
		if delay > 0 {
			late++
		}
		if report != nil {
			lines++
			reported += report.Count
		}
	}
	for now.Before(start.Add(time.Minute)) {
		check(300 * time.Millisecond)
	}
	is.True(lines <= 13)
	for range 60 {
		check(onTime)
	}
	is.Equal(late, 200)
	is.Equal(reported, late)
}
