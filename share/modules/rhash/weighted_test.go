package rhash_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/rhash"
)

func TestPickWeightedSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	members := []rhash.Weighted{{Name: "small", Weight: 1}, {Name: "middle", Weight: 2}, {Name: "large", Weight: 5}}
	counts := map[string]int{}
	for i := range keyCount {
		counts[rhash.PickWeighted(fmt.Sprint(i), members)[0]]++
	}
	for _, m := range members {
		want := m.Weight / 8 * keyCount
		is.True(math.Abs(float64(counts[m.Name])-want) < 4*math.Sqrt(want))
	}
}

// Guards against keys that change their member when another member leaves.
func TestPickWeightedMovesOnlyKeysOfRemovedMember(t *testing.T) {
	is := is.New(t)
	members := []rhash.Weighted{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "c", Weight: 2}}
	for i := range keyCount {
		key := fmt.Sprint(i)
		before := rhash.PickWeighted(key, members)
		after := rhash.PickWeighted(key, members[:2])
		if before[0] != "c" {
			is.Equal(after[0], before[0])
		}
	}
}

func TestFirstWeightedEqualsFirstOfPickWeighted(t *testing.T) {
	is := is.New(t)
	members := []rhash.Weighted{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "c", Weight: 2}}
	for i := range keyCount {
		key := fmt.Sprint(i)
		is.Equal(rhash.FirstWeighted(key, members), rhash.PickWeighted(key, members)[0])
	}
	is.Equal(rhash.FirstWeighted("key", nil), "")
}
