// Package rhash assigns keys to members by rendezvous hashing: each member
// has a score for the key and the highest scores win. A member that joins or
// leaves moves only the keys that it wins or had won. See "Sharding"
// (rendezvous hashing). The package keeps no state.
package rhash

import (
	"cmp"
	"math"
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

// Weighted is a member with its share of the keys.
type Weighted struct {
	Name string
	// Weight is above 0; a member with twice the weight wins twice the keys.
	Weight float64
}

// PickWeighted returns all names, the one that wins the key first. As with Pick, a
// member that joins, leaves or changes its weight moves only keys of its own.
func PickWeighted(key string, members []Weighted) []string {
	ranking := slices.Clone(members)
	slices.SortFunc(ranking, func(a, b Weighted) int {
		return cmp.Or(cmp.Compare(weigh(key, b), weigh(key, a)), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(ranking))
	for _, m := range ranking {
		names = append(names, m.Name)
	}
	return names
}

// FirstWeighted returns the first name of PickWeighted without ordering the others; empty where there is none.
func FirstWeighted(key string, members []Weighted) string {
	name, best := "", 0.0
	for _, m := range members {
		if w := weigh(key, m); name == "" || w > best || w == best && m.Name < name {
			name, best = m.Name, w
		}
	}
	return name
}

// weigh turns the uniform score u into -weight/ln(u), whose maximum falls to a
// member with a probability in proportion to its weight.
func weigh(key string, m Weighted) float64 {
	u := (float64(Score(key, m.Name)>>scoreShift) + 0.5) / (1 << scoreBits)
	return -m.Weight / math.Log(u)
}

const (
	// scoreBits is how much of a score a float64 holds exactly.
	scoreBits  = 53
	scoreShift = 64 - scoreBits
)

func compareScored(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}
