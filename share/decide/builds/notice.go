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

// NamesAny reports whether the inventory names a version of a service.
func (h *History) NamesAny(service string) bool {
	return h.inventory != nil && len(h.inventory.Versions[service]) > 0
}

// NoticeLeft returns how much longer no stream may begin at a software; 0: it may begin. The notice counts from when this
// ingress has read that the inventory announces it, unless another one has written that it is over. That of a software that
// the inventory does not name counts from when its servers have registered.
func (h *History) NoticeLeft(now time.Time, s site.Software) time.Duration {
	since, isKnown := now, false
	switch {
	case h.isAnnounced(s) && !h.opened[s]:
		since, isKnown = h.announcedSince[s]
	case !h.IsNamed(s):
		since, isKnown = h.presentSince[s]
	default:
		return 0
	}
	if !isKnown {
		return h.terms.Notice
	}
	return max(since.Add(h.terms.Notice).Sub(now), 0)
}

// Update returns the inventory as it should be in the given era of the store, and false if it is so already.
// Versions leave it only once this ingress has observed for long enough that they are not in use, and the last
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
		kept := h.listKept(now, service)
		if len(kept) == 0 {
			continue
		}
		updated.Versions[service] = kept
		for _, version := range kept {
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

// listKept returns the versions of a service that the inventory should name, sorted.
func (h *History) listKept(now time.Time, service string) []string {
	kept, named := slices.Clone(h.present[service]), []string(nil)
	if h.inventory != nil {
		named = h.inventory.Versions[service]
	}
	for version, at := range h.lastSeen[service] {
		if now.Sub(at) <= h.dropTime() {
			kept = append(kept, version)
		}
	}
	if !h.hasObserved(h.dropTime()) || len(kept) == 0 {
		kept = append(kept, named...)
	}
	slices.Sort(kept)
	return slices.Compact(kept)
}

// needsNotice reports whether no stream may begin at a software yet. The first versions that a complete inventory names
// of a service need no notice: nobody takes another version of the service for the only one.
func (h *History) needsNotice(now time.Time, era uint64, s site.Software) bool {
	switch {
	case h.opened[s]:
		return false
	case h.IsNamed(s):
		return h.NoticeLeft(now, s) > 0
	case h.inventory == nil:
		return !h.isFirstRun
	case len(h.inventory.Versions[s.Service]) > 0:
		return true
	default:
		return !h.isComplete || !h.inventory.IsComplete || h.inventory.Era != era
	}
}
