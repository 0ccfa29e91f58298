package gossip

import "time"

// Status is whether a process may decide under its configuration in force.
type Status string

// The statuses.
const (
	// StatusNone means that the process has no configuration yet.
	StatusNone Status = "none"
	// StatusServing means that the configuration is confirmed, or that stale-after allows the
	// process to serve without a valid confirmation.
	StatusServing Status = "serving"
	// StatusUnconfirmed means that the process must not decide yet: it first has to obtain a
	// confirmation, or to fail to obtain one from the store and from its peers.
	StatusUnconfirmed Status = "confirm-first"
	// StatusStale means that the store and the peers have confirmed nothing for longer than
	// stale-after, so that the process must refuse requests.
	StatusStale Status = "refuse"
)

// Status returns whether the process may decide now under the configuration in force.
func (s *State) Status(now time.Time) Status {
	if s.inForce == nil {
		return StatusNone
	}
	if s.isConfirmed(now) {
		return StatusServing
	}
	if !s.hasTriedToConfirm(now) {
		return StatusUnconfirmed
	}
	stale := s.inForce.Snapshot.GetLimits().StaleAfter.Value()
	if stale > 0 && (s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > stale) {
		return StatusStale
	}
	return StatusServing
}

// isConfirmed reports whether the confirmation is valid. It is not while a higher revision is
// known, because the one in force is then certainly outdated.
func (s *State) isConfirmed(now time.Time) bool {
	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) <= s.settings.ConfirmationTTL && s.highestKnown <= s.Revision()
}

// isFresh reports whether the confirmation need not be renewed yet. It turns false before the
// confirmation expires, so that a read can renew it without an interval in which the process must
// not decide.
func (s *State) isFresh(now time.Time) bool {
	return s.isConfirmed(now) && now.Sub(s.confirmedAt) < s.settings.ConfirmationTTL*renewalPercent/100
}

// hasTriedToConfirm reports whether the process may continue without a confirmation: a read sent
// after the last freeze has failed or returned a head below the revision in force, and either a
// peer has reported since or PeerReportWait has passed. Without this check a process that was
// frozen would decide under a rule that was replaced in the meantime. A freeze shows as a gap
// between ticks, or as an expired confirmation without a failed read after it.
func (s *State) hasTriedToConfirm(now time.Time) bool {
	if s.hasBeenFrozen(now) || s.failingSince.IsZero() {
		return false
	}
	return s.peerReported || now.Sub(s.failingSince) >= s.settings.PeerReportWait
}

// hasBeenFrozen reports whether the last tick is longer ago than FreezeThreshold, or there was
// none.
func (s *State) hasBeenFrozen(now time.Time) bool {
	return s.lastTick.IsZero() || now.Sub(s.lastTick) > s.settings.FreezeThreshold
}
