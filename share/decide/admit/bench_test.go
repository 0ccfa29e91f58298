package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"verbenaroad.example/share/decide/admit"
)

func BenchmarkDecide(b *testing.B) {
	a := newMeasured(map[string]time.Duration{"1": time.Second, "2": time.Second, "3": time.Second, "4": time.Second})
	stages := []admit.Stage{{Key: "1"}, {Key: "2"}, {Key: "3"}, {Key: "4"}}
	q := admit.Request{Team: "a", Rate: 1e12, Burst: 1e12, Cost: 1, Remaining: 5 * time.Second, Stages: stages}
	b.ReportAllocs()
	for b.Loop() {
		a.Decide(start, q)
	}
}

// BenchmarkTeams19000 reports the memory that 19,000 concurrently active teams and 145 stages take.
func BenchmarkTeams19000(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a := admit.New(admit.DefaultSettings())
		for n := range 19_000 {
			a.Decide(start, admit.Request{Team: fmt.Sprint("team-", n), Rate: 10, Burst: 20, Cost: 5})
		}
		for n := range 145 {
			a.OnStageTime(start, fmt.Sprint("stage-", n), time.Second)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
		b.ReportMetric(float64(a.CountTeams()), "teams")
		runtime.KeepAlive(a)
	}
}
