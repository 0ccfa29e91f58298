package memo_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/memo"
)

// Guards against memos that are lost in a segment or found with another value, and against segments beyond their
// limit.
func TestSegmentsHoldAllMemos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := rapid.SampledFrom([]int{1, 3, 400}).Draw(t, "values")
		memos := []memo.Memo{}
		for n := range rapid.IntRange(1, 6000).Draw(t, "memos") {
			memos = append(memos, memo.Memo{Key: fmt.Sprint("k", n), Value: fmt.Append(nil, "v", n%kinds)})
		}
		left := memos
		for len(left) > 0 {
			segment, count := memo.EncodeSegment(left)
			if count == 0 || count > memo.MaxSegmentEntries {
				t.Fatalf("%d of %d memos", count, len(left))
			}
			found, err := memo.DecodeSegment(segment)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range left[:count] {
				if string(found[memo.DigestOf(m.Key)]) != string(m.Value) {
					t.Fatalf("%s: %s, not %s", m.Key, found[memo.DigestOf(m.Key)], m.Value)
				}
			}
			left = left[count:]
		}
	})
}

// Guards against an ingress that ends on bytes that are no segment.
func TestBytesThatAreNoSegment(t *testing.T) {
	segment, _ := memo.EncodeSegment([]memo.Memo{{Key: "a", Value: []byte("v")}, {Key: "b", Value: []byte("w")}})
	for n := range segment {
		if n != 6 && n != 12 { // between two entries
			_, err := memo.DecodeSegment(segment[:n])
			is.New(t).True(err != nil)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		bytes := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = memo.DecodeSegment(append([]byte{1}, bytes...))
	})
}

// Guards against writes that are missed, or listed again, by whoever lists a table again and again.
func TestTableListsWhatWasWrittenSince(t *testing.T) {
	is := is.New(t)
	table := memo.NewTable(3)
	now, later := time.Unix(0, 0), time.Unix(60, 0)
	put := func(key string, expiresAt time.Time) {
		is.NoErr(table.Put(now, memo.Memo{Key: key, ExpiresAt: expiresAt}))
	}
	keys := func(since uint64) (list []string) {
		for _, m := range table.ListSince(now, since) {
			list = append(list, m.Key)
		}
		return list
	}
	put("a", later)
	put("b", later)
	is.Equal(keys(0), []string{"a", "b"})
	since := table.Writes()
	is.Equal(len(keys(since)), 0)
	put("a", later)
	put("c", now)
	put("d", later)
	is.Equal(keys(since), []string{"a", "d"})
	is.Equal(keys(0), []string{"a", "d"}) // b gave way, c has expired
}
