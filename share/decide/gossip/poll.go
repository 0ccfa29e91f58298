package gossip

import (
	"math"
	"time"
)

func (s *State) handleReadFailed(e ReadFailed, now time.Time) []Action {
	if !s.polling || e.RequestedAt.Before(s.polledAt) {
		return nil // the late failure of a read that timed out or was sent before a freeze
	}
	s.polling = false
	s.readFailures++
	if s.failingSince.IsZero() {
		s.failingSince = e.RequestedAt
	}
	s.nextPoll = now.Add(s.backoff())
	return nil
}

func (s *State) backoff() time.Duration {
	wait := s.settings.RetryBackoff << min(s.readFailures, 16)
	limit := s.settings.PollPeriod
	if s.watching {
		limit = s.settings.ConfirmationTTL
	}
	return min(wait, limit)
}

func (s *State) handleTick(e Tick, now time.Time) []Action {
	if s.hasBeenFrozen(now) {
		// A request that was in flight during the freeze shows nothing about the time since.
		s.failingSince = time.Time{}
		s.peerReported = false
		s.polling = false
		s.nextPoll = now
	}
	s.lastTick = now
	if s.fetching && now.Sub(s.fetchProgressAt) > s.fetchTimeout() {
		s.failFetch(now)
	}
	if s.polling && now.Sub(s.polledAt) > s.settings.ReadTimeout {
		s.handleReadFailed(ReadFailed{RequestedAt: s.polledAt}, now)
	}
	return append(s.fetch(now), s.poll(e, now)...)
}

// poll requests a read of the head if one is due and none is in flight.
func (s *State) poll(e Tick, now time.Time) []Action {
	if s.polling || !s.isPollDue(now) {
		return nil
	}
	s.polling = true
	s.polledAt = now
	period := s.settings.PollPeriod
	if s.watching {
		period = s.settings.WatcherPollPeriod
	}
	// The next read follows after 0.5 to 1.5 periods, so that processes that started together do
	// not keep polling together.
	s.nextPoll = now.Add(time.Duration(math.Round(float64(period) * (0.5 + e.Random))))
	return []Action{PollStore{}}
}

// isPollDue reports whether the head must be read now. If the confirmation has expired or is about
// to, and no higher revision is known, it does not wait for nextPoll, because the process would
// otherwise stop deciding for lack of a confirmation. The gap between such early reads limits the
// load that unconfirmed processes put on a store that is down, slow or empty.
func (s *State) isPollDue(now time.Time) bool {
	if s.polledAt.IsZero() || !now.Before(s.nextPoll) {
		return true
	}
	if s.isFresh(now) || s.highestKnown > s.Revision() {
		return false
	}
	gap := s.settings.WatcherPollPeriod
	if s.readFailures > 0 || s.inForce == nil || !s.failingSince.IsZero() {
		gap = s.settings.ConfirmationTTL
	}
	return now.Sub(s.polledAt) >= gap
}
