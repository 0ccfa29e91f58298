package fleet

import (
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/rhash"
)

// sweepKey is the rendezvous-hash key that selects the entry that sweeps the claims.
const sweepKey = "claim-sweep"

func namesOf(instances []member.Instance) []string {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.Name)
	}
	return names
}

// IsSweeper reports whether this entry sweeps the claims. One entry is selected from the instance
// list by rendezvous hash. The list may be out of date; two entries that sweep at once do no harm.
func (f *Fleet) IsSweeper() bool {
	f.lock.Lock()
	names := append([]string{f.options.Self.Name}, f.entryNames...)
	f.lock.Unlock()
	picked := rhash.Pick(sweepKey, names, 1)
	return len(picked) == 1 && picked[0] == f.options.Self.Name
}
