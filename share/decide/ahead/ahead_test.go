package ahead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/ahead"
)

func TestWaitCountsWhatGoesBefore(t *testing.T) {
	is := is.New(t)
	o := ahead.Outlook{OnTime: ahead.Counts{0: 10, 1: 30}, Late: ahead.Counts{0: 5, 2: 15}, Rate: 10}
	is.Equal(o.Wait(0), time.Second)
	is.Equal(o.Wait(1), 4*time.Second)
	is.Equal(o.Wait(7), 4*time.Second)
	is.Equal(o.LateWait(0), 4500*time.Millisecond) // behind all that can be on time
	is.Equal(o.LateWait(2), 6*time.Second)
	is.Equal(o.OnTime.Scale(2), ahead.Counts{0: 20, 1: 60})
}

// All servers of a service fail, so that nothing is made. New requests must not take
// an endless wait, nor none, for the truth: one is soon tried again.
func TestStalledServiceIsTriedAgain(t *testing.T) {
	is := is.New(t)
	o := ahead.Outlook{OnTime: ahead.Counts{0: 10}}
	is.True(o.IsTold())
	is.Equal(o.Wait(0), time.Second)
	is.True(!ahead.Outlook{}.IsTold())
}
