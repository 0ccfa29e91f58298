package route

import (
	"math"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/member"
)

// minSlowShare is the share of its slots with which an agent starts.
const minSlowShare = 0.1

// Session is the state of the session to an agent.
type Session string

// The states of a session.
const (
	SessionDown Session = "down"
	SessionUp   Session = "up"
	// SessionSilent is open, but nothing came over it for longer than heartbeats allow.
	SessionSilent Session = "silent"
)

// Load is an agent's report on its queue and backend server.
type Load struct {
	Running int
	Queued  int
	// Slots is the number of calls that the backend server takes at once.
	Slots int
	// Wait is the agent's own estimate of a new call's queue delay.
	Wait time.Duration
	// Service is the smoothed service time; 0: not known.
	Service time.Duration
}

// agent is what the entry knows of one agent.
type agent struct {
	instance member.Instance
	server   match.Server
	rank     int
	// listed is false once the list no longer names it.
	listed bool
	// leaving is set by the agent's own word and cleared only by a new incarnation.
	leaving     bool
	incarnation string
	session     Session
	// outstanding counts calls sent and not ended; never negative.
	outstanding int
	report      Load
	reportAt    time.Time
	// others is the part of the report that was not this entry's work.
	others    int
	slowSince time.Time
	health    health
	// hitRate smooths how much of the cached tokens expected here was reported as cached.
	hitRate float64
}

// state says why an agent may or may not be chosen; empty: it may.
func (a *agent) state(now time.Time) Reason {
	switch {
	case a.leaving || a.instance.Leaving:
		return ReasonLeaving
	case a.health.ejected(now):
		return ReasonEjected
	case a.session != SessionUp:
		return ReasonNoSession
	default:
		return ReasonNone
	}
}

// mayReturn is true for an agent that says that it leaves while the list does not.
//
// Guards against agents that are restarted under their names and never used
// again: only the hello of a session shows the new incarnation, so the session
// is kept and dialled again until it does. No work goes to it meanwhile.
func (a *agent) mayReturn() bool {
	return a.leaving && a.listed && !a.instance.Leaving
}

func (a *agent) setReport(now time.Time, l Load) {
	a.report = l
	a.reportAt = now
	a.others = max(0, l.Running+l.Queued-a.outstanding)
}

// trust falls from 1 to 0 with the age of the report.
func (a *agent) trust(now time.Time, halfLife time.Duration) float64 {
	if a.reportAt.IsZero() {
		return 0
	}
	return halved(now.Sub(a.reportAt), halfLife)
}

// service is the predicted service time.
func (a *agent) service(s *Settings) time.Duration {
	if a.report.Service > 0 {
		return a.report.Service
	}
	return s.ServiceGuess
}

// wait predicts the queue delay of a new call when only share of the slots may be used:
// the own outstanding calls are known, the others' fade with the age of the report.
func (a *agent) wait(now time.Time, s *Settings, share float64) time.Duration {
	trust := a.trust(now, s.ReportHalfLife)
	ahead := float64(a.outstanding) + trust*float64(a.others)
	slots := float64(max(a.report.Slots, 1)) * share
	service := float64(a.service(s))
	counted := service * max(0, ahead+1-slots) / slots
	if a.report.Queued > 0 {
		counted = max(counted, trust*float64(a.report.Wait))
	}
	return time.Duration(counted)
}

// slowShare grows to 1 over the time of slow start.
func (a *agent) slowShare(now time.Time, s *Settings) float64 {
	if a.slowSince.IsZero() || s.SlowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(a.slowSince)) / float64(s.SlowStart)
	return min(1, max(minSlowShare, share))
}

// halved returns 2 to the power of -age/halfLife.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
