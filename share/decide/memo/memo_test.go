package memo_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/modules/rhash"
)

// Guards against a table that grows without a limit, that returns an expired memo, or that drops the newest
// ones.
func TestTableIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		table := memo.NewTable(limit)
		now := time.Unix(0, 0)
		written := []memo.Memo{}
		for n := range rapid.IntRange(1, 200).Draw(t, "writes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			m := memo.Memo{
				Key: fmt.Sprint("k", rapid.IntRange(0, 40).Draw(t, "key")), Value: []byte{byte(n)},
				ExpiresAt: now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "life")) * time.Second),
			}
			if err := table.Put(now, m); err != nil {
				t.Fatal(err)
			}
			written = append(slices.DeleteFunc(written, func(w memo.Memo) bool { return w.Key == m.Key }), m)
			if table.Count() > limit {
				t.Fatalf("%d memos, the limit is %d", table.Count(), limit)
			}
			for i, w := range written {
				got, found := table.Find(now, w.Key)
				isExpired := !now.Before(w.ExpiresAt)
				if found && (isExpired || got.Value[0] != w.Value[0]) {
					t.Fatalf("%s: found %v, written %v", w.Key, got, w)
				}
				if !found && !isExpired && i >= len(written)-limit {
					t.Fatalf("%s is one of the newest and was dropped", w.Key)
				}
			}
		}
	})
}

// Guards against memos whose keys or values are of any size.
func TestLargeMemosAreNotKept(t *testing.T) {
	is := is.New(t)
	table := memo.NewTable(4)
	later := time.Unix(60, 0)
	is.True(table.Put(time.Unix(0, 0), memo.Memo{Key: "", ExpiresAt: later}) != nil)
	is.True(table.Put(time.Unix(0, 0), memo.Memo{Key: string(make([]byte, 161)), ExpiresAt: later}) != nil)
	is.True(table.Put(time.Unix(0, 0), memo.Memo{Key: "k", Value: make([]byte, 257), ExpiresAt: later}) != nil)
	is.Equal(table.Count(), 0)
}

// newHolders returns n ingresses in three failure domains, ordered by their score for a key.
func newHolders(n int, key string) []memo.Holder {
	names := []string{}
	for i := range n {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	holders := []memo.Holder{}
	for _, name := range rhash.Pick(memo.ShardKey(key), names, len(names)) {
		i := 0
		_, _ = fmt.Sscanf(name, "i%d", &i)
		holders = append(holders, memo.Holder{Name: name, Domain: fmt.Sprint("d", i%3)})
	}
	return holders
}

// Guards against a memo that is lost, or not found where it is looked up first, when half of the ingresses
// or a whole failure domain are lost.
func TestCopiesOutliveTheLossOfHalfOfTheIngresses(t *testing.T) {
	const copies, asked = 3, 12
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{6, 20, 60, 420} {
		kept, lost := 0, 0
		for k := range 400 {
			holders := newHolders(n, fmt.Sprint("stream/", k))
			owners := memo.OrderHolders(holders)[:copies]
			alive := slices.DeleteFunc(slices.Clone(holders), func(h memo.Holder) bool {
				i := 0
				_, _ = fmt.Sscanf(h.Name, "i%d", &i)
				return random.IntN(2) == 0 || i == k%n
			})
			found := slices.ContainsFunc(memo.OrderHolders(alive)[:min(asked, len(alive))], func(name string) bool { return slices.Contains(owners, name) })
			if found {
				kept++
			} else {
				lost++
			}
		}
		t.Logf("%d ingresses: %d of %d memos are found after the loss of half", n, kept, kept+lost)
		if 2*kept < kept+lost {
			t.Errorf("%d ingresses: only %d of %d memos are found", n, kept, kept+lost)
		}
	}
	is := is.New(t)
	for k := range 50 {
		holders := newHolders(12, fmt.Sprint("stream/", k))
		domains := map[string]bool{}
		for _, owner := range memo.OrderHolders(holders)[:copies] {
			i := slices.IndexFunc(holders, func(h memo.Holder) bool { return h.Name == owner })
			domains[holders[i].Domain] = true
		}
		is.Equal(len(domains), copies) // one in each failure domain
	}
}
