package site

import (
	"maps"
	"slices"
)

// Inventory lists the software versions of the services that streams may have begun at lately. The ingresses
// write it to the store, so that it outlives all of them.
type Inventory struct {
	// Versions are the versions by service, sorted.
	Versions map[string][]string
	// Pending are those of Versions at which no stream begins yet, by service, sorted.
	Pending map[string][]string
	// IsComplete is set if whoever wrote the inventory knew that no version is missing.
	IsComplete bool
	// Era is that of the store in which somebody who knew that last confirmed it. A store that was restored
	// from a copy may hold an older inventory; it then states an earlier era.
	Era uint64
	// Revision is that of the record in the store.
	Revision Revision
}

// ListSoftware returns the software, sorted by service and version.
func (i Inventory) ListSoftware() []Software { return listSoftware(i.Versions) }

// ListPending returns the software at which no stream begins yet, sorted by service and version.
func (i Inventory) ListPending() []Software { return listSoftware(i.Pending) }

// IsPending reports whether a software is named, and no stream begins there yet.
func (i Inventory) IsPending(s Software) bool {
	return slices.Contains(i.Pending[s.Service], s.Version)
}

func listSoftware(versions map[string][]string) []Software {
	list := []Software{}
	for _, service := range slices.Sorted(maps.Keys(versions)) {
		for _, version := range versions[service] {
			list = append(list, Software{Service: service, Version: version})
		}
	}
	return list
}
