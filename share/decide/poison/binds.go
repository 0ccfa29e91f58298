package poison

import (
	"slices"

	"verbenaroad.example/share/models/site"
)

// MaxQuarantines bounds the requests in quarantine; the oldest ones are let go first.
const MaxQuarantines = 256

// Binds tells whether a quarantine holds: some server still runs software that the request has
// crashed, or there is no server to tell.
func Binds(q site.Quarantine, servers []site.Server) bool {
	if len(servers) == 0 {
		return true
	}
	return slices.ContainsFunc(servers, func(s site.Server) bool { return slices.Contains(q.Versions, s.Version) })
}

// maxServers bounds the servers that a quarantine names, the last ones.
const maxServers = 8

// Extend adds what is held against a request to its quarantine, which may be empty.
func Extend(q site.Quarantine, service string, s Suspect) site.Quarantine {
	servers := append(slices.Clone(q.Servers), s.Servers...)
	versions := slices.Clone(q.Versions)
	for _, v := range s.Versions {
		if !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return site.Quarantine{Service: service, Servers: servers[max(len(servers)-maxServers, 0):], Versions: versions}
}

// FindExcess returns the keys of the quarantines that are too many, the oldest ones.
func FindExcess(quarantines map[ID]site.Quarantine) []ID {
	ids := make([]ID, 0, len(quarantines))
	for id := range quarantines {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int { return int(quarantines[a].Revision) - int(quarantines[b].Revision) }) //nolint:gosec // revisions are small numbers
	return ids[:max(len(ids)-MaxQuarantines, 0)]
}
