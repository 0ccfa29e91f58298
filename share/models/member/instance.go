// Package member defines the instances of the system, as the platform's instance list and the
// processes themselves describe them.
package member

import (
	"net/netip"

	"verbenaroad.example/share/models/config"
)

// Role is the program that an instance runs.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one running process of the system.
type Instance struct {
	// Name is unique in the deployment and survives restarts.
	Name string
	Role Role
	// Service is the service that the agent's backend server provides; empty for entries.
	Service string
	// Region and Domain are the region and the failure domain of the instance. A failure domain
	// lies within one region.
	Region string
	Domain string
	// Address is where the instance accepts sessions from its peers.
	Address netip.AddrPort
	// Labels are matched by the server selectors of rules, together with the region, domain,
	// service and name of the instance.
	Labels config.Labels
	// Leaving is set once the list shows that the instance takes no new work. The instance's own
	// announcement in its heartbeats is not recorded here.
	Leaving bool
}
