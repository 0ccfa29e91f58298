// Package rhash assigns keys to members by rendezvous hashing: each member
// has a score for the key and the highest scores win. A member that joins or
// leaves moves only the keys that it wins or had won. See "Sharding"
// (rendezvous hashing). The package keeps no state.
package rhash

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator keeps key and name apart, so that "a"+"bc" and "ab"+"c" score differently.
const separator = "\x00"

type scored struct {
	name  string
	score uint64
}

// Pick returns the n names with the highest scores for the key, highest first, ties by name.
// The order of names does not matter; fewer come back when there are fewer.
func Pick(key string, names []string, n int) []string {
	n = min(n, len(names))
	if n <= 0 {
		return nil
	}
	ranking := make([]scored, 0, len(names))
	for _, name := range names {
		ranking = append(ranking, scored{name: name, score: Score(key, name)})
	}
	slices.SortFunc(ranking, compareScored)
	picked := make([]string, 0, n)
	for _, s := range ranking[:n] {
		picked = append(picked, s.name)
	}
	return picked
}

// Score returns the score of a member for a key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

func compareScored(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}
