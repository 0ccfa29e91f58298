// Package pace generates reproducible schedules of request arrivals from a seed.
package pace

import (
	"math/rand/v2"
	"time"
)

// Segment is a period with a constant mean arrival rate.
type Segment struct {
	Duration time.Duration
	// Rate is the mean number of arrivals per second and is over 0.
	Rate float64
	// Poisson draws the times between arrivals from an exponential distribution; otherwise all are
	// equal.
	Poisson bool
	// Weights holds the relative share of the arrivals for each kind of request; their sum is over
	// 0.
	Weights []float64
}

// Arrival is one scheduled request.
type Arrival struct {
	// Offset is the scheduled send time, measured from the start of the run.
	Offset time.Duration
	// Sequence is the number of the arrival in the run, counted from 0.
	Sequence uint64
	// Segment is the index of the segment, Kind the index into its weights.
	Segment int
	Kind    int
	// Seed is the seed for the content of the request.
	Seed uint64
}

// Schedule generates the arrivals of all segments in order of time. The same seed gives the same
// arrivals.
type Schedule struct {
	segments []Segment
	random   *rand.Rand
	segment  int
	// start is the offset of the current segment in the run; next is the offset of the next arrival
	// within that segment.
	start    time.Duration
	next     time.Duration
	sequence uint64
}

// streamSalt is the second half of the generator's seed. It makes the random numbers of schedules
// independent of those that other code draws from the same seed.
const streamSalt = 0x9e3779b97f4a7c15

// NewSchedule returns the schedule of consecutive segments.
func NewSchedule(seed uint64, segments []Segment) *Schedule {
	s := &Schedule{segments: segments, random: rand.New(rand.NewPCG(seed, streamSalt))}
	if len(segments) > 0 {
		s.next = s.drawGap()
	}
	return s
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	for s.segment < len(s.segments) {
		current := &s.segments[s.segment]
		if s.next < current.Duration {
			a := s.newArrival(s.start+s.next, s.segment)
			s.next += s.drawGap()
			return a, true
		}
		s.start += current.Duration
		s.segment++
		if s.segment < len(s.segments) {
			s.next = s.drawGap()
		}
	}
	return Arrival{}, false
}

// Draw returns an arrival in the segment at the given offset, for senders that choose the time
// themselves.
func (s *Schedule) Draw(offset time.Duration, segment int) Arrival {
	return s.newArrival(offset, segment)
}

// newArrival draws the kind and the seed of an arrival and gives it the next sequence number.
func (s *Schedule) newArrival(offset time.Duration, segment int) Arrival {
	a := Arrival{
		Offset:   offset,
		Sequence: s.sequence,
		Segment:  segment,
		Kind:     s.drawKind(s.segments[segment].Weights),
		Seed:     s.random.Uint64(),
	}
	s.sequence++
	return a
}

// drawGap draws the time between two arrivals of the current segment.
func (s *Schedule) drawGap() time.Duration {
	current := &s.segments[s.segment]
	mean := float64(time.Second) / current.Rate
	if current.Poisson {
		return time.Duration(s.random.ExpFloat64() * mean)
	}
	return time.Duration(mean)
}

// drawKind draws an index with a probability proportional to its weight. A rounding error in the
// subtractions can leave no index selected; the last one with a weight is then returned.
func (s *Schedule) drawKind(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := s.random.Float64() * total
	lastWeighted := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if remaining < w {
			return i
		}
		remaining -= w
		lastWeighted = i
	}
	return lastWeighted
}
