package mesh

import (
	"slices"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/rhash"
)

// Rank returns the reachable ingresses in the order of their rendezvous scores for a key. Ingresses
// with a higher capacity are first for more keys. This ingress is included unless it is stopping
// and another one is reachable.
func (m *Mesh) Rank(key string) []string {
	candidates := m.listWeighted()
	if len(candidates) == 0 || !m.options.IsLeaving() {
		candidates = append(candidates, weigh(m.options.Self))
	}
	return rhash.PickWeighted(key, candidates)
}

// RankIn returns the ingresses of a region in the order of Rank. It returns those of all regions if
// the region is empty or none of its ingresses is reachable.
func (m *Mesh) RankIn(region, key string) []string {
	ranked := m.Rank(key)
	if region == "" {
		return ranked
	}
	m.lock.Lock()
	inRegion := slices.DeleteFunc(slices.Clone(ranked), func(name string) bool { return m.regionOf(name) != region })
	m.lock.Unlock()
	if len(inRegion) == 0 {
		return ranked
	}
	return inRegion
}

// regionOf returns the region of an ingress. The caller holds the lock.
func (m *Mesh) regionOf(name string) string {
	if name == m.options.Self.Name {
		return m.options.Regions[m.options.Self.Domain]
	}
	return m.options.Regions[m.known[name].Domain]
}

// IsAlone reports whether no other ingress takes new requests, as far as this one knows.
func (m *Mesh) IsAlone() bool { return len(m.listWeighted()) == 0 }

// minCapacity is the capacity assumed for an ingress that reports none, and the least that counts.
const minCapacity = 0.1

// weigh returns the weight of an ingress, which is the cube of its capacity. Larger ingresses are
// thus chosen much more often to work for all others, because a small one that batches for all of
// them slows all of them down.
func weigh(i site.Ingress) rhash.Weighted {
	capacity := max(i.Capacity, minCapacity)
	return rhash.Weighted{Name: i.Name, Weight: capacity * capacity * capacity}
}
