package link

import (
	"time"

	"verbenaroad.example/share/modules/uptime"
	"verbenaroad.example/share/modules/wire"
)

// delaySmoothingShift gives each new sample of the delay a weight of 1/8 (1 >> 3) in the average.
const delaySmoothingShift = 3

// loopHeartbeat sends heartbeats, and ends the session if nothing arrives from the peer for the
// silence timeout. It also trims the idle streams.
func (s *Session) loopHeartbeat() {
	ticker := time.NewTicker(s.options.HeartbeatInterval)
	defer ticker.Stop()
	sequence := uint64(0)
	for {
		if s.Silence() > s.options.SilenceTimeout {
			s.end(ErrLink.New("silent for %v", s.Silence().Round(time.Millisecond)))
			return
		}
		sequence++
		s.trimIdle()
		if err := s.sendHeartbeat(sequence); err != nil {
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

func (s *Session) sendHeartbeat(sequence uint64) error {
	// The echo is read first: what the heartbeat states is then no older than the receiver computes from it.
	echo, hold := s.GetEcho()
	beat := s.options.NewHeartbeat()
	beat.Sequence, beat.Echo, beat.EchoHoldNanos = sequence, echo, int64(hold)
	s.sentLock.Lock()
	s.sentAt[sequence%uint64(len(s.sentAt))] = time.Now()
	s.sentUptime[sequence%uint64(len(s.sentUptime))] = uptime.Now()
	s.lastSequence = sequence
	s.sentLock.Unlock()
	return wire.WriteFrame(s.control, &wire.Frame{Body: &wire.Frame_Beat{Beat: beat}})
}

// loopRead reads the control stream and handles the peer's heartbeats. It ends the session if a
// read fails.
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
		s.handleHeartbeat(beat)
	}
}

func (s *Session) handleHeartbeat(beat *wire.Beat) {
	now := int64(time.Since(s.started))
	s.receivedAt.Store(now)
	s.peerSequence.Store(beat.GetSequence())
	sent := s.findSendTime(beat.GetEcho())
	notBefore := time.Time{}
	if !sent.IsZero() {
		s.updateDelay(beat, sent)
		notBefore = sent.Add(time.Duration(beat.GetEchoHoldNanos()))
	}
	if s.options.OnHeartbeat != nil {
		s.options.OnHeartbeat(s, beat, notBefore)
	}
}

// GetEcho returns the sequence of the last heartbeat from the peer and the time since it arrived;
// zeros before the first one. From both values in a message, the peer computes the earliest time at
// which the message can have been written.
func (s *Session) GetEcho() (sequence uint64, hold time.Duration) {
	sequence = s.peerSequence.Load()
	if sequence == 0 {
		return 0, 0
	}
	return sequence, time.Since(s.started) - time.Duration(s.receivedAt.Load())
}

// NotBefore returns the earliest local time at which a message with this echo can have been
// written. It is zero if the send time of the echoed heartbeat is not known.
func (s *Session) NotBefore(echo uint64, hold time.Duration) time.Time {
	sent := s.findSendTime(echo)
	if sent.IsZero() {
		return sent
	}
	return sent.Add(hold)
}

// EarliestWrite returns the earliest time, as uptime.Now tells it, of what the peer states in a heartbeat. It is zero if the heartbeat echoes none of this end whose send time is still known.
func (s *Session) EarliestWrite(beat *wire.Beat) time.Time {
	s.sentLock.Lock()
	defer s.sentLock.Unlock()
	if !s.isSendTimeKnown(beat.GetEcho()) {
		return time.Time{}
	}
	return s.sentUptime[beat.GetEcho()%uint64(len(s.sentUptime))].Add(max(time.Duration(beat.GetEchoHoldNanos()), 0))
}

// isSendTimeKnown reports whether the send time of the heartbeat with this sequence is known. The caller holds the
// lock.
func (s *Session) isSendTimeKnown(sequence uint64) bool {
	return sequence != 0 && sequence <= s.lastSequence && s.lastSequence-sequence < uint64(len(s.sentAt))
}

// findSendTime returns the time at which the heartbeat with this sequence was sent. It is zero if
// there is no such heartbeat or it is older than the ones in sentAt.
func (s *Session) findSendTime(sequence uint64) time.Time {
	s.sentLock.Lock()
	defer s.sentLock.Unlock()
	if !s.isSendTimeKnown(sequence) {
		return time.Time{}
	}
	return s.sentAt[sequence%uint64(len(s.sentAt))]
}

func (s *Session) updateDelay(beat *wire.Beat, sent time.Time) {
	oneWay := (int64(time.Since(sent)) - beat.GetEchoHoldNanos()) / 2
	if oneWay < 0 {
		return
	}
	old := s.delay.Load()
	if old == 0 {
		s.delay.Store(oneWay)
		return
	}
	s.delay.Store(old + (oneWay-old)>>delaySmoothingShift)
}
