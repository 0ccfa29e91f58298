package link

import (
	"time"

	"verbenaroad.example/share/modules/wire"
)

// delayShift smooths the measured delay: a new sample counts one eighth.
const delayShift = 3

// loopBeat sends heartbeats and ends the session when the peer falls silent.
func (s *Session) loopBeat() {
	ticker := time.NewTicker(s.options.BeatEvery)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		if s.Silence() > s.options.SilentAfter {
			s.end(ErrLink.New("silent for %v", s.Silence().Round(time.Millisecond)))
			return
		}
		sequence++
		s.trimIdle()
		if err := s.sendBeat(sequence); err != nil {
			s.end(err)
			return
		}
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		}
	}
}

func (s *Session) sendBeat(sequence uint64) error {
	beat := s.options.Beat()
	beat.Sequence = sequence
	beat.Echo = s.peerSequence.Load()
	if beat.Echo != 0 {
		beat.EchoHoldNanos = int64(time.Since(s.started)) - s.heardAt.Load()
	}
	s.sentLock.Lock()
	s.sentAt[sequence%uint64(len(s.sentAt))] = time.Now()
	s.lastSequence = sequence
	s.sentLock.Unlock()
	return wire.WriteFrame(s.control, &wire.Frame{Body: &wire.Frame_Beat{Beat: beat}})
}

// loopRead takes the peer's heartbeats.
func (s *Session) loopRead() {
	for {
		frame, err := s.reader.Next()
		if err != nil {
			s.end(ErrLink.Wrap(err))
			return
		}
		beat := frame.GetBeat()
		if beat == nil {
			continue
		}
		s.takeBeat(beat)
	}
}

func (s *Session) takeBeat(beat *wire.Beat) {
	now := int64(time.Since(s.started))
	s.heardAt.Store(now)
	s.peerSequence.Store(beat.GetSequence())
	sent := s.findSent(beat.GetEcho())
	notBefore := time.Time{}
	if !sent.IsZero() {
		s.measureDelay(beat, sent)
		notBefore = sent.Add(time.Duration(beat.GetEchoHoldNanos()))
	}
	if s.options.OnBeat != nil {
		s.options.OnBeat(s, beat, notBefore)
	}
}

// GetEcho returns the peer's last heartbeat and how long it has been held
// here. A message that carries both lets the peer tell when it can have been written.
func (s *Session) GetEcho() (sequence uint64, hold time.Duration) {
	sequence = s.peerSequence.Load()
	if sequence == 0 {
		return 0, 0
	}
	return sequence, time.Since(s.started) - time.Duration(s.heardAt.Load())
}

// NotBefore returns the earliest local time at which a message with this echo
// can have been written; zero when the echo tells nothing.
func (s *Session) NotBefore(echo uint64, hold time.Duration) time.Time {
	sent := s.findSent(echo)
	if sent.IsZero() {
		return sent
	}
	return sent.Add(hold)
}

// findSent returns when the heartbeat of the sequence was sent, zero when it is not remembered any more.
func (s *Session) findSent(sequence uint64) time.Time {
	s.sentLock.Lock()
	defer s.sentLock.Unlock()
	if sequence == 0 || sequence > s.lastSequence || s.lastSequence-sequence >= uint64(len(s.sentAt)) {
		return time.Time{}
	}
	return s.sentAt[sequence%uint64(len(s.sentAt))]
}

func (s *Session) measureDelay(beat *wire.Beat, sent time.Time) {
	oneWay := (int64(time.Since(sent)) - beat.GetEchoHoldNanos()) / 2
	if oneWay < 0 {
		return
	}
	old := s.delay.Load()
	if old == 0 {
		s.delay.Store(oneWay)
		return
	}
	s.delay.Store(old + (oneWay-old)>>delayShift)
}
