// Package route chooses the agent that runs a stage.
//
// A Router holds one entry's view of one service's agents: the calls that the entry has outstanding
// at them, their last load reports, sessions, faults and cached prefixes. Every event is passed in
// with its time; a Router does not read the clock. A Router is not safe for concurrent use: it
// belongs to one goroutine, or its caller guards it with a lock.
package route

import "time"

// Policy is the way in which an agent is chosen. All but PolicyDeadline are baselines for
// experiments.
type Policy string

// The policies.
const (
	// PolicyRandom chooses a random agent.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses the agents in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding chooses the agent with the fewest outstanding calls of this entry.
	PolicyLeastOutstanding Policy = "least-outstanding"
	// PolicyTwoChoices chooses the less loaded of two random agents, by this entry's outstanding
	// calls and the agents' load reports.
	PolicyTwoChoices Policy = "two-choices"
	// PolicyDeadline chooses by predicted wait, deadline, region, rules and cached prefixes.
	PolicyDeadline Policy = "deadline"
)

// Policies returns all policies, the baselines first.
func Policies() []Policy {
	return []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyDeadline}
}

// Settings are fixed for the life of a Router.
type Settings struct {
	Policy Policy
	// Name is the entry's name. It determines which agents are in the entry's subset.
	Name string
	// Service is the service whose agents are chosen from.
	Service string
	// Region is the entry's region.
	Region string
	// RegionOrder lists the other regions from nearest to farthest. Regions that are not listed
	// rank behind all listed ones.
	RegionOrder []string
	// RegionRoundTrip is added to the predicted time of a call to another region.
	RegionRoundTrip time.Duration
	// WaitMargin is at least 1. The predicted queue delay is multiplied by it when the router looks
	// for the nearest region that meets the budget; when no region does, the router looks again
	// without it.
	WaitMargin float64
	// SubsetSize is the number of agents that the entry keeps sessions to. The subset may widen to
	// SubsetMax.
	SubsetSize int
	SubsetMax  int
	// RemoteReserve is the number of places in the subset that are reserved for agents of other
	// regions, in case the entry's own region fails.
	RemoteReserve int
	// The subset doubles when the lowest predicted wait in the nearest region exceeds WidenWait.
	WidenWait time.Duration
	// NarrowAfter is how long that wait must stay within WidenWait before the subset halves.
	NarrowAfter time.Duration
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// DefaultServiceTime is the service time assumed for an agent until it reports one.
	DefaultServiceTime time.Duration
	// SlowStart is the time over which a new, restarted or previously ejected agent reaches its full
	// share of the calls.
	SlowStart time.Duration
	// EjectConsecutiveFaults is the number of consecutive faults that ejects an agent, and
	// EjectFaultRate the share of faults among its recent results that does.
	EjectConsecutiveFaults int
	EjectFaultRate         float64
	// BaseEjectionTime is the length of an agent's first ejection. It doubles with each further one
	// up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxEjectedShare is the largest share of the agents that may be ejected at once; if there are
	// two or more agents, one may always be ejected.
	MaxEjectedShare float64
	// PreferenceStep is the wait that one point of rule preference makes up for.
	PreferenceStep time.Duration
	// AffinityLimit is the maximum number of prefixes remembered; 0 turns prefix affinity off.
	AffinityLimit int
	// AffinityHalfLife is the age at which a remembered prefix counts half, since it may have been
	// evicted from the agent's cache.
	AffinityHalfLife time.Duration
	// PrefillTimePerToken is the time that each cached prompt token saves.
	PrefillTimePerToken time.Duration
}

// DefaultSettings returns the default settings. The caller sets Name, Service, Region and
// RegionOrder.
func DefaultSettings() Settings {
	return Settings{
		Policy:                 PolicyDeadline,
		RegionRoundTrip:        24 * time.Millisecond,
		WaitMargin:             5,
		SubsetSize:             12,
		SubsetMax:              48,
		RemoteReserve:          4,
		WidenWait:              50 * time.Millisecond,
		NarrowAfter:            time.Minute,
		ReportHalfLife:         2 * time.Second,
		DefaultServiceTime:     50 * time.Millisecond,
		SlowStart:              10 * time.Second,
		EjectConsecutiveFaults: 5,
		EjectFaultRate:         0.5,
		BaseEjectionTime:       2 * time.Second,
		MaxEjectionTime:        2 * time.Minute,
		MaxEjectedShare:        0.34,
		PreferenceStep:         time.Millisecond,
		AffinityLimit:          4096,
		AffinityHalfLife:       time.Minute,
		PrefillTimePerToken:    100 * time.Microsecond,
	}
}

// usesRegions reports whether the policy takes regions into account; the baselines treat all
// regions alike.
func (s *Settings) usesRegions() bool { return s.Policy == PolicyDeadline }

// regionRank returns 0 for the entry's own region and a higher rank for more distant regions.
func (s *Settings) regionRank(region string) int {
	if region == s.Region {
		return 0
	}
	for i, name := range s.RegionOrder {
		if name == region {
			return i + 1
		}
	}
	return len(s.RegionOrder) + 1
}
