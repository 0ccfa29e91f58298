// Package builds tracks which software versions the servers of a service have had lately. While that was
// only one, it is known which version began a stream, without any record of that stream.
package builds

import (
	"maps"
	"slices"
	"time"
)

// MinRetention is the least time for which a version counts after its last server has gone.
const MinRetention = time.Minute

// History holds the versions of the services as one ingress has observed them. It is not safe for
// concurrent use.
type History struct {
	services map[string]*service
	// retention is longer than a stream may last until its caller takes it up again.
	retention time.Duration
}

type service struct {
	// observedSince is when this ingress first observed the service.
	observedSince time.Time
	// lastSeen holds when a server of each version was last registered.
	lastSeen map[string]time.Time
	// present are the versions that are registered now, sorted.
	present []string
	// marked is set if the store holds a mark that the service had several versions lately. Such a mark
	// tells an ingress what happened before its start.
	marked bool
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{services: map[string]*service{}, retention: MinRetention}
}

// SetRetention sets how long a version counts after its last server has gone, MinRetention at least.
func (h *History) SetRetention(d time.Duration) { h.retention = max(d, MinRetention) }

// Observe records the versions of all registered servers by service, and the services that are marked
// in the store.
func (h *History) Observe(now time.Time, versions map[string][]string, marked map[string]bool) {
	for name := range versions {
		if h.services[name] == nil {
			h.services[name] = &service{observedSince: now, lastSeen: map[string]time.Time{}}
		}
	}
	for name, s := range h.services {
		for _, version := range s.present {
			s.lastSeen[version] = now // until now
		}
		s.present = versions[name]
		for _, version := range s.present {
			s.lastSeen[version] = now
		}
		s.marked = marked[name]
		maps.DeleteFunc(s.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) > h.retention })
		if len(s.lastSeen) == 0 {
			delete(h.services, name)
		}
	}
}

// Sole returns the only version that the servers of a service have had within the retention, or false if
// there were several, or none, or if it is not known.
func (h *History) Sole(now time.Time, name string) (version string, known bool) {
	s := h.services[name]
	if s == nil || s.marked && now.Sub(s.observedSince) <= h.retention {
		return "", false
	}
	recent := s.listRecent(now, h.retention)
	if len(recent) != 1 {
		return "", false
	}
	return recent[0], true
}

// listRecent returns the versions that were registered within the retention.
func (s *service) listRecent(now time.Time, retention time.Duration) []string {
	recent := slices.Clone(s.present)
	for version, at := range s.lastSeen {
		if now.Sub(at) <= retention && !slices.Contains(recent, version) {
			recent = append(recent, version)
		}
	}
	return recent
}

// ListUnmarked returns the services that have several versions now and are not marked as such, sorted.
func (h *History) ListUnmarked() []string {
	return h.list(func(_ string, s *service) bool { return len(s.present) > 1 && !s.marked })
}

// ListOutdated returns the marked services that have had a single version for as long as the retention,
// sorted.
func (h *History) ListOutdated(now time.Time) []string {
	return h.list(func(name string, s *service) bool {
		_, known := h.Sole(now, name)
		return s.marked && known
	})
}

func (h *History) list(matches func(string, *service) bool) []string {
	names := []string{}
	for name, s := range h.services {
		if matches(name, s) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
