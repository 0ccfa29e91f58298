package spread

import "time"

// Use says whether decisions may be made under the configuration in force.
type Use string

// The uses.
const (
	// UseNone means that the process has no configuration yet.
	UseNone Use = "none"
	// UseServing means that the configuration is confirmed, or that its age is allowed.
	UseServing Use = "serving"
	// UseConfirm means that the process must confirm before it decides; it does so at once.
	UseConfirm Use = "confirm-first"
	// UseRefuse means that it is cut off for longer than stale-after.
	UseRefuse Use = "refuse"
)

// Usable says whether decisions may be made now under the configuration in force.
func (s *State) Usable(now time.Time) Use {
	if s.inForce == nil {
		return UseNone
	}
	if s.isConfirmed(now) {
		return UseServing
	}
	if !s.hasTriedToConfirm(now) {
		return UseConfirm
	}
	stale := s.inForce.Snapshot.GetLimits().StaleAfter.Value()
	if stale > 0 && (s.confirmed.IsZero() || now.Sub(s.confirmed) > stale) {
		return UseRefuse
	}
	return UseServing
}

// isConfirmed is false while a higher revision is known: the one in force is
// then surely out of date.
func (s *State) isConfirmed(now time.Time) bool {
	return !s.confirmed.IsZero() && now.Sub(s.confirmed) <= s.settings.GoodFor && s.known <= s.Revision()
}

// isFresh is true until shortly before the confirmation ends, so that a read
// can renew it without a moment in which no decision may be made.
func (s *State) isFresh(now time.Time) bool {
	return s.isConfirmed(now) && now.Sub(s.confirmed) < s.settings.GoodFor*renewAt/100
}

// hasTriedToConfirm guards against a process that was frozen: on waking it
// would decide under a rule that was replaced meanwhile. It shows as a gap
// between ticks, or as a confirmation that is too old with no failed read
// after it. The process goes on without confirmation only when a read sent
// since the gap has failed and its peers had the time to speak up.
func (s *State) hasTriedToConfirm(now time.Time) bool {
	if s.isPaused(now) || s.failedAt.IsZero() {
		return false
	}
	return s.peersHeard || now.Sub(s.failedAt) >= s.settings.PeerWait
}

func (s *State) isPaused(now time.Time) bool {
	return s.lastTick.IsZero() || now.Sub(s.lastTick) > s.settings.Pause
}
