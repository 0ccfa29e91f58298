// Package route chooses the agent that runs a stage.
//
// A Router holds what one entry knows of one service's agents: its own
// outstanding calls, their last load reports, sessions, faults and cached
// prefixes. It takes events with their time and keeps no clock. A Router
// belongs to one goroutine or is guarded by its caller; nothing in it locks.
package route

import "time"

// Policy names a way to choose; all but PolicyDeadline are baselines for experiments.
type Policy string

// The policies.
const (
	// PolicyRandom takes any agent.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes the agents in turns.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding takes the agent with the fewest calls of this entry.
	PolicyLeastOutstanding Policy = "least-outstanding"
	// PolicyTwoChoices takes the less loaded of two random agents, by own calls and reports.
	PolicyTwoChoices Policy = "two-choices"
	// PolicyDeadline weighs predicted wait, deadline, region, rules and cached prefixes.
	PolicyDeadline Policy = "deadline"
)

// Policies returns every policy, the baselines first.
func Policies() []Policy {
	return []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyDeadline}
}

// Settings are fixed for the life of a Router.
type Settings struct {
	Policy Policy
	// Name is the entry's own; it decides which agents are in its subset.
	Name string
	// Service is the one whose agents are routed to.
	Service string
	// Region is the entry's own.
	Region string
	// RegionOrder lists the other regions from near to far; a missing one is the farthest.
	RegionOrder []string
	// RegionRoundTrip is added to the predicted time of a call to another region.
	RegionRoundTrip time.Duration
	// Margin is how many times the predicted queue delay must fit into the budget
	// for a call to stay in a region while another has room; at least 1.
	Margin float64
	// SubsetSize is the number of agents that the entry keeps sessions to, SubsetMax when widened.
	SubsetSize int
	SubsetMax  int
	// FarKeep is how many of them stand in other regions, for the loss of the own one.
	FarKeep int
	// WidenWait is the predicted wait at the best near agent above which the subset doubles.
	WidenWait time.Duration
	// NarrowAfter is how long the wait must stay below WidenWait before it halves.
	NarrowAfter time.Duration
	// ReportHalfLife halves the trust in a load report.
	ReportHalfLife time.Duration
	// ServiceGuess stands for the service time until a report tells it.
	ServiceGuess time.Duration
	// SlowStart is how long a returned agent takes to reach its full share.
	SlowStart time.Duration
	// EjectFaults is the number of faults in a row that ejects; EjectRate the share of faults that does.
	EjectFaults int
	EjectRate   float64
	// EjectBase is the first ejection's length; each further one doubles it up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// EjectShare bounds the agents ejected at once; one of two or more may always be.
	EjectShare float64
	// PreferenceStep is the wait that one point of rule preference outweighs.
	PreferenceStep time.Duration
	// AffinityLimit bounds the table of prefixes; 0 turns prefix affinity off.
	AffinityLimit int
	// AffinityHalfLife halves the trust that a prefix is still cached.
	AffinityHalfLife time.Duration
	// TokenTime is the time that one cached prompt token saves.
	TokenTime time.Duration
}

// DefaultSettings returns the settings of the programs; name, service and regions are left to the caller.
func DefaultSettings() Settings {
	return Settings{
		Policy:           PolicyDeadline,
		RegionRoundTrip:  24 * time.Millisecond,
		Margin:           5,
		SubsetSize:       12,
		SubsetMax:        48,
		FarKeep:          4,
		WidenWait:        50 * time.Millisecond,
		NarrowAfter:      time.Minute,
		ReportHalfLife:   2 * time.Second,
		ServiceGuess:     50 * time.Millisecond,
		SlowStart:        10 * time.Second,
		EjectFaults:      5,
		EjectRate:        0.5,
		EjectBase:        2 * time.Second,
		EjectMax:         2 * time.Minute,
		EjectShare:       0.34,
		PreferenceStep:   time.Millisecond,
		AffinityLimit:    4096,
		AffinityHalfLife: time.Minute,
		TokenTime:        100 * time.Microsecond,
	}
}

// usesRegions is false for the baselines, which treat all regions alike.
func (s *Settings) usesRegions() bool { return s.Policy == PolicyDeadline }

// rank is 0 for the own region and grows with the distance.
func (s *Settings) rank(region string) int {
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
