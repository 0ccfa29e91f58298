package route

import "time"

const (
	// resultHalfLife is the age at which a result counts half in the share of faults.
	resultHalfLife = 10 * time.Second
	// minResults is the total weight of recent results below which the share of faults does not eject.
	minResults = 10
	// maxDoublings keeps the shift in ejectionTime from overflowing; MaxEjectionTime takes effect at
	// far fewer doublings.
	maxDoublings = 20
)

// health tracks an agent's recent results and its ejections.
type health struct {
	consecutiveFaults int
	// successes and faults are the weights of past results as of decayedAt.
	successes float64
	faults    float64
	decayedAt time.Time
	// ejections counts the agent's ejections, less those that reduceEjections took back.
	ejections int
	// ejectedUntil is the end of the last ejection, or the time of the last reduction if that is
	// later.
	ejectedUntil time.Time
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// record counts a result and reports whether the agent should be ejected.
func (h *health) record(now time.Time, fault bool, s *Settings) bool {
	weight := decay(now.Sub(h.decayedAt), resultHalfLife)
	h.decayedAt = now
	h.successes *= weight
	h.faults *= weight
	if !fault {
		h.successes++
		h.consecutiveFaults = 0
		h.reduceEjections(now, s)
		return false
	}
	h.faults++
	h.consecutiveFaults++
	total := h.successes + h.faults
	return h.consecutiveFaults >= s.EjectConsecutiveFaults || total >= minResults && h.faults >= s.EjectFaultRate*total
}

// reduceEjections takes back one ejection on a success, once the agent has been in service for as
// long as that ejection lasted.
func (h *health) reduceEjections(now time.Time, s *Settings) {
	if h.ejections == 0 || now.Sub(h.ejectedUntil) < ejectionTime(h.ejections, s) {
		return
	}
	h.ejections--
	h.ejectedUntil = now
}

// eject ejects the agent, each time for twice as long, up to MaxEjectionTime.
func (h *health) eject(now time.Time, s *Settings) {
	h.ejections = min(h.ejections+1, maxDoublings)
	h.ejectedUntil = now.Add(ejectionTime(h.ejections, s))
	h.consecutiveFaults = 0
	h.successes = 0
	h.faults = 0
}

func ejectionTime(count int, s *Settings) time.Duration {
	return min(s.BaseEjectionTime<<(count-1), s.MaxEjectionTime)
}
