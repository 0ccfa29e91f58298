package builds

import (
	"maps"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// IsNamed reports whether the inventory names a software.
func (h *History) IsNamed(s site.Software) bool {
	return h.inventory != nil && slices.Contains(h.inventory.Versions[s.Service], s.Version)
}

// NoticeLeft returns how much longer no stream may begin at a software that the inventory names; 0: it may begin. The
// notice counts from when this ingress has read of it, unless another one has written that it is over.
func (h *History) NoticeLeft(now time.Time, s site.Software) time.Duration {
	if !h.isAnnounced(s) {
		return 0
	}
	return max(h.announcedSince[s].Add(h.terms.Notice).Sub(now), 0)
}

// Update returns the inventory as it should be in the given era of the store, and false if it is so already.
// Versions leave it only once this ingress has observed for the whole retention that they are not in use, and the last
// one of a service stays, so that the next one is announced.
func (h *History) Update(now time.Time, era uint64) (updated site.Inventory, isDue bool) {
	present := site.Inventory{}
	if h.inventory != nil {
		present = *h.inventory
	}
	updated = site.Inventory{
		Versions: map[string][]string{}, Pending: map[string][]string{},
		IsComplete: present.IsComplete, Era: present.Era, Revision: present.Revision,
	}
	for _, service := range h.listServices() {
		recent := h.listRecent(now, service)
		if len(recent) == 0 {
			recent = present.Versions[service]
		}
		if len(recent) == 0 {
			continue
		}
		updated.Versions[service] = recent
		for _, version := range recent {
			if h.needsNotice(now, era, site.Software{Service: service, Version: version}) {
				updated.Pending[service] = append(updated.Pending[service], version)
			}
		}
	}
	if h.isComplete && h.hasSettled() {
		updated.IsComplete, updated.Era = true, era
	}
	isSame := h.inventory != nil && updated.IsComplete == present.IsComplete && updated.Era == present.Era &&
		maps.EqualFunc(updated.Versions, present.Versions, slices.Equal) && maps.EqualFunc(updated.Pending, present.Pending, slices.Equal)
	return updated, !isSame
}

// needsNotice reports whether no stream may begin at a software yet. The first versions that a complete inventory names
// of a service need no notice: nobody takes another version of the service for the only one.
func (h *History) needsNotice(now time.Time, era uint64, s site.Software) bool {
	if h.IsNamed(s) {
		return h.NoticeLeft(now, s) > 0
	}
	if h.opened[s] {
		return false
	}
	if h.inventory == nil {
		return !h.isFirstRun
	}
	isFirst := len(h.inventory.Versions[s.Service]) == 0
	return !isFirst || !h.isComplete || !h.inventory.IsComplete || h.inventory.Era != era
}
