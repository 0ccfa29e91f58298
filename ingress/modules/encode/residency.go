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

// Software encodes the software that a request is limited to. Nil stands for any software.
func Software(s *site.Software) *wire.Software {
	if s == nil {
		return nil
	}
	return &wire.Software{Service: s.Service, Version: s.Version}
}

// ReadSoftware decodes what Software encoded.
func ReadSoftware(message *wire.Software) *site.Software {
	if message == nil {
		return nil
	}
	return &site.Software{Service: message.GetService(), Version: message.GetVersion()}
}

// ReadResidency decodes a residency that Residency encoded.
func ReadResidency(message *wire.Residency) site.Residency {
	return site.Residency{Restricted: message.GetBound(), Regions: message.GetRegions()}
}
