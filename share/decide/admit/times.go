package admit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSections is the number of sections of the window. The oldest section is dropped when a new
	// one begins.
	windowSections = 3
	// timeUnit, maxTime and significantDigits keep a stage's histograms at about 10 KB with a relative
	// error below a tenth.
	timeUnit          = 100 * time.Microsecond
	maxTime           = 10 * time.Minute
	significantDigits = 1
	// refreshInterval is how long computed quantiles are reused, since merging the sections costs more
	// than a lookup.
	refreshInterval = 200 * time.Millisecond
	// minSamples is the number of measured times below which the fallback is used, if there is one.
	minSamples = 5
)

// stageTimes estimates quantiles of a stage's time over a sliding window. Old times are dropped
// with their section even if no new times arrive. So after a slow minute the estimates recover
// although admission refuses every request and nothing is measured.
type stageTimes struct {
	settings  Settings
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// computedAt is zero if admitTime and splitTime must be recomputed.
	computedAt time.Time
	samples    int64
	admitTime  time.Duration
	splitTime  time.Duration
}

func newStageTimes(now time.Time, s Settings) *stageTimes {
	window := hdrhistogram.NewWindowed(windowSections, 1, int64(maxTime/timeUnit), significantDigits)
	return &stageTimes{settings: s, window: window, rotatedAt: now}
}

func (t *stageTimes) add(now time.Time, took time.Duration) {
	t.rotate(now)
	units := min(max(took, timeUnit), maxTime-timeUnit) / timeUnit
	// RecordValue only fails for a value outside the histogram's range, which this one never is.
	_ = t.window.Current.RecordValue(int64(units))
	if t.samples < minSamples {
		t.computedAt = time.Time{}
	}
}

// rotate starts the sections that are due. If the whole window has passed, all sections are
// replaced and the next one is counted from now.
func (t *stageTimes) rotate(now time.Time) {
	section := t.settings.Window / windowSections
	for range windowSections {
		if now.Sub(t.rotatedAt) < section {
			return
		}
		t.window.Rotate()
		t.rotatedAt = t.rotatedAt.Add(section)
		t.computedAt = time.Time{}
	}
	t.rotatedAt = now
}

// estimate returns the time at AdmitQuantile and at SplitQuantile, or the fallback for both if too
// few times were measured.
func (t *stageTimes) estimate(now time.Time, fallback time.Duration) (admitTime, splitTime time.Duration) {
	t.rotate(now)
	if t.computedAt.IsZero() || now.Sub(t.computedAt) >= refreshInterval {
		t.compute(now)
	}
	if t.samples == 0 || t.samples < minSamples && fallback > 0 {
		return fallback, fallback
	}
	return t.admitTime, t.splitTime
}

func (t *stageTimes) compute(now time.Time) {
	merged := t.window.Merge()
	t.computedAt = now
	t.samples = merged.TotalCount()
	t.admitTime = time.Duration(merged.ValueAtQuantile(100*t.settings.AdmitQuantile)) * timeUnit
	t.splitTime = time.Duration(merged.ValueAtQuantile(100*t.settings.SplitQuantile)) * timeUnit
}
