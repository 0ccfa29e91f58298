// Package builds tracks which software versions the servers of the services have had lately. While a service
// had only one, it is known which version began a stream, without any record of that stream.
//
// No ingress has seen everything: it starts after others, it may be cut off, and all of them may be lost at
// once. What they have seen together is the inventory, a record in the store that names each version before a
// stream begins there. A version that is missing in a complete inventory was not in use.
package builds

import (
	"maps"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

const (
	// MinRetention is the least time for which a version counts after its last server has gone.
	MinRetention = time.Minute
	// maxSilence is how long the store may have confirmed nothing to an ingress that observes the versions.
	// Those that come and go meanwhile are known from the inventory only.
	maxSilence = 3 * time.Second
)

// History holds the versions of the services as one ingress knows them. It is not safe for concurrent use.
type History struct {
	// retention is longer than a stream may last until its caller takes it up again.
	retention time.Duration
	// lastSeen holds, by service and version, when a server of the version was last registered or the
	// inventory last named it, as far as this ingress knows.
	lastSeen map[string]map[string]time.Time
	// present are the versions that are registered now, by service.
	present map[string][]string
	// inventory is nil if the store holds none.
	inventory *site.Inventory
	// confirmedAt is up to when the store has confirmed what is known here, observedSince since when it has
	// done so without a silence of more than maxSilence. Both are zero before the first time.
	confirmedAt   time.Time
	observedSince time.Time
	// isFirstRun is set if no ingress has run before, so that an inventory that does not exist lacks nothing.
	isFirstRun bool
	// isComplete is set once every version is known that streams may have begun at before this ingress
	// observed the services.
	isComplete bool
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{retention: MinRetention, lastSeen: map[string]map[string]time.Time{}}
}

// SetRetention sets how long a version counts after its last server has gone, MinRetention at least.
func (h *History) SetRetention(d time.Duration) { h.retention = max(d, MinRetention) }

// MarkFirstRun records that no ingress has run before this one, or together with it.
func (h *History) MarkFirstRun() { h.isFirstRun = true }

// Observe records the versions of all registered servers by service, and the inventory, nil if the store
// holds none.
func (h *History) Observe(now time.Time, versions map[string][]string, inventory *site.Inventory) {
	h.markSeen(now, h.present) // until now
	h.present = versions
	h.markSeen(now, versions)
	if inventory != nil && (h.inventory == nil || inventory.Revision != h.inventory.Revision) {
		h.forgetDropped(now, inventory)
		h.markSeen(now, inventory.Versions)
	}
	h.inventory = inventory
	for service, seen := range h.lastSeen {
		maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return now.Sub(at) > h.retention })
		if len(seen) == 0 {
			delete(h.lastSeen, service)
		}
	}
}

// forgetDropped forgets the versions that another ingress has dropped from the inventory, unless this one has seen
// them more recently than it may have. Otherwise the two would add and drop them by turns. What a restored
// store lacks was not dropped.
func (h *History) forgetDropped(now time.Time, updated *site.Inventory) {
	if h.inventory == nil || updated.Revision.Era != h.inventory.Revision.Era {
		return
	}
	for service, versions := range h.inventory.Versions {
		for _, version := range versions {
			at, isSeen := h.lastSeen[service][version]
			if isSeen && !slices.Contains(updated.Versions[service], version) && now.Sub(at) > h.retention/2 {
				delete(h.lastSeen[service], version)
			}
		}
	}
}

// markSeen records that servers with these versions were registered at the given time, or named by the inventory.
func (h *History) markSeen(now time.Time, versions map[string][]string) {
	for service, list := range versions {
		if h.lastSeen[service] == nil {
			h.lastSeen[service] = map[string]time.Time{}
		}
		for _, version := range list {
			if now.After(h.lastSeen[service][version]) {
				h.lastSeen[service][version] = now
			}
		}
	}
}

// Confirm records that what was observed last is what the store held at the given time in the given era.
func (h *History) Confirm(at time.Time, era uint64) {
	if h.observedSince.IsZero() || at.Sub(h.confirmedAt) > maxSilence {
		h.observedSince = at
		if h.inventory != nil {
			h.markSeen(at, h.inventory.Versions)
		}
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
	switch {
	case h.inventory != nil && h.inventory.IsComplete && h.inventory.Era == era,
		h.inventory == nil && h.isFirstRun,
		h.hasObservedAll():
		h.isComplete = true
	}
}

// hasObservedAll reports whether this ingress has itself observed the services for as long as versions count.
func (h *History) hasObservedAll() bool {
	return !h.observedSince.IsZero() && h.confirmedAt.Sub(h.observedSince) > h.retention
}

// ConfirmedAt returns up to when the store has confirmed what is known here; zero: it has not.
func (h *History) ConfirmedAt() time.Time { return h.confirmedAt }

// Sole returns the only version at which streams of a service may have begun within the retention, or false if
// there were several, or none, or if it is not known.
func (h *History) Sole(now time.Time, service string) (version string, known bool) {
	if !h.isComplete {
		return "", false
	}
	recent := h.listRecent(now, service)
	if len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// listRecent returns the versions at which streams of a service may have begun within the retention, sorted.
func (h *History) listRecent(now time.Time, service string) []string {
	recent := slices.Clone(h.present[service])
	for version, at := range h.lastSeen[service] {
		if now.Sub(at) <= h.retention {
			recent = append(recent, version)
		}
	}
	if h.inventory != nil && !h.hasObservedAll() {
		recent = append(recent, h.inventory.Versions[service]...)
	}
	slices.Sort(recent)
	return slices.Compact(recent)
}

// ListMixed returns the services of which streams may have begun at several versions within the retention, sorted.
func (h *History) ListMixed(now time.Time) []string {
	services := map[string]bool{}
	for service := range h.present {
		services[service] = true
	}
	for service := range h.lastSeen {
		services[service] = true
	}
	if h.inventory != nil {
		for service := range h.inventory.Versions {
			services[service] = true
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(services)), func(s string) bool { return len(h.listRecent(now, s)) < 2 })
}

// Retention returns how long a version counts after its last server has gone.
func (h *History) Retention() time.Duration { return h.retention }

// IsRecorded reports whether the inventory names a version.
func (h *History) IsRecorded(software site.Software) bool {
	return h.inventory != nil && slices.Contains(h.inventory.Versions[software.Service], software.Version)
}

// Update returns the inventory as it should be in the given era of the store, and false if it is so already.
// Versions leave it only once this ingress has observed for the whole retention that they are not in use.
func (h *History) Update(now time.Time, era uint64) (updated site.Inventory, isDue bool) {
	present := site.Inventory{}
	if h.inventory != nil {
		present = *h.inventory
	}
	updated = site.Inventory{Versions: map[string][]string{}, IsComplete: present.IsComplete, Era: present.Era, Revision: present.Revision}
	for _, versions := range []map[string][]string{h.present, present.Versions} {
		for service := range versions {
			if recent := h.listRecent(now, service); len(recent) > 0 {
				updated.Versions[service] = recent
			}
		}
	}
	if h.isComplete {
		updated.IsComplete, updated.Era = true, era
	}
	isSame := h.inventory != nil && updated.IsComplete == present.IsComplete && updated.Era == present.Era &&
		maps.EqualFunc(updated.Versions, present.Versions, slices.Equal)
	return updated, !isSame
}
