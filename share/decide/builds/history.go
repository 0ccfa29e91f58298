// Package builds tracks which software versions the servers of the services have had lately. While a service
// had only one, it is known which version began a stream, without any record of that stream.
//
// No ingress has seen everything: it starts after others, it may be cut off or stand still, and all of them may be lost
// at once. What they have seen together is the inventory, a record in the store. It announces a version for a
// time, the notice, before streams begin there. Whoever relies on what the store has confirmed for a shorter time, the
// lease, cannot miss a version at which streams have begun: it has read the announcement, or its lease has ended.
// A version that is missing in a complete inventory was not in use.
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
	// dropDelay is how much longer it stays in the inventory: an ingress that is cut off for less than both does not begin
	// streams at a version that the others have dropped.
	dropDelay = 4 * time.Minute
)

// Terms are the times that the ingresses of a deployment agree on. All of them count suspensions of the machine.
type Terms struct {
	// Lease is how long after the store confirmed it a version may be taken for the only one. The store must also
	// confirm what is known that often for an ingress to count as an observer.
	Lease time.Duration
	// Notice is how long the inventory announces a version before streams begin there. It exceeds Lease.
	Notice time.Duration
	// Reregister is how long after a restore of the store its servers have registered again.
	Reregister time.Duration
}

// History holds the versions of the services as one ingress knows them. Its times are those of a clock that includes
// suspensions of the machine. It is not safe for concurrent use.
type History struct {
	terms Terms
	// retention is longer than a stream may last until its caller takes it up again.
	retention time.Duration
	// lastSeen holds, by service and version, when a server of the version was last registered or the
	// inventory last named it, as far as this ingress knows.
	lastSeen map[string]map[string]time.Time
	// present are the versions that are registered now, by service, presentSince since when each of them has been, without a
	// break, as far as this ingress knows.
	present      map[string][]string
	presentSince map[site.Software]time.Time
	// inventory is nil if the store holds none.
	inventory *site.Inventory
	// announcedSince holds since when this ingress has known that the inventory announces a software.
	announcedSince map[site.Software]time.Time
	// opened holds the software at which streams may begin, as this ingress has read.
	opened map[site.Software]bool
	// confirmedAt is up to when the store has confirmed what is known here, observedSince since when it has
	// done so without a silence of more than a lease. Both are zero before the first time.
	confirmedAt   time.Time
	observedSince time.Time
	// era is that of the store at the last confirmation, eraSince when this ingress first knew of it; zero if it has known
	// no other one.
	era      uint64
	eraSince time.Time
	// soles holds, by service, the only version as it was last confirmed.
	soles map[string]sole
	// isFirstRun is set if no ingress has run before, so that an inventory that does not exist lacks nothing.
	isFirstRun bool
	// isComplete is set while every version is known that streams may have begun at before this ingress
	// observed the services, and since then.
	isComplete bool
}

// sole is a version that was the only one at a time.
type sole struct {
	version string
	at      time.Time
}

// NewHistory returns an empty history.
func NewHistory(terms Terms) *History {
	return &History{
		terms: terms, retention: MinRetention, lastSeen: map[string]map[string]time.Time{},
		presentSince: map[site.Software]time.Time{}, announcedSince: map[site.Software]time.Time{}, opened: map[site.Software]bool{}, soles: map[string]sole{},
	}
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
	h.observePresent(now)
	h.markSeen(now, versions)
	if inventory != nil && (h.inventory == nil || inventory.Revision != h.inventory.Revision) {
		h.forgetDropped(now, inventory)
		h.markSeen(now, inventory.Versions)
	}
	h.inventory = inventory
	h.observeAnnounced(now)
	for service, seen := range h.lastSeen {
		maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return now.Sub(at) > h.dropTime() })
		if len(seen) == 0 {
			delete(h.lastSeen, service)
		}
	}
}

// observePresent records since when the software that is registered has been.
func (h *History) observePresent(now time.Time) {
	since := map[site.Software]time.Time{}
	for service, versions := range h.present {
		for _, version := range versions {
			s := site.Software{Service: service, Version: version}
			since[s] = now
			if before, wasPresent := h.presentSince[s]; wasPresent {
				since[s] = before
			}
		}
	}
	h.presentSince = since
}

// observeAnnounced records which software the inventory announces, and at which streams may begin.
func (h *History) observeAnnounced(now time.Time) {
	if h.inventory != nil {
		h.isFirstRun = false // if the record is lost later, it lacks what was in it
	}
	maps.DeleteFunc(h.announcedSince, func(s site.Software, _ time.Time) bool { return !h.isAnnounced(s) })
	maps.DeleteFunc(h.opened, func(s site.Software, _ bool) bool {
		_, isSeen := h.lastSeen[s.Service][s.Version]
		return !h.IsNamed(s) && (!isSeen || h.isDeclared())
	})
	if h.inventory == nil {
		return
	}
	for _, s := range h.inventory.ListSoftware() {
		_, isKnown := h.announcedSince[s]
		switch {
		case !h.inventory.IsPending(s):
			h.opened[s] = true
		case !isKnown:
			h.announcedSince[s] = now
		}
	}
}

