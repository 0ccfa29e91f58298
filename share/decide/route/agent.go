package route

import (
	"math"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/member"
)

// minSlowStartShare is the share of its slots that an agent has at the beginning of its slow start.
const minSlowStartShare = 0.1

// Session is the state of the session to an agent.
type Session string

// The states of a session.
const (
	SessionDown Session = "down"
	SessionUp   Session = "up"
	// SessionSilent means that the session is open, but nothing was received for longer than the
	// heartbeat timeout.
	SessionSilent Session = "silent"
)

// Load is an agent's report of the load on its queue and its backend server.
type Load struct {
	Running int
	Queued  int
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// Wait is the agent's own estimate of a new call's queue delay.
	Wait time.Duration
	// ServiceTime is the smoothed service time of a call; 0 means unknown.
	ServiceTime time.Duration
}

// agent is the entry's view of one agent.
type agent struct {
	instance   member.Instance
	server     match.Server
	regionRank int
	// listed is set while the list of members contains the agent.
	listed bool
	// leaving is set by OnLeaving and cleared only by a new incarnation.
	leaving     bool
	incarnation string
	session     Session
	// outstanding is the number of this entry's calls that were sent and have not ended; it is never
	// negative.
	outstanding int
	report      Load
	reportAt    time.Time
	// otherLoad is the number of running and queued calls in the last report that were not this
	// entry's.
	otherLoad int
	// slowStartAt is when the agent's slow start begins, or zero if it has none.
	slowStartAt time.Time
	health      health
	// hitRate is the smoothed share of the expected cached tokens that the engine reported as cached.
	hitRate float64
}

// unavailableReason returns why the agent cannot take any request, or ReasonNone if it can.
func (a *agent) unavailableReason(now time.Time) Reason {
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

// mayRejoin reports whether the agent announced that it is leaving while the list of members does
// not mark it so.
//
// Such an agent may restart under the same name, and only the hello message of a new session shows
// its new incarnation. Without a session it would never be used again. So its session is kept, and
// dialed again, until the new incarnation shows; no work is sent to the agent meanwhile.
func (a *agent) mayRejoin() bool {
	return a.leaving && a.listed && !a.instance.Leaving
}

// setReport stores a load report and derives from it the load caused by other entries.
func (a *agent) setReport(now time.Time, l Load) {
	a.report = l
	a.reportAt = now
	a.otherLoad = max(0, l.Running+l.Queued-a.outstanding)
}

// reportWeight returns the weight of the last report: 1 when it is new, falling to 0 with its age,
// and 0 when there is none.
func (a *agent) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if a.reportAt.IsZero() {
		return 0
	}
	return decay(now.Sub(a.reportAt), halfLife)
}

// serviceTime returns the predicted service time of a call.
func (a *agent) serviceTime(s *Settings) time.Duration {
	if a.report.ServiceTime > 0 {
		return a.report.ServiceTime
	}
	return s.DefaultServiceTime
}

// wait predicts the queue delay of a new call if only the given share of the slots may be used.
// This entry's outstanding calls count in full, since they are known; the load of other entries is
// discounted by the age of the report.
func (a *agent) wait(now time.Time, s *Settings, share float64) time.Duration {
	weight := a.reportWeight(now, s.ReportHalfLife)
	backlog := float64(a.outstanding) + weight*float64(a.otherLoad)
	slots := float64(max(a.report.Slots, 1)) * share
	service := float64(a.serviceTime(s))
	delay := service * max(0, backlog+1-slots) / slots
	if a.report.Queued > 0 {
		delay = max(delay, weight*float64(a.report.Wait))
	}
	return time.Duration(delay)
}

// slowStartShare returns the share of its slots that the agent may use. It grows to 1 during
// SlowStart.
func (a *agent) slowStartShare(now time.Time, s *Settings) float64 {
	if a.slowStartAt.IsZero() || s.SlowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(a.slowStartAt)) / float64(s.SlowStart)
	return min(1, max(minSlowStartShare, share))
}

// decay returns 2 to the power of -age/halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
