package site

import "slices"

// Software is what a backend server runs.
type Software struct {
	Service string
	Version string
}

// String returns the service and the version, separated by a colon.
func (s Software) String() string { return s.Service + ":" + s.Version }

// Constraints restrict the backend servers that may receive a request, whatever their load. Whoever
// chooses a server for the request, or sends it there, asks them.
type Constraints struct {
	Residency Residency
	// Software, if not nil, has begun the stream that the request continues. What other versions write
	// does not fit to it, and servers do not check that.
	Software *Software
	// Withheld are the versions of the service at which no stream may begin yet.
	Withheld []string
}

// Allow reports whether a server in a region may receive the request.
func (c Constraints) Allow(server *Server, region string) bool {
	return c.Residency.Allows(region) && (c.Software == nil || *c.Software == server.Software()) && !slices.Contains(c.Withheld, server.Version)
}
