package route

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/modules/rhash"
)

// subset is the bounded set of agents that the entry keeps sessions to.
type subset struct {
	// agents are sorted by region rank, then by hash order spread over failure domains.
	agents []*agent
	// doublings is how many times the subset was widened.
	doublings int
	version   uint64
	// changed is when it was last widened or narrowed; busyAt when it was last saturated.
	changed time.Time
	busyAt  time.Time
}

// widenPause lets new sessions come up and reports arrive before the next widening.
const widenPause = time.Second

// Wanted returns the names of the agents to keep a session to: those of the
// subset, near ones first, and those whose return from a stop has to be seen.
func (r *Router) Wanted() []string {
	names := make([]string, 0, len(r.subset.agents))
	for _, a := range r.subset.agents {
		names = append(names, a.instance.Name)
	}
	for _, a := range r.sorted() {
		if a.mayReturn() {
			names = append(names, a.instance.Name)
		}
	}
	return names
}

// Version changes whenever Wanted does.
func (r *Router) Version() uint64 { return r.subset.version }

func (r *Router) subsetSize() int {
	if !r.settings.usesRegions() {
		return r.settings.SubsetMax
	}
	return min(r.settings.SubsetSize<<r.subset.doublings, r.settings.SubsetMax)
}

// rebuild chooses the subset anew from the agents that are not leaving.
func (r *Router) rebuild() {
	near, far := r.split()
	size := r.subsetSize()
	keep := min(r.settings.FarKeep, len(far), size)
	chosen := slices.Clone(near[:min(len(near), size-keep)])
	chosen = append(chosen, far[:min(len(far), size-len(chosen))]...)
	if !slices.Equal(chosen, r.subset.agents) {
		r.subset.agents = chosen
		r.subset.version++
	}
}

// split orders the agents of the own region and those of the others, near regions first.
func (r *Router) split() (near, far []*agent) {
	ranks := make(map[int][]*agent)
	for _, a := range r.agents {
		if a.leaving || a.instance.Leaving {
			continue
		}
		ranks[a.rank] = append(ranks[a.rank], a)
	}
	order := make([]int, 0, len(ranks))
	for rank := range ranks {
		order = append(order, rank)
	}
	slices.Sort(order)
	for _, rank := range order {
		spread := r.spread(ranks[rank])
		if rank == 0 {
			near = spread
			continue
		}
		far = append(far, spread...)
	}
	return near, far
}

// spread takes the failure domains in turns, within each the highest hash scores first.
func (r *Router) spread(agents []*agent) []*agent {
	domains := make(map[string][]string)
	for _, a := range agents {
		domains[a.instance.Domain] = append(domains[a.instance.Domain], a.instance.Name)
	}
	key := r.settings.Name + "/" + r.settings.Service
	turns := make([]string, 0, len(domains))
	for domain, names := range domains {
		domains[domain] = rhash.Pick(key, names, len(names))
		turns = append(turns, domain)
	}
	turns = rhash.Pick(key, turns, len(turns))
	spread := make([]*agent, 0, len(agents))
	for i := 0; len(spread) < len(agents); i++ {
		for _, domain := range turns {
			if i < len(domains[domain]) {
				spread = append(spread, r.agents[domains[domain][i]])
			}
		}
	}
	return spread
}

// resize widens the subset when its best near agent is busy, and narrows it after a calm time.
func (r *Router) resize(now time.Time, best time.Duration) {
	if !r.settings.usesRegions() {
		return
	}
	if best > r.settings.WidenWait {
		r.subset.busyAt = now
		r.widen(now)
		return
	}
	calm := now.Sub(max2(r.subset.busyAt, r.subset.changed)) >= r.settings.NarrowAfter
	if calm && r.subset.doublings > 0 {
		r.subset.doublings--
		r.subset.changed = now
		r.rebuild()
	}
}

func (r *Router) widen(now time.Time) {
	pause := now.Sub(r.subset.changed) < widenPause
	if pause || r.subsetSize() >= min(r.settings.SubsetMax, len(r.agents)) {
		return
	}
	r.subset.doublings++
	r.subset.changed = now
	r.rebuild()
}

func max2(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareNames(a, b *agent) int { return cmp.Compare(a.instance.Name, b.instance.Name) }
