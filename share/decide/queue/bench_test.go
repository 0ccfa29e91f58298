package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"verbenaroad.example/share/models/config"
)

func BenchmarkPushPop(b *testing.B) {
	q := newFairQueue(256, 4)
	ids := make([]string, 1024)
	teams := make([]string, 64)
	for n := range ids {
		ids[n] = fmt.Sprint("call-", n)
		teams[n%64] = fmt.Sprint("team-", n%64)
	}
	for n := range 200 {
		q.Push(start, item(fmt.Sprint("held-", n), teams[n%64], config.PriorityNormal, time.Hour))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		q.Push(start, item(ids[n%1024], teams[n%64], config.PriorityNormal, time.Hour))
		i, _ := q.Pop(start)
		q.Done(start, i.ID, 0)
		n++
	}
}

// BenchmarkTeams19000 reports how many teams the queue tracks, and in how much memory, after each
// of 19,000 teams had a call.
func BenchmarkTeams19000(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := newFairQueue(256, 4)
		for n := range 19_000 {
			q.Push(start, item(fmt.Sprint(n), fmt.Sprint("team-", n), config.PriorityNormal, time.Hour))
			if q.Len() < 200 {
				continue
			}
			i, _ := q.Pop(start)
			q.Done(start, i.ID, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(q.TrackedTeams()), "teams")
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
		runtime.KeepAlive(q)
	}
}
