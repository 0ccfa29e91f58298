package sched

import (
	"context"
	"runtime/metrics"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/valve"
	"verbenaroad.example/share/modules/pauses"
)

// Meter counts late checks and refused connections.
type Meter interface {
	// CountLateCheck counts a check that ran late by delay.
	CountLateCheck(delay time.Duration)
	CountRefusedConnection()
}

// Options are the settings of a Watcher.
type Options struct {
	// ProcessorTime returns the processor time of the process since its start.
	ProcessorTime func() time.Duration
	// Cores is the processor capacity of the process.
	Cores float64
	Meter Meter
	Log   *zap.Logger
}

// Watcher checks periodically how late the goroutines of the process run, and decides which new connections an
// overloaded process takes. It is safe for concurrent use.
type Watcher struct {
	options Options

	lock  sync.Mutex
	valve *valve.Valve
	// checkedAt is when the last check ran, and used the processor time by then; zero before Start.
	checkedAt time.Time
	used      time.Duration
	// refused counts the connections that were refused since the last line, which was written at reportedAt.
	refused    int
	reportedAt time.Time
}

// NewWatcher returns a watcher that takes all connections.
func NewWatcher(options Options) *Watcher {
	return &Watcher{options: options, valve: valve.NewValve(options.Cores)}
}

// Start checks until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	w.lock.Lock()
	w.checkedAt, w.used = time.Now(), w.options.ProcessorTime()
	w.lock.Unlock()
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	tracker := NewTracker(time.Now(), w.readUsage())
	for pauses.Wait(ctx, checkInterval) {
		usage := w.readUsage()
		delay, report := tracker.Check(time.Now(), usage)
		if delay > 0 {
			w.options.Meter.CountLateCheck(delay)
		}
		if report != nil {
			w.log(report)
		}
		w.observe(time.Now(), usage.Processor)
	}
}

// observe adjusts which connections are taken.
func (w *Watcher) observe(now time.Time, used time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.valve.Observe(w.describeCheck(now, used))
	w.checkedAt, w.used = now, used
	if w.refused == 0 || now.Sub(w.reportedAt) < refusalReportInterval {
		return
	}
	w.options.Log.Warn("connections-refused", zap.Int("count", w.refused), zap.Float64("share-taken", w.valve.Share()))
	w.refused, w.reportedAt = 0, now
}

// describeCheck describes a check that runs now. The caller holds the lock.
func (w *Watcher) describeCheck(now time.Time, used time.Duration) valve.Check {
	elapsed := now.Sub(w.checkedAt)
	return valve.Check{Delay: elapsed - checkInterval, Elapsed: elapsed, Used: used - w.used}
}

// TakeConnection reports whether a new connection is taken. One that is not is to be closed unread. Before Start
// all are taken.
func (w *Watcher) TakeConnection() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.checkedAt.IsZero() {
		return true
	}
	now := time.Now()
	used := w.used
	if now.Sub(w.checkedAt) > checkInterval+lateAfter {
		used = w.options.ProcessorTime()
	}
	if w.valve.Take(w.describeCheck(now, used)) {
		return true
	}
	w.refused++
	w.options.Meter.CountRefusedConnection()
	return false
}

func (w *Watcher) log(r *Report) {
	w.options.Log.Warn("loops-late", zap.Int("checks", r.Count), zap.Duration("longest", r.Longest), zap.Duration("elapsed", r.Elapsed),
		zap.Duration("processor-time", r.Processor), zap.Uint64("collections", r.GCCycles), zap.Uint64("goroutines", r.Goroutines))
}

func (w *Watcher) readUsage() Usage {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	return Usage{Processor: w.options.ProcessorTime(), GCCycles: samples[0].Value.Uint64(), Goroutines: samples[1].Value.Uint64()}
}
