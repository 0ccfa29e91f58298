package usual_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/usual"
)

// Most streams of a kind end within the estimate, and it is no more than twice as long as nine in ten of them take.
func TestMostWorkEndsWithinTheEstimate(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration { return time.Duration((0.3 + random.ExpFloat64()) * float64(time.Second)) }
	d := usual.NewDurations()
	within, total := 0, 0
	for n := range 2000 {
		if n >= 50 {
			total++
			if draw() <= d.Longest("lookup") {
				within++
			}
		}
		d.Observe("lookup", draw())
	}
	is.True(within*100 > total*75)
	is.True(d.Longest("lookup") < 2*(300+2303)*time.Millisecond)
}

// Guards against an estimate from a single stream, and against one that stays at what was usual before.
func TestEstimateFollowsTheLastObservations(t *testing.T) {
	is := is.New(t)
	d := usual.NewDurations()
	d.Observe("lookup", time.Hour)
	is.Equal(d.Longest("lookup"), time.Duration(0))
	for range 200 {
		d.Observe("lookup", 3*time.Second)
		d.Observe("advice", 100*time.Millisecond)
	}
	is.True(d.Longest("lookup") < 3100*time.Millisecond && d.Longest("lookup") >= 3*time.Second)
	is.True(d.Longest("advice") < 110*time.Millisecond)
}

// Guards against estimates of routes that were removed, which would take memory for good.
func TestKindsThatAreGoneAreDropped(t *testing.T) {
	is := is.New(t)
	d := usual.NewDurations()
	for range 10 {
		d.Observe("lookup", time.Second)
		d.Observe("advice", time.Second)
	}
	d.Keep(func(kind string) bool { return kind == "advice" })
	is.Equal(d.Longest("lookup"), time.Duration(0))
	is.True(d.Longest("advice") > 0)
}
