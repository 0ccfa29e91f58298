package route

import "time"

// Reason says why an agent may not be chosen.
type Reason string

// The reasons; ReasonNone means that it may.
const (
	ReasonNone        Reason = ""
	ReasonLeaving     Reason = "leaving"
	ReasonEjected     Reason = "ejected"
	ReasonNoSession   Reason = "no-session"
	ReasonExcluded    Reason = "excluded"
	ReasonForbidden   Reason = "forbidden"
	ReasonNotInSubset Reason = "not-in-subset"
)

// Term is one agent's part in a choice: Score = Wait + Slow - Affinity - Preference.
type Term struct {
	Name   string
	Region string
	Domain string
	// Rank is 0 for the entry's own region.
	Rank   int
	Reason Reason
	// Outstanding is the entry's own work; Others the reported rest, Trust what its age leaves of it.
	Outstanding int
	Others      int
	Trust       float64
	Wait        time.Duration
	Slow        time.Duration
	Affinity    time.Duration
	Preference  time.Duration
	Score       time.Duration
	Fits        bool
	// EjectedUntil is in the past for an agent that is not ejected.
	EjectedUntil time.Time
}

// Explain returns the terms of every known agent by name; it changes nothing.
func (r *Router) Explain(now time.Time, q Request) []Term {
	hint, _ := r.affinity.find(q.Prefixes)
	inside := make(map[*agent]bool, len(r.subset.agents))
	for _, a := range r.subset.agents {
		inside[a] = true
	}
	terms := make([]Term, 0, len(r.agents))
	for _, a := range r.sorted() {
		reason, preference := r.bar(now, a, q)
		if reason == ReasonNone && !inside[a] {
			reason = ReasonNotInSubset
		}
		c := r.score(now, a, preference, hint)
		terms = append(terms, r.term(now, &c, reason, q))
	}
	return terms
}

func (r *Router) term(now time.Time, c *scored, reason Reason, q Request) Term {
	a := c.agent
	return Term{
		Name:         a.instance.Name,
		Region:       a.instance.Region,
		Domain:       a.instance.Domain,
		Rank:         a.rank,
		Reason:       reason,
		Outstanding:  a.outstanding,
		Others:       a.others,
		Trust:        a.trust(now, r.settings.ReportHalfLife),
		Wait:         c.wait,
		Slow:         c.slow,
		Affinity:     c.bonus,
		Preference:   time.Duration(c.preference) * r.settings.PreferenceStep,
		Score:        c.score,
		Fits:         c.fits(q.Budget, 1),
		EjectedUntil: a.health.ejectedUntil,
	}
}
