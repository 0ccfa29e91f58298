// Package encode translates the project's types for the links between ingresses.
package encode

import (
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// Residency writes a residency; nil stands for one that allows all regions.
func Residency(r site.Residency) *wire.Residency {
	if !r.Restricted {
		return nil
	}
	return &wire.Residency{Bound: true, Regions: r.Regions}
}

// ReadResidency reads what Residency wrote.
func ReadResidency(told *wire.Residency) site.Residency {
	return site.Residency{Restricted: told.GetBound(), Regions: told.GetRegions()}
}
