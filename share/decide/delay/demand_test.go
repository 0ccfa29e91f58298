package delay_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/delay"
)

func TestDemandFollowsArrivals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := delay.NewDemand()
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, 0, 1)
	}
	is.True(math.Abs(d.Rates(now)[0]-100) < 2) // 100 per second
	is.Equal(len(d.Rates(now.Add(10*time.Second))), 0)
}

// Requests that can be on time arrive at nine tenths of the service's rate. Thirty results, 0.3 s
// of work, are queued ahead of a late request, but new arrivals keep overtaking it, and it waits
// five times as long. Guards against admitting late requests on an estimate without the arrivals.
func TestLateRequestsWaitForNewArrivals(t *testing.T) {
	is := is.New(t)
	b := delay.Backlog{OnTime: delay.Counts{0: 30}, Rate: 100, Demand: delay.Counts{0: 90}}
	is.Equal(b.Wait(1), 300*time.Millisecond)
	is.Equal(b.LateWait(1).Round(time.Millisecond), 1500*time.Millisecond)
}
