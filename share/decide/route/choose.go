package route

import (
	"fmt"
	"slices"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/modules/codes"
)

// Filter says which backend servers may run the work; *match.Selection is one.
type Filter interface {
	Allow(server match.Server) (preference int, allowed bool)
}

// Random is the source of randomness; *rand.Rand of math/rand/v2 is one.
type Random interface {
	IntN(n int) int
}

// Request is what a choice depends on.
type Request struct {
	// Filter holds the rules; nil allows every server.
	Filter Filter
	// Budget is the time left for this stage, from now to its answer; 0: none set.
	Budget time.Duration
	// Prefixes of the prompt, longest first.
	Prefixes []Prefix
	// Exclude names agents that refused or failed this stage already.
	Exclude []string
}

// Choice is the agent to send to.
type Choice struct {
	Name        string
	Incarnation string
	Region      string
	// CrossRegion is set when the call leaves the entry's region.
	CrossRegion bool
	// Wait and Service are the predicted queue delay and service time.
	Wait    time.Duration
	Service time.Duration
	// Reported is the agent's own estimate of a normal call's queue delay, discounted by its age.
	Reported time.Duration
	// Fits is false when the prediction breaks the budget; admission may refuse then.
	Fits bool
	// ExpectedTokens of the prompt are believed to be cached there.
	ExpectedTokens int
}

// scored is an agent that may be chosen, with the terms of its score.
type scored struct {
	agent      *agent
	preference int
	wait       time.Duration
	service    time.Duration
	bonus      time.Duration
	slow       time.Duration
	trip       time.Duration
	score      time.Duration
}

// Choose returns the agent to send to, or a *codes.Result with codes.NoBackend.
func (r *Router) Choose(now time.Time, q Request, random Random) (Choice, error) {
	hint, _ := r.affinity.find(q.Prefixes)
	r.collect(now, q, hint)
	if len(r.scratch) == 0 {
		r.widen(now)
		return Choice{}, r.noBackend(now, q)
	}
	var c *scored
	switch r.settings.Policy {
	case PolicyRandom:
		c = &r.scratch[random.IntN(len(r.scratch))]
	case PolicyRoundRobin:
		r.turn++
		c = &r.scratch[r.turn%len(r.scratch)]
	case PolicyLeastOutstanding:
		c = r.leastOutstanding(random)
	case PolicyTwoChoices:
		c = two(r.scratch, random)
	default:
		c = r.near(q, hint, random)
	}
	choice := r.choice(c, q, hint)
	choice.Reported = time.Duration(c.agent.trust(now, r.settings.ReportHalfLife) * float64(c.agent.report.Wait))
	r.resize(now, r.bestNear())
	return choice, nil
}

// collect fills scratch with the agents of the subset that may be chosen, in its order.
func (r *Router) collect(now time.Time, q Request, hint affine) {
	r.scratch = r.scratch[:0]
	for _, a := range r.subset.agents {
		reason, preference := r.bar(now, a, q)
		if reason == ReasonNone {
			r.scratch = append(r.scratch, r.score(now, a, preference, hint))
		}
	}
}

