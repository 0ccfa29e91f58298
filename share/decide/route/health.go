package route

import "time"

const (
	// faultHalfLife halves the weight of past results in the share of faults.
	faultHalfLife = 10 * time.Second
	// minResults is the weight of results needed before the share of faults counts.
	minResults = 10
	// maxDoublings keeps the shift of the ejection time in range; EjectMax bounds it far earlier.
	maxDoublings = 20
)

// health holds an agent's recent faults and its ejections.
type health struct {
	row     int
	good    float64
	bad     float64
	faultAt time.Time
	// ejections counts the ones not yet made good by as long a time in service.
	ejections    int
	ejectedUntil time.Time
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// add counts a result and reports whether it calls for an ejection.
func (h *health) add(now time.Time, fault bool, s *Settings) bool {
	fade := halved(now.Sub(h.faultAt), faultHalfLife)
	h.faultAt = now
	h.good *= fade
	h.bad *= fade
	if !fault {
		h.good++
		h.row = 0
		h.forgive(now, s)
		return false
	}
	h.bad++
	h.row++
	total := h.good + h.bad
	return h.row >= s.EjectFaults || total >= minResults && h.bad >= s.EjectRate*total
}

// forgive takes one ejection back once the agent served as long as that ejection lasted.
func (h *health) forgive(now time.Time, s *Settings) {
	if h.ejections == 0 || now.Sub(h.ejectedUntil) < ejection(h.ejections, s) {
		return
	}
	h.ejections--
	h.ejectedUntil = now
}

// eject takes the agent out, each time for twice as long.
func (h *health) eject(now time.Time, s *Settings) {
	h.ejections = min(h.ejections+1, maxDoublings)
	h.ejectedUntil = now.Add(ejection(h.ejections, s))
	h.row = 0
	h.good = 0
	h.bad = 0
}

func ejection(count int, s *Settings) time.Duration {
	return min(s.EjectBase<<(count-1), s.EjectMax)
}
