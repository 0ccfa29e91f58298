package place

import "time"

// Start notes that the request is sent to the engine, which may be long after it was placed.
func (e *Engines) Start(now time.Time, id uint64) {
	s := e.open[id]
	if s == nil || s.sent {
		return
	}
	s.sent = true
	s.engine.arriving.MarkSent(now)
	e.endStages(s)
	s.started = now
	s.engine.sent += s.reading
	s.predicted = seconds(s.engine.pace * s.engine.sent / readRate)
}

// Begin notes that the answer has begun: the prompt is read.
func (e *Engines) Begin(now time.Time, id uint64) {
	s := e.open[id]
	if s == nil || s.begun {
		return
	}
	s.stopReading()
	s.learnPace(now)
	s.noteRead(now)
}

// noteRead notes that the engine holds the prompt's parts.
func (s *seat) noteRead(now time.Time) {
	for _, p := range s.parts {
		s.engine.parts[p.ID] = holding{used: now, read: true}
	}
}

// forgetUnread drops the parts of a request that never came to its engine.
//
// Guards against prompts that are sent to an engine for parts that it never read.
func (s *seat) forgetUnread() {
	for _, p := range s.parts {
		if h := s.engine.parts[p.ID]; !h.read && !h.used.After(s.placed) {
			delete(s.engine.parts, p.ID)
		}
	}
}

func (s *seat) learnPace(now time.Time) {
	if s.predicted < minPaceSample {
		return
	}
	c := s.engine
	ratio := c.pace * float64(now.Sub(s.started)) / float64(s.predicted)
	c.pace += paceShare * (min(max(ratio, minPace), maxPace) - c.pace)
}

// learnSilence takes a request that its caller gave up on before the answer began
// for a slow answer.
//
// Guards against an engine that hangs while its connections stay up: nothing
// breaks there, so each request waits until its caller leaves, and the engine,
// which seems to have little to do, draws the next one.
func (s *seat) learnSilence(now time.Time) {
	if !s.sent || s.begun {
		return
	}
	waited := now.Sub(s.started)
	if waited < silenceTime || waited < silenceRatio*s.predicted {
		return
	}
	s.engine.pace += silenceShare * (maxPace - s.engine.pace)
}

const (
	// silenceTime and silenceRatio are how long a request has waited for its first event,
	// in all and against what was predicted, for its engine to count as silent.
	silenceTime  = 700 * time.Millisecond
	silenceRatio = 3
	// silenceShare is the weight of a silence in an engine's pace.
	silenceShare = 0.4
)

func (e *Engines) endStages(s *seat) {
	if s.staged {
		s.staged = false
		e.staged[s.engine.Domain]--
	}
}

func (s *seat) stopReading() {
	if s.begun {
		return
	}
	s.begun = true
	s.engine.reading = max(s.engine.reading-s.reading, 0)
	if s.sent {
		s.engine.sent = max(s.engine.sent-s.reading, 0)
	}
}

// End notes how a request ended.
func (e *Engines) End(now time.Time, id uint64, result Result) {
	s := e.open[id]
	if s == nil {
		return
	}
	delete(e.open, id)
	e.endStages(s)
	c := s.engine
	if result == ResultLeft {
		s.learnSilence(now)
	}
	if !s.sent {
		c.arriving.Cancel()
		s.forgetUnread()
	}
	c.streams--
	c.memory -= s.memory
	s.stopReading()
	switch result {
	case ResultServed:
		c.misses = 0
		c.pausedUntil = time.Time{}
		c.failed -= failureShare * c.failed
	case ResultFailed:
		c.failed += failureShare * (1 - c.failed)
	case ResultBroken, ResultUnreached:
		c.failed += failureShare * (1 - c.failed)
		c.pausedUntil = now.Add(min(firstPause<<min(c.misses, 4), maxPause))
		c.misses++
	case ResultRefused:
		c.pausedUntil = now.Add(firstPause)
	case ResultLeft:
	}
}
