package uptime_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/uptime"
)

// Guards against an age that leaves out the time for which the machine was suspended, and against one that counts the
// time between two readings of the clocks as a suspension.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		readings := []uptime.Reading{
			{Before: 0, Total: 5 * time.Second, After: 0},
			{Before: time.Second, Total: 9 * time.Second, After: 4 * time.Second}, // stopped for 3 s while they were read
			{Before: 4 * time.Second, Total: 15 * time.Second, After: 4 * time.Second},
		}
		c := uptime.NewClock(func() (uptime.Reading, error) {
			r := readings[0]
			readings = readings[1:]
			return r, nil
		})
		before := c.Now()
		time.Sleep(4 * time.Second)
		is.Equal(c.Now().Sub(before), 10*time.Second)
	})
}

// Guards against a clock that stands still or goes back where the machine cannot tell its suspensions.
func TestClockRunsWithoutTheMachinesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := uptime.NewClock(func() (uptime.Reading, error) { return uptime.Reading{}, errors.New("no such clock") })
		before := c.Now()
		time.Sleep(time.Second)
		is.New(t).Equal(c.Now().Sub(before), time.Second)
	})
}

// Guards against a reading of the machine's clocks that fails or jumps.
func TestSystemClockRunsWithTheMonotonicClock(t *testing.T) {
	const allowed = time.Millisecond
	beforeFirst := time.Now()
	first := uptime.Now()
	afterFirst := time.Now()
	time.Sleep(20 * time.Millisecond)
	beforeSecond := time.Now()
	elapsed := uptime.Since(first)
	if least, most := beforeSecond.Sub(afterFirst), time.Since(beforeFirst); elapsed < least-allowed || elapsed > most+allowed {
		t.Errorf("%v elapsed, not %v to %v", elapsed, least, most)
	}
}

// Guards against suspensions of before the process started that count as time since: the first readings were stopped.
func TestEarlierSuspensionsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		c := uptime.NewClock(func() (uptime.Reading, error) {
			if calls++; calls <= 8 {
				return uptime.Reading{Before: 0, Total: time.Hour, After: 2 * time.Millisecond}, nil
			}
			return uptime.Reading{Before: time.Second, Total: time.Hour + time.Second, After: time.Second}, nil
		})
		before := c.Now()
		time.Sleep(time.Second)
		if elapsed := c.Now().Sub(before); elapsed > 2*time.Second {
			t.Errorf("%v elapsed, not a second", elapsed)
		}
	})
}
