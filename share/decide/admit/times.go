package admit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// sections divide the window; the oldest is dropped when the next begins.
	sections = 3
	// timeUnit, maxTime and digits keep a stage's histograms near 10 KB at an error below a tenth.
	timeUnit = 100 * time.Microsecond
	maxTime  = 10 * time.Minute
	digits   = 1
	// refresh is how long computed quantiles serve, since a merge costs more than a look.
	refresh = 200 * time.Millisecond
	// minSamples is the count below which the guess is taken when there is one.
	minSamples = 5
)

// times estimates quantiles of a stage's time over a sliding window. Old times
// leave with their section, so a slow minute is forgotten even while
// admission refuses everything and no new time arrives.
type times struct {
	settings  Settings
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// computedAt is zero when fit and share must be computed anew.
	computedAt time.Time
	samples    int64
	fit        time.Duration
	share      time.Duration
}

func newTimes(now time.Time, s Settings) *times {
	window := hdrhistogram.NewWindowed(sections, 1, int64(maxTime/timeUnit), digits)
	return &times{settings: s, window: window, rotatedAt: now}
}

func (t *times) add(now time.Time, took time.Duration) {
	t.rotate(now)
	units := min(max(took, timeUnit), maxTime-timeUnit) / timeUnit
	// The value is within the histogram's range, the only error there is.
	_ = t.window.Current.RecordValue(int64(units))
	if t.samples < minSamples {
		t.computedAt = time.Time{}
	}
}

func (t *times) rotate(now time.Time) {
	section := t.settings.Window / sections
	for range sections {
		if now.Sub(t.rotatedAt) < section {
			return
		}
		t.window.Rotate()
		t.rotatedAt = t.rotatedAt.Add(section)
		t.computedAt = time.Time{}
	}
	t.rotatedAt = now
}

func (t *times) expect(now time.Time, guess time.Duration) (fit, share time.Duration) {
	t.rotate(now)
	if t.computedAt.IsZero() || now.Sub(t.computedAt) >= refresh {
		t.compute(now)
	}
	if t.samples == 0 || t.samples < minSamples && guess > 0 {
		return guess, guess
	}
	return t.fit, t.share
}

func (t *times) compute(now time.Time) {
	merged := t.window.Merge()
	t.computedAt = now
	t.samples = merged.TotalCount()
	t.fit = time.Duration(merged.ValueAtQuantile(100*t.settings.Quantile)) * timeUnit
	t.share = time.Duration(merged.ValueAtQuantile(100*t.settings.ShareQuantile)) * timeUnit
}
