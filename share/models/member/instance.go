// Package member describes the instances that the platform's list and the
// sessions between processes show.
package member

import (
	"net/netip"

	"verbenaroad.example/share/models/config"
)

// Role says which program an instance runs.
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
	// Service is the service of the backend server behind an agent; empty for entries.
	Service string
	// Region and Domain place the instance; a failure domain lies within one region.
	Region string
	Domain string
	// Address is where the instance accepts sessions of its peers.
	Address netip.AddrPort
	// Labels are matched by the server selectors of rules, with region, domain, service and name added.
	Labels config.Labels
	// Leaving is set once the list or the instance itself says that it takes no new work.
	Leaving bool
}
