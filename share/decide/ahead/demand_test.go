package ahead_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/ahead"
)

func TestDemandFollowsArrivals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := ahead.NewDemand()
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, 0, 1)
	}
	is.True(math.Abs(d.Rates(now)[0]-100) < 2) // 100 a second
	is.Equal(len(d.Rates(now.Add(10*time.Second))), 0)
}

// Notes that can be on time come at nine tenths of what a service makes. A late review
// is behind thirty results, a third of a second of work; but notes go on passing it, so
// that it waits for five times as long, and is not let in for that time.
func TestLateRequestsWaitForThoseThatPass(t *testing.T) {
	is := is.New(t)
	o := ahead.Outlook{OnTime: ahead.Counts{0: 30}, Rate: 100, Demand: ahead.Counts{0: 90}}
	is.Equal(o.Wait(1), 300*time.Millisecond)
	is.Equal(o.LateWait(1).Round(time.Millisecond), 1500*time.Millisecond)
}
