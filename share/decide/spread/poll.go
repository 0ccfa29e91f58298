package spread

import (
	"math"
	"time"
)

func (s *State) handleReadFailed(e ReadFailed, now time.Time) []Action {
	if !s.polling || e.AskedAt.Before(s.polledAt) {
		return nil // the failure of a read that was given up on, maybe from before a pause
	}
	s.polling = false
	s.failures++
	if s.failedAt.IsZero() {
		s.failedAt = e.AskedAt
	}
	s.nextPoll = now.Add(s.backoff())
	return nil
}

func (s *State) backoff() time.Duration {
	wait := s.settings.Retry << min(s.failures, 16)
	limit := s.settings.SlowPoll
	if s.watching {
		limit = s.settings.GoodFor
	}
	return min(wait, limit)
}

func (s *State) handleTick(e Tick, now time.Time) []Action {
	if s.isPaused(now) {
		// What was in flight before a pause tells nothing of the time since.
		s.failedAt = time.Time{}
		s.peersHeard = false
		s.polling = false
		s.nextPoll = now
	}
	s.lastTick = now
	if s.fetching && now.Sub(s.fetchAt) > s.fetchTimeout() {
		s.dropFetch(now)
	}
	if s.polling && now.Sub(s.polledAt) > s.settings.ReadTimeout {
		s.handleReadFailed(ReadFailed{AskedAt: s.polledAt}, now)
	}
	return append(s.fetch(now), s.poll(e, now)...)
}

// poll reads the head when its time has come.
func (s *State) poll(e Tick, now time.Time) []Action {
	if s.polling || !s.isPollDue(now) {
		return nil
	}
	s.polling = true
	s.polledAt = now
	period := s.settings.SlowPoll
	if s.watching {
		period = s.settings.WatchPoll
	}
	// Jitter of a half to one and a half periods keeps a fleet that started at once from polling at once.
	s.nextPoll = now.Add(time.Duration(math.Round(float64(period) * (0.5 + e.Random))))
	return []Action{PollStore{}}
}

// isPollDue is true early where the process would otherwise stop deciding for
// want of a confirmation. The gap bounds what a fleet without confirmation
// asks of a service that is down, slow or empty.
func (s *State) isPollDue(now time.Time) bool {
	if s.polledAt.IsZero() || !now.Before(s.nextPoll) {
		return true
	}
	if s.isFresh(now) || s.known > s.Revision() {
		return false
	}
	gap := s.settings.WatchPoll
	if s.failures > 0 || s.inForce == nil || !s.failedAt.IsZero() {
		gap = s.settings.GoodFor
	}
	return now.Sub(s.polledAt) >= gap
}
