package spend_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"verbenaroad.example/share/decide/spend"
)

func BenchmarkDecideAdd(b *testing.B) {
	l := newLedger()
	u := spend.Use{Pool: "gpu", Stage: "draft", Team: "a", Priority: normal, Cost: 1}
	b.ReportAllocs()
	for b.Loop() {
		l.Decide(start, "gpu", normal, 1)
		l.Add(start, u)
	}
}

// BenchmarkTeams19000 reports the memory of a full window in which each of 19,000 teams has a use
// in every interval.
func BenchmarkTeams19000(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newLedger()
		for interval := range 12 {
			for n := range 19_000 {
				u := spend.Use{Pool: "gpu", Stage: "draft", Team: fmt.Sprint("team-", n), Priority: normal, Cost: 1}
				l.Add(start.Add(time.Duration(interval)*5*time.Second), u)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
		runtime.KeepAlive(l)
	}
}
