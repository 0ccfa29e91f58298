package sched

import (
	"context"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/pauses"
)

// Meter counts late checks.
type Meter interface {
	// CountLateCheck counts a check that ran late by delay.
	CountLateCheck(delay time.Duration)
}

// Watcher checks periodically how late the goroutines of the process run.
type Watcher struct {
	// ProcessorTime returns the processor time of the process since its start.
	ProcessorTime func() time.Duration
	Meter         Meter
	Log           *zap.Logger
}

// Start checks until the context ends.
func (w *Watcher) Start(ctx context.Context) { go w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	tracker := NewTracker(time.Now(), w.readUsage())
	for pauses.Wait(ctx, checkInterval) {
		delay, report := tracker.Check(time.Now(), w.readUsage())
		if delay > 0 {
			w.Meter.CountLateCheck(delay)
		}
		if report != nil {
			w.log(report)
		}
	}
}

func (w *Watcher) log(r *Report) {
	w.Log.Warn("loops-late", zap.Int("checks", r.Count), zap.Duration("longest", r.Longest), zap.Duration("elapsed", r.Elapsed),
		zap.Duration("processor-time", r.Processor), zap.Uint64("collections", r.GCCycles), zap.Uint64("goroutines", r.Goroutines))
}

func (w *Watcher) readUsage() Usage {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	return Usage{Processor: w.ProcessorTime(), GCCycles: samples[0].Value.Uint64(), Goroutines: samples[1].Value.Uint64()}
}
