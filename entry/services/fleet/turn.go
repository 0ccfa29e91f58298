package fleet

import (
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/rhash"
)

// sweepKey is what the entries are hashed with to find the one that sweeps.
const sweepKey = "claim-sweep"

func namesOf(instances []member.Instance) []string {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.Name)
	}
	return names
}

// IsOwnTurn says whether this entry sweeps the claims: one is picked from the
// lagging list by rendezvous hash, and two that think so do no harm.
func (f *Fleet) IsOwnTurn() bool {
	f.lock.Lock()
	names := append([]string{f.options.Self.Name}, f.entryNames...)
	f.lock.Unlock()
	picked := rhash.Pick(sweepKey, names, 1)
	return len(picked) == 1 && picked[0] == f.options.Self.Name
}