// bar says why the agent may not be chosen for this request.
func (r *Router) bar(now time.Time, a *agent, q Request) (Reason, int) {
	if reason := a.state(now); reason != ReasonNone {
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

func (r *Router) score(now time.Time, a *agent, preference int, hint affine) scored {
	s := &r.settings
	c := scored{agent: a, preference: preference, service: a.service(s)}
	c.wait = a.wait(now, s, 1)
	c.slow = a.wait(now, s, a.slowShare(now, s)) - c.wait
	if a.rank > 0 {
		c.trip = s.RegionRoundTrip
	}
	c.score = c.wait + c.slow
	if s.Policy != PolicyDeadline {
		return c
	}
	c.bonus = s.bonus(now, hint, a)
	c.score -= c.bonus + time.Duration(preference)*s.PreferenceStep
	return c
}

// fits reports whether the predicted time, with its queue delay taken margin times, is within the budget.
func (c *scored) fits(budget time.Duration, margin float64) bool {
	if budget <= 0 {
		return true
	}
	wait := time.Duration(margin * float64(c.wait))
	return wait+c.trip+c.service-c.bonus <= budget
}

// near goes through the regions from near to far and leaves one only when
// the predicted time in it breaks the budget: first with the margin, since
// predictions are means and the slower half would be late, then without it.
// Where no region fits it stays near: the answer would be late all the same,
// and the bytes cost more.
func (r *Router) near(q Request, hint affine, random Random) *scored {
	if c := r.nearest(q, hint, random, r.settings.Margin); c != nil {
		return c
	}
	if c := r.nearest(q, hint, random, 1); c != nil {
		return c
	}
	return best(sameRank(r.scratch), hint, random)
}

// nearest returns the choice of the nearest region in which one fits with the margin, or nil.
func (r *Router) nearest(q Request, hint affine, random Random, margin float64) *scored {
	for rest := r.scratch; len(rest) > 0; {
		group := sameRank(rest)
		rest = rest[len(group):]
		c := best(group, hint, random)
		if c.fits(q.Budget, margin) {
			return c
		}
		if c = leastFitting(group, q.Budget, margin); c != nil {
			return c
		}
	}
	return nil
}

// sameRank returns the leading agents of one region rank.
func sameRank(list []scored) []scored {
	n := 1
	for n < len(list) && list[n].agent.rank == list[0].agent.rank {
		n++
	}
	return list[:n]
}

// best compares two random agents, two random ones of the highest preference, and the one with the prefix.
func best(group []scored, hint affine, random Random) *scored {
	c := two(group, random)
	if top := preferred(group, random); top != nil && top.score < c.score {
		c = top
	}
	for i := range group {
		if group[i].agent.instance.Name == hint.name && group[i].score < c.score {
			c = &group[i]
		}
	}
	return c
}

// two returns the one with the lower score of two random agents.
func two(list []scored, random Random) *scored {
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

// preferred returns the better of two random agents with the highest preference, or nil when all have the same.
func preferred(group []scored, random Random) *scored {
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

// nth returns the n-th agent of that preference.
func nth(group []scored, preference, n int) *scored {
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

// leastFitting returns the lowest score of those that fit, or nil.
func leastFitting(group []scored, budget time.Duration, margin float64) *scored {
	var c *scored
	for i := range group {
		if group[i].fits(budget, margin) && (c == nil || group[i].score < c.score) {
			c = &group[i]
		}
	}
	return c
}

// leastOutstanding starts at a random place, so that ties do not favour the first.
func (r *Router) leastOutstanding(random Random) *scored {
	offset := random.IntN(len(r.scratch))
	c := &r.scratch[offset]
	for i := range r.scratch {
		o := &r.scratch[(offset+i)%len(r.scratch)]
		if o.agent.outstanding < c.agent.outstanding {
			c = o
		}
	}
	return c
}

func (r *Router) choice(c *scored, q Request, hint affine) Choice {
	choice := Choice{
		Name:        c.agent.instance.Name,
		Incarnation: c.agent.incarnation,
		Region:      c.agent.instance.Region,
		CrossRegion: c.agent.rank > 0,
		Wait:        c.wait,
		Service:     c.service,
		Fits:        c.fits(q.Budget, 1),
	}
	if hint.name == choice.Name {
		choice.ExpectedTokens = hint.tokens
	}
	return choice
}

// bestNear is the lowest predicted wait in the nearest region that has agents.
func (r *Router) bestNear() time.Duration {
	group := sameRank(r.scratch)
	lowest := group[0].wait
	for i := range group {
		lowest = min(lowest, group[i].wait)
	}
	return lowest
}

func (r *Router) noBackend(now time.Time, q Request) error {
	counts := make(map[Reason]int)
	for _, a := range r.subset.agents {
		reason, _ := r.bar(now, a, q)
		counts[reason]++
	}
	detail := fmt.Sprintf("service %s: %d agents in the subset: %d without session, %d ejected, %d forbidden by rules, %d tried",
		r.settings.Service, len(r.subset.agents), counts[ReasonNoSession], counts[ReasonEjected],
		counts[ReasonForbidden], counts[ReasonExcluded])
	return codes.NewResult(codes.NoBackend, detail)
}
