package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/vload/modules/pace"
)

// allArrivals returns the remaining arrivals of a schedule.
func allArrivals(s *pace.Schedule) []pace.Arrival {
	var all []pace.Arrival
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		all = append(all, a)
	}
	return all
}

func TestSameSeedGivesSameSchedule(t *testing.T) {
	is := is.New(t)
	segments := []pace.Segment{
		{Duration: 2 * time.Second, Rate: 500, Poisson: true, Weights: []float64{1, 3}},
		{Duration: time.Second, Rate: 100, Weights: []float64{0, 1}},
	}
	first := allArrivals(pace.NewSchedule(7, segments))
	is.Equal(first, allArrivals(pace.NewSchedule(7, segments)))
	other := allArrivals(pace.NewSchedule(8, segments))
	is.True(first[0] != other[0])
	kinds := make([]int, 2)
	uniform := 0
	for i, a := range first {
		is.Equal(a.Sequence, uint64(i))
		is.True(i == 0 || a.Offset >= first[i-1].Offset)
		if a.Segment == 1 {
			uniform++
			is.Equal(a.Kind, 1)
			continue
		}
		kinds[a.Kind]++
	}
	is.Equal(uniform, 99)                               // 10 ms between arrivals for one second; the first arrival is at 10 ms
	is.True(kinds[0]+kinds[1] > 850)                    // 1,000 expected
	is.True(kinds[0]+kinds[1] < 1150)                   // 1,000 expected
	is.True(kinds[1] > 2*kinds[0] && kinds[0] > 0)      // weights 1 to 3
	is.True(first[len(first)-1].Offset < 3*time.Second) // within the last segment
}
