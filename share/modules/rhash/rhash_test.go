package rhash_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/modules/rhash"
)

const (
	members = 20
	keys    = 4096
)

// assign returns the member of a key.
type assign func(key string, names []string) string

func byRendezvous(key string, names []string) string { return rhash.Pick(key, names, 1)[0] }

func byModulo(key string, names []string) string {
	return names[xxhash.Sum64String(key)%uint64(len(names))]
}

// byShuffle seeds a shuffle of the members with the key and takes the first.
func byShuffle(key string, names []string) string {
	shuffled := slices.Clone(names)
	r := rand.New(rand.NewPCG(xxhash.Sum64String(key), 1))
	r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[0]
}

func names(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("agent-%02d", i))
	}
	return list
}

// movedShare is the share of keys whose member differs between two lists.
func movedShare(a assign, before, after []string) float64 {
	moved := 0
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		if a(key, before) != a(key, after) {
			moved++
		}
	}
	return float64(moved) / keys
}

func TestMovedShareAgainstOtherRules(t *testing.T) {
	is := is.New(t)
	all := names(members)
	cases := map[string][2][]string{
		"joins":  {all[:members-1], all},
		"leaves": {all, slices.Delete(slices.Clone(all), 7, 8)},
	}
	for name, c := range cases {
		ours := movedShare(byRendezvous, c[0], c[1])
		modulo := movedShare(byModulo, c[0], c[1])
		shuffle := movedShare(byShuffle, c[0], c[1])
		t.Logf("one of %d %s: rendezvous %.4f, modulo %.4f, seeded shuffle %.4f", members, name, ours, modulo, shuffle)
		is.True(ours < 2.0/members) // an even share is 1/members
		is.True(modulo > 5*ours)
		is.True(shuffle > 5*ours)
	}
}

func TestPickMovesOnlyToTheNewMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 2, 30, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, len(list)-1).Draw(t, "n")
		joined := list[len(list)-1]
		before := rhash.Pick(key, list[:len(list)-1], n)
		after := rhash.Pick(key, list, n)
		for _, name := range after {
			if name != joined && !slices.Contains(before, name) {
				t.Fatalf("%s came in though only %s joined", name, joined)
			}
		}
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		if !slices.Equal(after, rhash.Pick(key, reversed, n)) {
			t.Fatal("the order of the list counts")
		}
	})
}

func TestPickBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rhash.Pick("k", names(3), 9)), 3)
	is.Equal(rhash.Pick("k", names(3), 0), nil)
	is.Equal(rhash.Pick("k", nil, 2), nil)
}
