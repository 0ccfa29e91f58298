package route

import "time"

// Reason is why an agent may not be chosen.
type Reason string

// The reasons. ReasonNone means that the agent may be chosen.
const (
	ReasonNone        Reason = ""
	ReasonLeaving     Reason = "leaving"
	ReasonEjected     Reason = "ejected"
	ReasonNoSession   Reason = "no-session"
	ReasonExcluded    Reason = "excluded"
	ReasonForbidden   Reason = "forbidden"
	ReasonNotInSubset Reason = "not-in-subset"
)

// Explanation describes why an agent may or may not be chosen, with the terms of its score. With
// PolicyDeadline, Score = Wait + SlowStartPenalty - Affinity - Preference; the other policies leave
// out Affinity and Preference.
type Explanation struct {
	Name   string
	Region string
	Domain string
	// RegionRank is 0 for the entry's own region.
	RegionRank int
	Reason     Reason
	// Outstanding is the number of this entry's calls at the agent. OtherLoad is the reported number
	// of calls of other entries, and ReportWeight the factor by which it is discounted for its age.
	Outstanding      int
	OtherLoad        int
	ReportWeight     float64
	Wait             time.Duration
	SlowStartPenalty time.Duration
	Affinity         time.Duration
	Preference       time.Duration
	Score            time.Duration
	WithinBudget     bool
	// EjectedUntil is not in the future for an agent that is not ejected.
	EjectedUntil time.Time
}

// Explain returns an Explanation for every known agent, sorted by name. It does not change the
// router.
func (r *Router) Explain(now time.Time, q Request) []Explanation {
	hint, _ := r.affinity.find(q.Prefixes)
	inSubset := make(map[*agent]bool, len(r.subset.agents))
	for _, a := range r.subset.agents {
		inSubset[a] = true
	}
	explanations := make([]Explanation, 0, len(r.agents))
	for _, a := range r.sortedAgents() {
		reason, preference := r.eligibility(now, a, q)
		if reason == ReasonNone && !inSubset[a] {
			reason = ReasonNotInSubset
		}
		c := r.score(now, a, preference, hint)
		explanations = append(explanations, r.explanation(now, &c, reason, q))
	}
	return explanations
}

func (r *Router) explanation(now time.Time, c *candidate, reason Reason, q Request) Explanation {
	a := c.agent
	return Explanation{
		Name:             a.instance.Name,
		Region:           a.instance.Region,
		Domain:           a.instance.Domain,
		RegionRank:       a.regionRank,
		Reason:           reason,
		Outstanding:      a.outstanding,
		OtherLoad:        a.otherLoad,
		ReportWeight:     a.reportWeight(now, r.settings.ReportHalfLife),
		Wait:             c.wait,
		SlowStartPenalty: c.slowStartPenalty,
		Affinity:         c.affinityBonus,
		Preference:       time.Duration(c.preference) * r.settings.PreferenceStep,
		Score:            c.score,
		WithinBudget:     c.withinBudget(q.Budget, 1),
		EjectedUntil:     a.health.ejectedUntil,
	}
}
