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
	// IsComplete is set if whoever wrote the inventory knew that no version is missing.
	IsComplete bool
	// Era is that of the store in which somebody who knew that last confirmed it. A store that was restored
	// from a copy may hold an older inventory; it then states an earlier era.
	Era uint64
	// Revision is that of the record in the store.
	Revision Revision
}

// ListSoftware returns the software, sorted by service and version.
func (i Inventory) ListSoftware() []Software {
	list := []Software{}
	for _, service := range slices.Sorted(maps.Keys(i.Versions)) {
		for _, version := range i.Versions[service] {
			list = append(list, Software{Service: service, Version: version})
		}
	}
	return list
}
