// Package rhash assigns keys to members by rendezvous hashing: each member has a score for a key,
// and the members with the highest scores get the key. When a member joins or leaves, only the keys
// move that it gets or had. See "Sharding" (rendezvous hashing). The package keeps no state.
package rhash

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator stands between key and name, so that "a"+"bc" and "ab"+"c" have different scores.
const separator = "\x00"

type scored struct {
	name  string
	score uint64
}

// Pick returns the n names with the highest scores for the key, in descending order of the score
// and ties by name. The order of names does not matter. If there are fewer than n names, it returns
// all.
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

// Fraction returns the score of a member for a key as a number in [0, 1).
func Fraction(key, name string) float64 {
	return float64(Score(key, name)>>scoreShift) / (1 << scoreMantissaBits)
}

// Weighted is a member with a weight, which determines its share of the keys.
type Weighted struct {
	Name string
	// Weight must be above 0. A member with twice the weight gets twice as many keys.
	Weight float64
}

// PickWeighted returns all names in descending order of their weighted scores for the key. As with
// Pick, when a member joins, leaves or changes its weight, only keys move that it gets or had.
func PickWeighted(key string, members []Weighted) []string {
	ranking := make([]Weighted, 0, len(members))
	for _, m := range members {
		ranking = append(ranking, Weighted{Name: m.Name, Weight: weightedScore(key, m)})
	}
	slices.SortFunc(ranking, func(a, b Weighted) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(ranking))
	for _, m := range ranking {
		names = append(names, m.Name)
	}
	return names
}

// FirstWeighted returns the first name of PickWeighted without sorting all names. It returns an
// empty string if there are no members.
func FirstWeighted(key string, members []Weighted) string {
	name, best := "", 0.0
	for _, m := range members {
		if w := weightedScore(key, m); name == "" || w > best || w == best && m.Name < name {
			name, best = m.Name, w
		}
	}
	return name
}

// weightedScore returns -weight/ln(u), where u is the score scaled to a uniform value between 0
// and 1. The probability that a member has the highest weighted score is proportional to its
// weight.
func weightedScore(key string, m Weighted) float64 {
	u := (float64(Score(key, m.Name)>>scoreShift) + 0.5) / (1 << scoreMantissaBits)
	return -m.Weight / math.Log(u)
}

const (
	// scoreMantissaBits is the number of bits of a score that a float64 represents exactly.
	scoreMantissaBits = 53
	scoreShift        = 64 - scoreMantissaBits
)

func compareScored(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}
