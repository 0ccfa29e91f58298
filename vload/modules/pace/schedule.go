// Package pace spaces requests in time from a fixed seed.
package pace

import (
	"math/rand/v2"
	"time"
)

// Segment is a stretch of constant mean rate.
type Segment struct {
	Duration time.Duration
	// Rate is the mean number of arrivals per second and is over 0.
	Rate float64
	// Poisson draws exponential gaps; otherwise all gaps are equal.
	Poisson bool
	// Weights holds each kind's share of the arrivals; their sum is over 0.
	Weights []float64
}

// Arrival is one intended request.
type Arrival struct {
	// Offset is the intended send time, counted from the start of the run.
	Offset time.Duration
	// Sequence counts the arrivals of the run from 0.
	Sequence uint64
	// Segment and Kind are indices into the segments and their weights.
	Segment int
	Kind    int
	// Seed decides what the request carries.
	Seed uint64
}

// Schedule yields the arrivals of all segments in order of time; the same seed gives the same arrivals.
type Schedule struct {
	segments []Segment
	random   *rand.Rand
	segment  int
	// start is the offset of the current segment, at the next arrival within it.
	start    time.Duration
	at       time.Duration
	sequence uint64
}

// streamSalt keeps the schedule's draws apart from those of other users of the seed.
const streamSalt = 0x9e3779b97f4a7c15

// NewSchedule returns the schedule of the segments.
func NewSchedule(seed uint64, segments []Segment) *Schedule {
	s := &Schedule{segments: segments, random: rand.New(rand.NewPCG(seed, streamSalt))}
	if len(segments) > 0 {
		s.at = s.gap()
	}
	return s
}

// Next returns the next arrival, or false after the last.
func (s *Schedule) Next() (Arrival, bool) {
	for s.segment < len(s.segments) {
		current := &s.segments[s.segment]
		if s.at < current.Duration {
			a := s.arrival(s.start+s.at, s.segment)
			s.at += s.gap()
			return a, true
		}
		s.start += current.Duration
		s.segment++
		if s.segment < len(s.segments) {
			s.at = s.gap()
		}
	}
	return Arrival{}, false
}

// Draw returns an arrival of the segment at the offset, for senders that keep their own time.
func (s *Schedule) Draw(offset time.Duration, segment int) Arrival {
	return s.arrival(offset, segment)
}

// arrival draws kind and seed and counts the arrival.
func (s *Schedule) arrival(offset time.Duration, segment int) Arrival {
	a := Arrival{
		Offset:   offset,
		Sequence: s.sequence,
		Segment:  segment,
		Kind:     s.kind(s.segments[segment].Weights),
		Seed:     s.random.Uint64(),
	}
	s.sequence++
	return a
}

// gap draws the time to the next arrival.
func (s *Schedule) gap() time.Duration {
	current := &s.segments[s.segment]
	mean := float64(time.Second) / current.Rate
	if current.Poisson {
		return time.Duration(s.random.ExpFloat64() * mean)
	}
	return time.Duration(mean)
}

// kind draws an index by weight.
func (s *Schedule) kind(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	left := s.random.Float64() * total
	last := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if left < w {
			return i
		}
		left -= w
		last = i
	}
	return last
}
