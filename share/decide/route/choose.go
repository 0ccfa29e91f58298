package route

import (
	"fmt"
	"slices"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/modules/codes"
)

// Filter decides which backend servers may run the request and how much each is preferred.
// *match.Selection implements it.
type Filter interface {
	Allow(server match.Server) (preference int, allowed bool)
}

// Random is the source of randomness. *rand.Rand of math/rand/v2 implements it.
type Random interface {
	IntN(n int) int
}

// Request describes the call for which an agent is chosen.
type Request struct {
	// Filter applies the rules; nil allows every server.
	Filter Filter
	// Budget is the time left for this stage, from now until its answer; 0 means no limit.
	Budget time.Duration
	// Prefixes are the leading parts of the prompt that may be cached, longest first.
	Prefixes []Prefix
	// Exclude lists the names of agents that already refused or failed this stage.
	Exclude []string
}

// Choice is the agent that was chosen for a request, with the predictions for it.
type Choice struct {
	Name        string
	Incarnation string
	Region      string
	// CrossRegion is set when the agent is outside the entry's region.
	CrossRegion bool
	// Wait and ServiceTime are the predicted queue delay and service time.
	Wait        time.Duration
	ServiceTime time.Duration
	// ReportedWait is the agent's own estimate of the queue delay of a call with normal priority,
	// discounted by the age of the report.
	ReportedWait time.Duration
	// WithinBudget is false when the predicted time exceeds Request.Budget, so that the caller can
	// refuse the request.
	WithinBudget bool
	// ExpectedTokens is the number of prompt tokens that the agent is expected to have cached.
	ExpectedTokens int
}

// candidate is an agent with the terms of its score. A lower score is better.
type candidate struct {
	agent            *agent
	preference       int
	wait             time.Duration
	serviceTime      time.Duration
	affinityBonus    time.Duration
	slowStartPenalty time.Duration
	roundTrip        time.Duration
	score            time.Duration
}

// Choose returns the agent to send the request to, or a *codes.Result with codes.NoBackend.
func (r *Router) Choose(now time.Time, q Request, random Random) (Choice, error) {
	hint, _ := r.affinity.find(q.Prefixes)
	r.collect(now, q, hint)
	if len(r.candidates) == 0 {
		r.widen(now)
		return Choice{}, r.noBackend(now, q)
	}
	var c *candidate
	switch r.settings.Policy {
	case PolicyRandom:
		c = &r.candidates[random.IntN(len(r.candidates))]
	case PolicyRoundRobin:
		r.roundRobin++
		c = &r.candidates[r.roundRobin%len(r.candidates)]
	case PolicyLeastOutstanding:
		c = r.leastOutstanding(random)
	case PolicyTwoChoices:
		c = twoChoices(r.candidates, random)
	default:
		c = r.chooseByDeadline(q, hint, random)
	}
	choice := r.newChoice(c, q, hint)
	choice.ReportedWait = time.Duration(c.agent.reportWeight(now, r.settings.ReportHalfLife) * float64(c.agent.report.Wait))
	r.resize(now, r.nearestRegionWait())
	return choice, nil
}

// collect fills r.candidates with the agents that may be chosen, in the order of the subset.
func (r *Router) collect(now time.Time, q Request, hint affinityEntry) {
	r.candidates = r.candidates[:0]
	for _, a := range r.subset.agents {
		reason, preference := r.eligibility(now, a, q)
		if reason == ReasonNone {
			r.candidates = append(r.candidates, r.score(now, a, preference, hint))
		}
	}
}

// eligibility returns why the agent may not be chosen for this request, or ReasonNone and the
// rules' preference for it.
func (r *Router) eligibility(now time.Time, a *agent, q Request) (Reason, int) {
	if reason := a.unavailableReason(now); reason != ReasonNone {
		return reason, 0
	}
	if slices.Contains(q.Exclude, a.instance.Name) {
		return ReasonExcluded, 0
	}
	if q.Filter == nil {
		return ReasonNone, 0
	}
	preference, allowed := q.Filter.Allow(a.server)
	if !allowed {
		return ReasonForbidden, 0
	}
	return ReasonNone, preference
}

func (r *Router) score(now time.Time, a *agent, preference int, hint affinityEntry) candidate {
	s := &r.settings
	c := candidate{agent: a, preference: preference, serviceTime: a.serviceTime(s)}
	c.wait = a.wait(now, s, 1)
	c.slowStartPenalty = a.wait(now, s, a.slowStartShare(now, s)) - c.wait
	if a.regionRank > 0 {
		c.roundTrip = s.RegionRoundTrip
	}
	c.score = c.wait + c.slowStartPenalty
	if s.Policy != PolicyDeadline {
		return c
	}
	c.affinityBonus = s.affinityBonus(now, hint, a)
	c.score -= c.affinityBonus + time.Duration(preference)*s.PreferenceStep
	return c
}

// withinBudget reports whether the predicted time, with the queue delay multiplied by margin, is
// within the budget.
func (c *candidate) withinBudget(budget time.Duration, margin float64) bool {
	if budget <= 0 {
		return true
	}
	wait := time.Duration(margin * float64(c.wait))
	return wait+c.roundTrip+c.serviceTime-c.affinityBonus <= budget
}

