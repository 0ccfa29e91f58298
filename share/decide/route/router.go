package route

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
)

// Router chooses among the agents of one service.
type Router struct {
	settings Settings
	agents   map[string]*agent
	subset   subset
	affinity *affinity
	// turn is the position of round robin.
	turn int
	// filled is set by the first list: the agents in it are not new, only unknown so far.
	filled  bool
	scratch []scored
}

// New returns a router that knows no agent yet.
func New(s Settings) *Router {
	return &Router{settings: s, agents: make(map[string]*agent), affinity: newAffinity(s.AffinityLimit)}
}

// Ended tells how a call to an agent ended.
type Ended struct {
	Name string
	Code codes.Code
	// Silent is set when nothing came back from the agent for the whole of the call.
	Silent bool
	// Report is the load that came with the answer, or nil.
	Report *Load
	// Prefixes are those of the request, longest first.
	Prefixes []Prefix
	// Expected is Choice.ExpectedTokens of the call; Cached what the engine reported, -1 when it did not.
	Expected int
	Cached   int
}

// OnList takes the lagging list of members; those of other services or roles are passed over.
func (r *Router) OnList(now time.Time, members []member.Instance) {
	for _, a := range r.agents {
		a.listed = false
	}
	for _, m := range members {
		if m.Role == member.RoleAgent && m.Service == r.settings.Service {
			r.list(now, m)
		}
	}
	for name, a := range r.agents {
		// The list lags: an agent whose session lives is kept though it is not listed.
		if !a.listed && a.session != SessionUp && a.outstanding == 0 {
			delete(r.agents, name)
		}
	}
	r.filled = r.filled || len(r.agents) > 0
	r.rebuild()
}

func (r *Router) list(now time.Time, m member.Instance) {
	a, ok := r.agents[m.Name]
	if !ok {
		a = &agent{session: SessionDown, hitRate: 1}
		if r.filled {
			a.slowSince = now
		}
		r.agents[m.Name] = a
	}
	a.instance = m
	a.server = match.NewServer(m)
	a.rank = r.settings.rank(m.Region)
	a.listed = true
}

// OnReport takes a load report.
func (r *Router) OnReport(now time.Time, name string, l Load) {
	if a, ok := r.agents[name]; ok {
		a.setReport(now, l)
	}
}

// OnSent notes that a call was sent to the agent.
func (r *Router) OnSent(now time.Time, name string) {
	if a, ok := r.agents[name]; ok {
		a.outstanding++
	}
}

// OnEnded notes the end of a call; each OnSent is followed by exactly one.
func (r *Router) OnEnded(now time.Time, e Ended) {
	a, ok := r.agents[e.Name]
	if !ok {
		return
	}
	a.outstanding = max(0, a.outstanding-1)
	if e.Report != nil {
		a.setReport(now, *e.Report)
	}
	if e.Code == codes.Draining {
		r.OnLeaving(now, e.Name)
		return
	}
	if e.Code == codes.NoBackend {
		r.ejectGone(now, a)
		return
	}
	fault := e.Silent || IsFault(e.Code)
	if fault || e.Code == codes.OK {
		r.judge(now, a, fault)
	}
	if e.Code != codes.OK {
		return
	}
	r.affinity.learn(now, e.Name, e.Prefixes)
	if e.Cached >= 0 {
		a.setHits(e.Expected, e.Cached)
	}
}

// IsFault reports whether a result speaks against the agent that gave it.
func IsFault(c codes.Code) bool {
	switch c {
	case codes.BackendFailed, codes.BackendLost, codes.AnswerIncomplete, codes.OutcomeNotKnown, codes.Internal:
		return true
	default:
		return false
	}
}

func (r *Router) judge(now time.Time, a *agent, fault bool) {
	if a.health.add(now, fault, &r.settings) {
		r.eject(now, a)
	}
}

// eject takes an agent out unless too many are out already. The bound guards
// against a fault that all agents share, such as a bad model version: it shows
// as faults everywhere, and ejecting everyone would turn it into an outage.
func (r *Router) eject(now time.Time, a *agent) {
	if a.health.ejected(now) || r.ejected(now)+1 > r.ejectLimit() {
		return
	}
	a.health.eject(now, &r.settings)
	a.slowSince = a.health.ejectedUntil
}

// ejectGone takes out an agent that said that its backend server is gone. It
// refuses at once and looks idle, so that it would be chosen again and again
// until enough faults in a row had come together. No bound applies: this is
// what the agent knows, not what the entry infers.
func (r *Router) ejectGone(now time.Time, a *agent) {
	if a.health.ejected(now) {
		return
	}
	a.health.eject(now, &r.settings)
	a.slowSince = a.health.ejectedUntil
}

func (r *Router) ejected(now time.Time) int {
	count := 0
	for _, a := range r.agents {
		if a.health.ejected(now) {
			count++
		}
	}
	return count
}

func (r *Router) ejectLimit() int {
	if len(r.agents) < 2 {
		return 0
	}
	return max(1, int(r.settings.EjectShare*float64(len(r.agents))))
}

// OnSession notes the state of the session to an agent. The caller tries a
// fresh connection before it reports SessionSilent, since an open connection
// may go silent while new ones work.
func (r *Router) OnSession(now time.Time, name string, state Session, incarnation string) {
	a, ok := r.agents[name]
	if !ok {
		return
	}
	if state == SessionUp {
		r.up(now, a, incarnation)
		return
	}
	if state == SessionSilent && a.session == SessionUp {
		r.eject(now, a)
	}
	a.session = state
}

func (r *Router) up(now time.Time, a *agent, incarnation string) {
	restarted := a.incarnation != "" && a.incarnation != incarnation
	if a.incarnation == "" && !a.slowSince.IsZero() {
		a.slowSince = now
	}
	if restarted {
		a.leaving = false
		a.slowSince = now
		a.report = Load{}
		a.reportAt = time.Time{}
		a.others = 0
		a.hitRate = 1
		r.affinity.forget(a.instance.Name)
	}
	a.incarnation = incarnation
	a.session = SessionUp
	if restarted {
		r.rebuild()
	}
}

// OnLeaving notes that the agent takes no new work, whoever said so first.
func (r *Router) OnLeaving(_ time.Time, name string) {
	a, ok := r.agents[name]
	if !ok || a.leaving {
		return
	}
	a.leaving = true
	r.rebuild()
}

// sorted returns every agent by name.
func (r *Router) sorted() []*agent {
	all := make([]*agent, 0, len(r.agents))
	for _, a := range r.agents {
		all = append(all, a)
	}
	slices.SortFunc(all, compareNames)
	return all
}
