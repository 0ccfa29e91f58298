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

// BenchmarkPickWeighted ranks the ingresses of a large deployment, as each placement does.
func BenchmarkPickWeighted(b *testing.B) {
	members := []rhash.Weighted{}
	for _, name := range names(420) {
		members = append(members, rhash.Weighted{Name: name, Weight: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		rhash.PickWeighted("engines/models", members)
	}
}
