package hosted_test

import (
	"sync"
	"time"
)

const (
	// stallInterval is the time between two checks whether this process is run.
	stallInterval = 20 * time.Millisecond
	// minStall is the delay of such a check from which on the machine counts as stalled.
	minStall = 500 * time.Millisecond
)

// stalls records when the machine did not run this process. It did not run the ingresses either, then, and
// the timeouts of their requests passed all the same.
type stalls struct {
	lock   sync.Mutex
	ranges []timeRange
	stop   chan struct{}
	ended  sync.WaitGroup
}

type timeRange struct{ from, to time.Time }

func newStalls() *stalls {
	s := &stalls{stop: make(chan struct{})}
	s.ended.Add(1)
	go s.run()
	return s
}

func (s *stalls) run() {
	defer s.ended.Done()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(stallInterval):
		}
		now := time.Now()
		if now.Sub(last) >= minStall+stallInterval {
			s.lock.Lock()
			s.ranges = append(s.ranges, timeRange{from: last, to: now})
			s.lock.Unlock()
		}
		last = now
	}
}

// end stops the checks.
func (s *stalls) end() {
	close(s.stop)
	s.ended.Wait()
}

// overlaps reports whether the machine stalled during a time.
func (s *stalls) overlaps(r timeRange) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, stall := range s.ranges {
		if r.from.Before(stall.to) && stall.from.Before(r.to) {
			return true
		}
	}
	return false
}
