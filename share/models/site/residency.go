package site

import "slices"

// Residency restricts the regions in which a request may be served and its data held. The
// zero value allows all regions.
type Residency struct {
	// Restricted is set if a route or a team names allowed regions.
	Restricted bool
	// Regions are the allowed regions. If Restricted is set and Regions is empty, no region
	// is allowed.
	Regions []string
}

// NewResidency allows the regions that all lists have in common. An empty list allows every
// region.
func NewResidency(lists ...[]string) Residency {
	r := Residency{}
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.Restricted:
			r = Residency{Restricted: true, Regions: slices.Clone(list)}
		default:
			r.Regions = slices.DeleteFunc(r.Regions, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return r
}

// Allows reports whether data of the request may be held in a region. An unknown region (the
// empty string) is allowed only if the residency is unrestricted.
func (r Residency) Allows(region string) bool {
	return !r.Restricted || slices.Contains(r.Regions, region)
}
