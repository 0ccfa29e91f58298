package route

import (
	"slices"
	"time"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
)

// Router chooses among the agents of one service. It is not safe for concurrent use.
type Router struct {
	settings Settings
	agents   map[string]*agent
	subset   subset
	affinity *affinityTable
	// roundRobin is the position of PolicyRoundRobin in the candidates.
	roundRobin int
	// populated is set by the first list with agents of the service. Only agents that appear after
	// that are new and get a slow start.
	populated bool
	// candidates is reused between choices to save allocations.
	candidates []candidate
}

// New returns a router without agents; OnMembers adds them.
func New(s Settings) *Router {
	return &Router{settings: s, agents: make(map[string]*agent), affinity: newAffinityTable(s.AffinityLimit)}
}

// CallResult is how a call to an agent ended.
type CallResult struct {
	Name string
	Code codes.Code
	// NoResponse is set when nothing was received from the agent during the whole call.
	NoResponse bool
	// Report is the load report that came with the answer, or nil.
	Report *Load
	// Prefixes are the prompt prefixes of the request, longest first.
	Prefixes []Prefix
	// ExpectedTokens is Choice.ExpectedTokens of the call; CachedTokens is the number of cached
	// prompt tokens that the engine reported, or -1 when it reported none.
	ExpectedTokens int
	CachedTokens   int
}

// OnMembers updates the agents from the platform's list of members, which may be out of date.
// Members of other services or roles are ignored.
func (r *Router) OnMembers(now time.Time, members []member.Instance) {
	for _, a := range r.agents {
		a.listed = false
	}
	for _, m := range members {
		if m.Role == member.RoleAgent && m.Service == r.settings.Service {
			r.updateMember(now, m)
		}
	}
	for name, a := range r.agents {
		// The list may be out of date, so an unlisted agent is kept while its session is up or
		// calls to it have not ended.
		if !a.listed && a.session != SessionUp && a.outstanding == 0 {
			delete(r.agents, name)
		}
	}
	r.populated = r.populated || len(r.agents) > 0
	r.rebuild()
}

func (r *Router) updateMember(now time.Time, m member.Instance) {
	a, ok := r.agents[m.Name]
	if !ok {
		a = &agent{session: SessionDown, hitRate: 1}
		if r.populated {
			a.slowStartAt = now
		}
		r.agents[m.Name] = a
	}
	a.instance = m
	a.server = match.NewServer(m)
	a.regionRank = r.settings.regionRank(m.Region)
	a.listed = true
}

// OnReport records a load report of the agent.
func (r *Router) OnReport(now time.Time, name string, l Load) {
	if a, ok := r.agents[name]; ok {
		a.setReport(now, l)
	}
}

// OnSent records that a call was sent to the agent.
func (r *Router) OnSent(now time.Time, name string) {
	if a, ok := r.agents[name]; ok {
		a.outstanding++
	}
}

// OnEnded records the end of a call. Each OnSent must be followed by exactly one OnEnded.
func (r *Router) OnEnded(now time.Time, e CallResult) {
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
		r.ejectWithoutBackend(now, a)
		return
	}
	fault := e.NoResponse || IsFault(e.Code)
	if fault || e.Code == codes.OK {
		r.recordResult(now, a, fault)
	}
	if e.Code != codes.OK {
		return
	}
	r.affinity.record(now, e.Name, e.Prefixes)
	if e.CachedTokens >= 0 {
		a.recordHitRate(e.ExpectedTokens, e.CachedTokens)
	}
}

// IsFault reports whether a result counts as a fault of the agent that returned it.
func IsFault(c codes.Code) bool {
	switch c {
	case codes.BackendFailed, codes.BackendLost, codes.AnswerIncomplete, codes.OutcomeNotKnown, codes.Internal:
		return true
	default:
		return false
	}
}

func (r *Router) recordResult(now time.Time, a *agent, fault bool) {
	if a.health.record(now, fault, &r.settings) {
		r.eject(now, a)
	}
}

// eject ejects an agent unless too many are ejected already. The limit guards against a fault that
// all agents share, for example a bad model version: ejecting every agent that reports faults would
// turn it into an outage.
func (r *Router) eject(now time.Time, a *agent) {
	if a.health.ejected(now) || r.ejectedCount(now)+1 > r.ejectionLimit() {
		return
	}
	a.health.eject(now, &r.settings)
	a.slowStartAt = a.health.ejectedUntil
}

// ejectWithoutBackend ejects an agent that reported that it has no backend server. Such an agent
// refuses calls at once and looks idle, so without the ejection it would be chosen again and again
// until it had enough consecutive faults. The ejection limit does not apply, since the agent knows
// that its backend server is gone while the entry only infers faults.
func (r *Router) ejectWithoutBackend(now time.Time, a *agent) {
	if a.health.ejected(now) {
		return
	}
	a.health.eject(now, &r.settings)
	a.slowStartAt = a.health.ejectedUntil
}

func (r *Router) ejectedCount(now time.Time) int {
	count := 0
	for _, a := range r.agents {
		if a.health.ejected(now) {
			count++
		}
	}
	return count
}

func (r *Router) ejectionLimit() int {
	if len(r.agents) < 2 {
		return 0
	}
	return max(1, int(r.settings.MaxEjectedShare*float64(len(r.agents))))
}

// OnSession records the state of the session to an agent. The caller must try a new connection
// before it reports SessionSilent, since an open connection may stop delivering data while new
// connections work.
func (r *Router) OnSession(now time.Time, name string, state Session, incarnation string) {
	a, ok := r.agents[name]
	if !ok {
		return
	}
	if state == SessionUp {
		r.sessionUp(now, a, incarnation)
		return
	}
	if state == SessionSilent && a.session == SessionUp {
		r.eject(now, a)
	}
	a.session = state
}

func (r *Router) sessionUp(now time.Time, a *agent, incarnation string) {
	restarted := a.incarnation != "" && a.incarnation != incarnation
	if a.incarnation == "" && !a.slowStartAt.IsZero() {
		a.slowStartAt = now
	}
	if restarted {
		a.leaving = false
		a.slowStartAt = now
		a.report = Load{}
		a.reportAt = time.Time{}
		a.otherLoad = 0
		a.hitRate = 1
		r.affinity.forget(a.instance.Name)
	}
	a.incarnation = incarnation
	a.session = SessionUp
	if restarted {
		r.rebuild()
	}
}

// OnLeaving records that the agent takes no new work. The agent reports it in a heartbeat, or by
// refusing a call with codes.Draining.
func (r *Router) OnLeaving(_ time.Time, name string) {
	a, ok := r.agents[name]
	if !ok || a.leaving {
		return
	}
	a.leaving = true
	r.rebuild()
}

// sortedAgents returns all agents, sorted by name.
func (r *Router) sortedAgents() []*agent {
	agents := make([]*agent, 0, len(r.agents))
	for _, a := range r.agents {
		agents = append(agents, a)
	}
	slices.SortFunc(agents, compareNames)
	return agents
}