// isDeclared reports whether the inventory was declared complete in the era of the store in which it was written, so that others
// may rely on what it does not name.
func (h *History) isDeclared() bool {
	return h.inventory != nil && h.inventory.IsComplete && h.inventory.Era == h.inventory.Revision.Era
}

// isAnnounced reports whether the inventory announces a software at which no stream begins yet.
func (h *History) isAnnounced(s site.Software) bool {
	return h.inventory != nil && h.inventory.IsPending(s)
}

// forgetDropped forgets the versions that another ingress has dropped from the inventory, unless this one has seen
// them more recently than it may have. Otherwise the two would add and drop them by turns. One that is added again
// needs a notice again: others may have read that it was dropped. What a restored store lacks was not dropped.
func (h *History) forgetDropped(now time.Time, updated *site.Inventory) {
	if h.inventory == nil || updated.Revision.Era != h.inventory.Revision.Era {
		return
	}
	for service, versions := range h.inventory.Versions {
		for _, version := range versions {
			if slices.Contains(updated.Versions[service], version) {
				continue
			}
			delete(h.opened, site.Software{Service: service, Version: version})
			if at, isSeen := h.lastSeen[service][version]; isSeen && now.Sub(at) > h.dropTime()/2 {
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

// Confirm records that what was observed last contains each change that the store had made at the given time, in the
// given era.
func (h *History) Confirm(at time.Time, era uint64) {
	if h.observedSince.IsZero() || at.Sub(h.confirmedAt) > h.terms.Lease {
		h.observedSince = at
		h.isComplete = false // until a complete inventory shows what was missed
		if h.inventory != nil {
			h.markSeen(at, h.inventory.Versions)
		}
	}
	if at.Before(h.confirmedAt) {
		return
	}
	if !h.confirmedAt.IsZero() && era != h.era {
		h.eraSince = at
	}
	h.era, h.confirmedAt = era, at
	switch {
	case h.inventory != nil && h.inventory.IsComplete && h.inventory.Era == era,
		h.inventory == nil && h.isFirstRun,
		h.hasObservedAll():
		h.isComplete = true
	}
	h.confirmSoles(era)
}

// confirmSoles records which services have had one version only. Streams may begin without a notice at each version that
// the inventory names, and at the first one of a service to be named.
func (h *History) confirmSoles(era uint64) {
	if h.inventory == nil || !h.isComplete || h.inventory.Era != era || !h.hasSettled() {
		return
	}
	for service, named := range h.inventory.Versions {
		recent := h.listRecent(h.confirmedAt, service)
		if len(named) == 1 && slices.Equal(recent, named) {
			h.soles[service] = sole{version: named[0], at: h.confirmedAt}
		}
	}
}

// hasSettled reports whether the servers have registered again since the store was restored. Until then a version may be
// unknown that was announced just before, and that the restored store lacks.
func (h *History) hasSettled() bool {
	return h.eraSince.IsZero() || h.confirmedAt.Sub(h.eraSince) >= h.terms.Reregister
}

// dropTime is how long after its last server has gone a version leaves the inventory.
func (h *History) dropTime() time.Duration { return h.retention + dropDelay }

// hasObservedAll reports whether this ingress has itself observed the services for as long as versions count.
func (h *History) hasObservedAll() bool { return h.hasObserved(h.retention) }

func (h *History) hasObserved(d time.Duration) bool {
	return !h.observedSince.IsZero() && h.confirmedAt.Sub(h.observedSince) > d
}

// Sole returns the only version at which streams of a service may have begun until now, within the retention, or false
// if there were several, or none, or if it is not known. A version that has been announced meanwhile changes nothing
// within the lease.
func (h *History) Sole(now time.Time, service string) (version string, known bool) {
	last, isKnown := h.soles[service]
	if !isKnown || now.Sub(last.at) > h.terms.Lease {
		return "", false
	}
	for _, other := range h.listRecent(now, service) {
		if other != last.version && h.opened[site.Software{Service: service, Version: other}] {
			return "", false // it began streams without a notice
		}
	}
	return last.version, true
}

// listRecent returns the versions at which streams of a service may have begun within the retention, or may begin soon,
// sorted.
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

// IsComplete reports whether every version is known that streams may have begun at.
func (h *History) IsComplete() bool { return h.isComplete }

// ListMixed returns the services of which streams may have begun, or may begin, at several versions, sorted.
func (h *History) ListMixed(now time.Time) []string {
	return slices.DeleteFunc(h.listServices(), func(s string) bool {
		versions := h.listRecent(now, s)
		if h.inventory != nil {
			versions = append(versions, h.inventory.Versions[s]...)
		}
		slices.Sort(versions)
		return len(slices.Compact(versions)) < 2
	})
}

// listServices returns the services of which a version is known, sorted.
func (h *History) listServices() []string {
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
	return slices.Sorted(maps.Keys(services))
}

// Retention returns how long a version counts after its last server has gone.
func (h *History) Retention() time.Duration { return h.retention }
