package place

import "time"

// MarkSent records that the request is sent to its engine, which may be long after its placement.
func (e *Engines) MarkSent(now time.Time, id uint64) {
	r := e.reservations[id]
	if r == nil || r.sent {
		return
	}
	r.sent = true
	r.engine.arrivals.MarkSent(now)
	e.limiter.MarkSent(&r.engine.Server)
	e.releaseStages(r)
	r.sentAt = now
	r.engine.sentPrefill += r.prefill
	r.predictedWait = seconds(r.engine.slowdownAt(now) * r.engine.sentPrefill / prefillRate)
}

// MarkAnswering records that the answer has begun, which means that the prompt is prefilled. Pace is
// the engine's statement in the answer; 0: none.
func (e *Engines) MarkAnswering(now time.Time, id uint64, pace float64) {
	r := e.reservations[id]
	if r == nil || r.prefillDone {
		return
	}
	r.engine.pace.Observe(now, pace)
	r.finishPrefill()
	r.observeSlowdown(now)
	r.markPartsPrefilled(now)
}

// markPartsPrefilled records that the engine has prefilled the parts of the prompt.
func (r *reservation) markPartsPrefilled(now time.Time) {
	for _, p := range r.parts {
		r.engine.parts[p.ID] = cachedPart{lastUsed: now, prefilled: true}
	}
}

// removeUnsentParts removes the parts of a request that was not sent, except those that the engine
// has prefilled or that a later request uses.
//
// Guards against requests being placed at an engine because of parts that it never prefilled.
func (r *reservation) removeUnsentParts() {
	for _, p := range r.parts {
		if part := r.engine.parts[p.ID]; !part.prefilled && !part.lastUsed.After(r.placedAt) {
			delete(r.engine.parts, p.ID)
		}
	}
}

// observeSlowdown updates the slowdown of the engine when an answer begins.
func (r *reservation) observeSlowdown(now time.Time) {
	if r.predictedWait < minSlowdownSample {
		return
	}
	c := r.engine
	ratio := c.slowdown * float64(now.Sub(r.sentAt)) / float64(r.predictedWait)
	c.slowdown += slowdownAlpha * (min(max(ratio, minSlowdown), maxSlowdown) - c.slowdown)
}

// observeStall updates the slowdown of the engine when a caller abandons a request. If the
// request has waited long for its answer to begin, the engine counts as stalled, and its slowdown
// moves towards maxSlowdown.
//
// Guards against an engine that hangs while its connections stay open. No connection breaks, so
// each request waits until its caller abandons it, and the engine, which appears to be almost
// idle, attracts the next request.
func (r *reservation) observeStall(now time.Time) {
	if !r.sent || r.prefillDone {
		return
	}
	waited := now.Sub(r.sentAt)
	if waited < stallMinWait || waited < stallMinRatio*r.predictedWait {
		return
	}
	r.engine.slowdown += stallAlpha * (maxSlowdown - r.engine.slowdown)
}

const (
	// An engine counts as stalled if an abandoned request has waited for its first event for at
	// least stallMinWait and at least stallMinRatio times the predicted wait.
	stallMinWait  = 700 * time.Millisecond
	stallMinRatio = 3
	// stallAlpha is the weight of a stall in an engine's smoothed slowdown.
	stallAlpha = 0.4
)

// releaseStages stops counting the request as waiting for stage results.
func (e *Engines) releaseStages(r *reservation) {
	if r.staged {
		r.staged = false
		e.staged[r.engine.Domain]--
	}
}

// finishPrefill removes the request from the engine's pending prefill work.
func (r *reservation) finishPrefill() {
	if r.prefillDone {
		return
	}
	r.prefillDone = true
	r.engine.pendingPrefill = max(r.engine.pendingPrefill-r.prefill, 0)
	if r.sent {
		r.engine.sentPrefill = max(r.engine.sentPrefill-r.prefill, 0)
	}
}

// End records the result of a request and releases its reservation.
func (e *Engines) End(now time.Time, id uint64, result Result) {
	r := e.reservations[id]
	if r == nil {
		return
	}
	delete(e.reservations, id)
	e.releaseStages(r)
	c := r.engine
	if result == ResultCanceled {
		r.observeStall(now)
	}
	if !r.sent {
		c.arrivals.Cancel()
		e.limiter.Cancel(now, &c.Server)
		r.removeUnsentParts()
	}
	c.reservations--
	c.memoryTokens -= r.memoryTokens
	r.finishPrefill()
	switch result {
	case ResultServed:
		c.connFailures = 0
		c.backoffUntil = time.Time{}
		c.failures.record(now, false)
	case ResultFailed:
		c.failures.record(now, true)
	case ResultBroken, ResultUnreachable:
		c.failures.record(now, true)
		c.backoffUntil = now.Add(min(initialBackoff<<min(c.connFailures, 4), maxBackoff))
		c.connFailures++
	case ResultRefused:
		c.backoffUntil = now.Add(initialBackoff)
	case ResultCanceled:
	}
}
