package delay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/delay"
)

func TestWaitCountsResultsServedFirst(t *testing.T) {
	is := is.New(t)
	b := delay.Backlog{OnTime: delay.Counts{0: 10, 1: 30}, Late: delay.Counts{0: 5, 2: 15}, Rate: 10}
	is.Equal(b.Wait(0), time.Second)
	is.Equal(b.Wait(1), 4*time.Second)
	is.Equal(b.Wait(7), 4*time.Second)
	is.Equal(b.LateWait(0), 4500*time.Millisecond) // behind everything that can be on time
	is.Equal(b.LateWait(2), 6*time.Second)
	is.Equal(b.OnTime.Scale(2), delay.Counts{0: 20, 1: 60})
}

// Guards against an infinite or a zero estimate while all servers of a service are down and its
// rate is 0: the service may recover soon, so new requests must assume a short wait.
func TestStalledServiceHasShortWait(t *testing.T) {
	is := is.New(t)
	b := delay.Backlog{OnTime: delay.Counts{0: 10}}
	is.True(b.IsKnown())
	is.Equal(b.Wait(0), time.Second)
	is.True(!delay.Backlog{}.IsKnown())
}
