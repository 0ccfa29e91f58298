package poison

import (
	"slices"

	"verbenaroad.example/share/models/site"
)

// MaxQuarantines limits the number of quarantined requests. Above it the oldest quarantines
// are ended first.
const MaxQuarantines = 256

// QuarantineApplies reports whether a quarantine is in force: at least one of the servers of
// its service runs a software version that the request has crashed, or no servers are known.
func QuarantineApplies(q site.Quarantine, servers []site.Server) bool {
	if len(servers) == 0 {
		return true
	}
	return slices.ContainsFunc(servers, func(s site.Server) bool { return slices.Contains(q.Versions, s.Version) })
}

// maxQuarantineServers limits the servers that a quarantine lists. The most recent are kept.
const maxQuarantineServers = 8

// ExtendQuarantine adds the servers and versions that a request has crashed to its quarantine.
// The quarantine may be the zero value.
func ExtendQuarantine(q site.Quarantine, service string, s Suspect) site.Quarantine {
	servers := append(slices.Clone(q.Servers), s.Servers...)
	versions := slices.Clone(q.Versions)
	for _, v := range s.Versions {
		if !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return site.Quarantine{Service: service, Servers: servers[max(len(servers)-maxQuarantineServers, 0):], Versions: versions}
}

// FindExcessQuarantines returns the IDs of the quarantines beyond MaxQuarantines, oldest first.
// Their age is judged by the revisions of their records.
func FindExcessQuarantines(quarantines map[ID]site.Quarantine) []ID {
	ids := make([]ID, 0, len(quarantines))
	for id := range quarantines {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int { return quarantines[a].Revision.Compare(quarantines[b].Revision) })
	return ids[:max(len(ids)-MaxQuarantines, 0)]
}
