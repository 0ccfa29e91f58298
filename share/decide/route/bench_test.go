package route_test

import (
	"runtime"
	"testing"
	"time"

	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/modules/codes"
)

func BenchmarkChoose(b *testing.B) {
	for _, policy := range route.Policies() {
		b.Run(string(policy), func(b *testing.B) {
			s := newSettings()
			s.Policy = policy
			r := newRouter(s, newMembers(20, "osrednja", "stajerska", "primorska"))
			random := newRandom(1)
			q := route.Request{Budget: time.Second, Prefixes: []route.Prefix{{Digest: 1, Tokens: 100}}}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Choose(start, q, random)
				r.OnSent(start, c.Name)
				r.OnEnded(start, route.CallResult{Name: c.Name, Code: codes.OK, Prefixes: q.Prefixes, CachedTokens: -1})
			}
		})
	}
}

// BenchmarkList790 measures an update with an unchanged list of 790 agents and reports the memory
// that the router holds for them and for a full prefix table.
func BenchmarkList790(b *testing.B) {
	var before, after runtime.MemStats
	list := newMembers(790, "osrednja", "stajerska", "primorska")
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := newRouter(newSettings(), list)
	prefixes := make([]route.Prefix, 1)
	for digest := range uint64(5000) {
		prefixes[0] = route.Prefix{Digest: digest, Tokens: 100}
		r.OnEnded(start, route.CallResult{Name: "agent-00", Code: codes.OK, Prefixes: prefixes, CachedTokens: -1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		r.OnMembers(start, list)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
	runtime.KeepAlive(r)
}
