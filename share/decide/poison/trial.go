package poison

import "time"

// TrialSchedule lists the delay before each trial of a quarantined request, counted from the
// start of the quarantine or from the previous trial. In a trial the request is sent to a single
// server. A request that was quarantined by mistake is thus released, while one that still
// crashes servers crashes only a few more.
type TrialSchedule []time.Duration

// DefaultTrialSchedule returns the schedule that an ingress uses.
func DefaultTrialSchedule() TrialSchedule { return TrialSchedule{30 * time.Second, 10 * time.Minute} }

// IsDue reports whether the next trial of a quarantined request is due. Since is when its
// quarantine began or its previous trial was made, zero if that is unknown; trials is the number
// of trials made so far.
func (t TrialSchedule) IsDue(now, since time.Time, trials int) bool {
	return trials < len(t) && !since.IsZero() && now.Sub(since) >= t[trials]
}
