package route

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/modules/rhash"
)

// subset is the bounded set of agents that the entry keeps sessions to.
type subset struct {
	// agents are sorted by region rank. Within a rank they alternate between the failure domains, in
	// hash order.
	agents []*agent
	// doublings is the number of times that the subset is doubled; narrowing takes one back.
	doublings int
	version   uint64
	// changedAt is when the subset was last widened or narrowed. busyAt is when the predicted wait
	// last exceeded WidenWait.
	changedAt time.Time
	busyAt    time.Time
}

// widenInterval is the minimum time from a change of the subset's size to the next widening, so
// that new sessions come up and their load reports arrive first.
const widenInterval = time.Second

// WantedAgents returns the names of the agents to keep a session to: those of the subset, nearest
// regions first, and those that are leaving but may restart under the same name.
func (r *Router) WantedAgents() []string {
	names := make([]string, 0, len(r.subset.agents))
	for _, a := range r.subset.agents {
		names = append(names, a.instance.Name)
	}
	for _, a := range r.sortedAgents() {
		if a.mayRejoin() {
			names = append(names, a.instance.Name)
		}
	}
	return names
}

// SubsetVersion returns a number that changes whenever the subset does.
func (r *Router) SubsetVersion() uint64 { return r.subset.version }

func (r *Router) subsetSize() int {
	if !r.settings.usesRegions() {
		return r.settings.SubsetMax
	}
	return min(r.settings.SubsetSize<<r.subset.doublings, r.settings.SubsetMax)
}

// rebuild recomputes the subset from the agents that are not leaving.
func (r *Router) rebuild() {
	local, remote := r.splitByRegion()
	size := r.subsetSize()
	reserved := min(r.settings.RemoteReserve, len(remote), size)
	chosen := slices.Clone(local[:min(len(local), size-reserved)])
	chosen = append(chosen, remote[:min(len(remote), size-len(chosen))]...)
	if !slices.Equal(chosen, r.subset.agents) {
		r.subset.agents = chosen
		r.subset.version++
	}
}

// splitByRegion returns the agents of the entry's own region and those of the other regions,
// nearest regions first.
func (r *Router) splitByRegion() (local, remote []*agent) {
	ranks := make(map[int][]*agent)
	for _, a := range r.agents {
		if a.leaving || a.instance.Leaving {
			continue
		}
		ranks[a.regionRank] = append(ranks[a.regionRank], a)
	}
	order := make([]int, 0, len(ranks))
	for rank := range ranks {
		order = append(order, rank)
	}
	slices.Sort(order)
	for _, rank := range order {
		spread := r.spreadOverDomains(ranks[rank])
		if rank == 0 {
			local = spread
			continue
		}
		remote = append(remote, spread...)
	}
	return local, remote
}

// spreadOverDomains orders the agents so that they alternate between the failure domains. Within a
// domain, agents with higher hash scores come first.
func (r *Router) spreadOverDomains(agents []*agent) []*agent {
	domains := make(map[string][]string)
	for _, a := range agents {
		domains[a.instance.Domain] = append(domains[a.instance.Domain], a.instance.Name)
	}
	key := r.settings.Name + "/" + r.settings.Service
	domainOrder := make([]string, 0, len(domains))
	for domain, names := range domains {
		domains[domain] = rhash.Pick(key, names, len(names))
		domainOrder = append(domainOrder, domain)
	}
	domainOrder = rhash.Pick(key, domainOrder, len(domainOrder))
	spread := make([]*agent, 0, len(agents))
	for i := 0; len(spread) < len(agents); i++ {
		for _, domain := range domainOrder {
			if i < len(domains[domain]) {
				spread = append(spread, r.agents[domains[domain][i]])
			}
		}
	}
	return spread
}

// resize widens the subset when the lowest predicted wait in the nearest region exceeds WidenWait,
// and narrows it when the wait has stayed within WidenWait for NarrowAfter.
func (r *Router) resize(now time.Time, wait time.Duration) {
	if !r.settings.usesRegions() {
		return
	}
	if wait > r.settings.WidenWait {
		r.subset.busyAt = now
		r.widen(now)
		return
	}
	calm := now.Sub(later(r.subset.busyAt, r.subset.changedAt)) >= r.settings.NarrowAfter
	if calm && r.subset.doublings > 0 {
		r.subset.doublings--
		r.subset.changedAt = now
		r.rebuild()
	}
}

// widen doubles the subset unless it changed within widenInterval or is already as large as
// possible.
func (r *Router) widen(now time.Time) {
	tooSoon := now.Sub(r.subset.changedAt) < widenInterval
	if tooSoon || r.subsetSize() >= min(r.settings.SubsetMax, len(r.agents)) {
		return
	}
	r.subset.doublings++
	r.subset.changedAt = now
	r.rebuild()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareNames(a, b *agent) int { return cmp.Compare(a.instance.Name, b.instance.Name) }
