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
	memberCount = 20
	keyCount    = 4096
)

// picker returns the member that gets a key.
type picker func(key string, names []string) string

func byRendezvous(key string, names []string) string { return rhash.Pick(key, names, 1)[0] }

func byModulo(key string, names []string) string {
	return names[xxhash.Sum64String(key)%uint64(len(names))]
}

// byShuffle shuffles the members with the key as the seed and returns the first.
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

// movedShare returns the share of keys whose member differs between two lists of members.
func movedShare(pick picker, before, after []string) float64 {
	moved := 0
	for i := range keyCount {
		key := fmt.Sprintf("key-%d", i)
		if pick(key, before) != pick(key, after) {
			moved++
		}
	}
	return float64(moved) / keyCount
}

func TestRendezvousMovesFewerKeysThanModuloAndShuffle(t *testing.T) {
	is := is.New(t)
	all := names(memberCount)
	cases := map[string][2][]string{
		"joins":  {all[:memberCount-1], all},
		"leaves": {all, slices.Delete(slices.Clone(all), 7, 8)},
	}
	for name, c := range cases {
		ours := movedShare(byRendezvous, c[0], c[1])
		modulo := movedShare(byModulo, c[0], c[1])
		shuffle := movedShare(byShuffle, c[0], c[1])
		t.Logf("one of %d %s: rendezvous %.4f, modulo %.4f, seeded shuffle %.4f", memberCount, name, ours, modulo, shuffle)
		is.True(ours < 2.0/memberCount) // 1/memberCount is the average share of a member
		is.True(modulo > 5*ours)
		is.True(shuffle > 5*ours)
	}
}

func TestPickAddsOnlyTheNewMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 2, 30, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, len(list)-1).Draw(t, "n")
		joined := list[len(list)-1]
		before := rhash.Pick(key, list[:len(list)-1], n)
		after := rhash.Pick(key, list, n)
		for _, name := range after {
			if name != joined && !slices.Contains(before, name) {
				t.Fatalf("%s was added though only %s joined", name, joined)
			}
		}
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		if !slices.Equal(after, rhash.Pick(key, reversed, n)) {
			t.Fatal("the result depends on the order of the names")
		}
	})
}

func TestPickCount(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rhash.Pick("k", names(3), 9)), 3)
	is.Equal(rhash.Pick("k", names(3), 0), nil)
	is.Equal(rhash.Pick("k", nil, 2), nil)
}