// chooseByDeadline goes through the regions from nearest to farthest and leaves a region only if
// the predicted time in it exceeds the budget. The first pass applies WaitMargin to the queue
// delay, since predictions are means and about half of the calls take longer; the second pass does
// not. If no region meets the budget, the nearest one is used: the answer would be late in any
// region, and traffic between regions costs more.
func (r *Router) chooseByDeadline(q Request, hint affinityEntry, random Random) *candidate {
	if c := r.nearestFitting(q, hint, random, r.settings.WaitMargin); c != nil {
		return c
	}
	if c := r.nearestFitting(q, hint, random, 1); c != nil {
		return c
	}
	return bestOf(leadingRegion(r.candidates), hint, random)
}

// nearestFitting returns a candidate that meets the budget with the margin, from the nearest region
// that has one, or nil if no region does.
func (r *Router) nearestFitting(q Request, hint affinityEntry, random Random, margin float64) *candidate {
	for rest := r.candidates; len(rest) > 0; {
		group := leadingRegion(rest)
		rest = rest[len(group):]
		c := bestOf(group, hint, random)
		if c.withinBudget(q.Budget, margin) {
			return c
		}
		if c = lowestFitting(group, q.Budget, margin); c != nil {
			return c
		}
	}
	return nil
}

// leadingRegion returns the candidates at the head of the list that have the same region rank.
func leadingRegion(list []candidate) []candidate {
	n := 1
	for n < len(list) && list[n].agent.regionRank == list[0].agent.regionRank {
		n++
	}
	return list[:n]
}

// bestOf returns the candidate with the lowest score among two random ones, two random ones of the
// highest preference, and the one that has the prefix cached.
func bestOf(group []candidate, hint affinityEntry, random Random) *candidate {
	c := twoChoices(group, random)
	if top := preferred(group, random); top != nil && top.score < c.score {
		c = top
	}
	for i := range group {
		if group[i].agent.instance.Name == hint.agentName && group[i].score < c.score {
			c = &group[i]
		}
	}
	return c
}

// twoChoices returns the candidate with the lower score of two random ones.
func twoChoices(list []candidate, random Random) *candidate {
	i := random.IntN(len(list))
	if len(list) == 1 {
		return &list[i]
	}
	j := random.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if list[j].score < list[i].score {
		return &list[j]
	}
	return &list[i]
}

// preferred returns the better of two random candidates with the highest preference, or nil if all
// have the same preference.
func preferred(group []candidate, random Random) *candidate {
	lowest, highest := group[0].preference, group[0].preference
	count := 0
	for i := range group {
		lowest = min(lowest, group[i].preference)
		if group[i].preference > highest {
			highest = group[i].preference
			count = 0
		}
		if group[i].preference == highest {
			count++
		}
	}
	if lowest == highest {
		return nil
	}
	a := nth(group, highest, random.IntN(count))
	b := nth(group, highest, random.IntN(count))
	if b.score < a.score {
		return b
	}
	return a
}

// nth returns the n-th candidate with the given preference, counted from 0.
func nth(group []candidate, preference, n int) *candidate {
	for i := range group {
		if group[i].preference != preference {
			continue
		}
		if n == 0 {
			return &group[i]
		}
		n--
	}
	return &group[0]
}

// lowestFitting returns the candidate with the lowest score among those that meet the budget, or
// nil.
func lowestFitting(group []candidate, budget time.Duration, margin float64) *candidate {
	var c *candidate
	for i := range group {
		if group[i].withinBudget(budget, margin) && (c == nil || group[i].score < c.score) {
			c = &group[i]
		}
	}
	return c
}

// leastOutstanding returns the candidate with the fewest outstanding calls. It starts at a random
// position so that ties do not favor the first candidates.
func (r *Router) leastOutstanding(random Random) *candidate {
	offset := random.IntN(len(r.candidates))
	c := &r.candidates[offset]
	for i := range r.candidates {
		o := &r.candidates[(offset+i)%len(r.candidates)]
		if o.agent.outstanding < c.agent.outstanding {
			c = o
		}
	}
	return c
}

func (r *Router) newChoice(c *candidate, q Request, hint affinityEntry) Choice {
	choice := Choice{
		Name:         c.agent.instance.Name,
		Incarnation:  c.agent.incarnation,
		Region:       c.agent.instance.Region,
		CrossRegion:  c.agent.regionRank > 0,
		Wait:         c.wait,
		ServiceTime:  c.serviceTime,
		WithinBudget: c.withinBudget(q.Budget, 1),
	}
	if hint.agentName == choice.Name {
		choice.ExpectedTokens = hint.tokens
	}
	return choice
}

// nearestRegionWait returns the lowest predicted wait in the nearest region that has candidates.
func (r *Router) nearestRegionWait() time.Duration {
	group := leadingRegion(r.candidates)
	lowest := group[0].wait
	for i := range group {
		lowest = min(lowest, group[i].wait)
	}
	return lowest
}

func (r *Router) noBackend(now time.Time, q Request) error {
	counts := make(map[Reason]int)
	for _, a := range r.subset.agents {
		reason, _ := r.eligibility(now, a, q)
		counts[reason]++
	}
	detail := fmt.Sprintf("service %s: %d agents in the subset: %d without session, %d ejected, %d forbidden by rules, %d tried",
		r.settings.Service, len(r.subset.agents), counts[ReasonNoSession], counts[ReasonEjected],
		counts[ReasonForbidden], counts[ReasonExcluded])
	return codes.NewResult(codes.NoBackend, detail)
}
