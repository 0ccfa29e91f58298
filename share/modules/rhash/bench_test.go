package rhash_test

import (
	"testing"

	"verbenaroad.example/share/modules/rhash"
)

func BenchmarkPick(b *testing.B) {
	list := names(790)
	b.ReportAllocs()
	for b.Loop() {
		rhash.Pick("entry-1", list, 8)
	}
}
