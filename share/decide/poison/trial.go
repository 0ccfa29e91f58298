package poison

import "time"

// Trials are how long a quarantine has held when its request is tried again, each time at one
// server. A bystander is let go so; a request that still crashes servers crashes few more.
type Trials []time.Duration

// DefaultTrials returns those of an ingress.
func DefaultTrials() Trials { return Trials{30 * time.Second, 10 * time.Minute} }

// IsDue tells whether a request is to be tried again that has been in quarantine since a time, or
// since its last trial, after a number of trials.
func (t Trials) IsDue(now, since time.Time, made int) bool {
	return made < len(t) && !since.IsZero() && now.Sub(since) >= t[made]
}
