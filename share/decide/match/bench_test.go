package match_test

import (
	"testing"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/config"
)

func BenchmarkAllow(b *testing.B) {
	r, _ := match.Compile(rules())
	cache := match.NewCache(r, 1024)
	caller := config.Labels{"tier": "gold", "team": "kranj"}
	stage := config.Labels{"kind": "generate", "stage": "draft", "pipeline": "notes"}
	list := servers()
	b.ReportAllocs()
	for b.Loop() {
		selection := cache.Select(caller, stage)
		for _, s := range list {
			selection.Allow(s)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	r, _ := match.Compile(rules())
	stage := config.Labels{"kind": "generate"}
	list := servers()
	b.ReportAllocs()
	for b.Loop() {
		r.Rank(nil, stage, list)
	}
}
