// Package encode converts between types of package site and the messages on links between ingresses.
package encode

import (
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// Residency encodes a residency. Nil stands for a residency that allows all regions.
func Residency(r site.Residency) *wire.Residency {
	if !r.Restricted {
		return nil
	}
	return &wire.Residency{Bound: true, Regions: r.Regions}
}

// ReadResidency decodes a residency that Residency encoded.
func ReadResidency(message *wire.Residency) site.Residency {
	return site.Residency{Restricted: message.GetBound(), Regions: message.GetRegions()}
}
