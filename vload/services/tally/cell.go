package tally

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaroad.example/share/modules/codes"
)

// The configuration that all histograms share, so that any two of them merge without loss.
const (
	lowestMicros      = 1
	highestMicros     = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// newHistogram returns an empty histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// recordDuration adds a duration, clamped to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValue(micros) // fails only outside the range
}

// cell sums up the samples of one class in one phase, or of several such cells.
type cell struct {
	offered         int64
	inTime          int64
	tokens          int64
	duplicates      int64
	differing       int64
	retryAfterCount int64
	// retryAfterSum is the sum of the waits that retryAfterCount answers advised.
	retryAfterSum time.Duration
	endings       map[Ending]int64
	refusals      map[string]int64
	outcomes      map[codes.Outcome]int64

	// latency holds complete answers and timeouts. Refusals are left out, since they would
	// make the latency look short.
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	sendLag    *hdrhistogram.Histogram
}

// newCell returns an empty cell.
func newCell() *cell {
	return &cell{
		endings:    make(map[Ending]int64),
		refusals:   make(map[string]int64),
		outcomes:   make(map[codes.Outcome]int64),
		latency:    newHistogram(),
		firstToken: newHistogram(),
		gap:        newHistogram(),
		sendLag:    newHistogram(),
	}
}

// add counts one sample. duplicate is set if its request id occurred before, differs if its text
// differs from that of an earlier answer to the same prompt.
func (c *cell) add(s *Sample, duplicate, differs bool) {
	c.offered++
	c.endings[s.Ending]++
	c.tokens += int64(s.Tokens)
	if s.InTime {
		c.inTime++
	}
	if duplicate {
		c.duplicates++
	}
	if differs {
		c.differing++
	}
	if s.RetryAfter > 0 {
		c.retryAfterCount++
		c.retryAfterSum += s.RetryAfter
	}
	if s.Ending == EndingRefused {
		c.refusals[s.CodeName]++
		c.outcomes[s.Outcome]++
	}
	c.recordDurations(s)
}

// recordDurations adds the durations of one sample to the histograms.
func (c *cell) recordDurations(s *Sample) {
	if s.Ending == EndingNotSent {
		return
	}
	recordDuration(c.sendLag, s.SendLag)
	if s.Ending == EndingComplete || s.Ending == EndingTimeout {
		recordDuration(c.latency, s.Latency)
	}
	if s.FirstToken > 0 {
		recordDuration(c.firstToken, s.FirstToken)
	}
	for _, gap := range s.Gaps {
		recordDuration(c.gap, gap)
	}
}

// merge adds the counts and histograms of other.
func (c *cell) merge(other *cell) {
	c.offered += other.offered
	c.inTime += other.inTime
	c.tokens += other.tokens
	c.duplicates += other.duplicates
	c.differing += other.differing
	c.retryAfterCount += other.retryAfterCount
	c.retryAfterSum += other.retryAfterSum
	for k, v := range other.endings {
		c.endings[k] += v
	}
	for k, v := range other.refusals {
		c.refusals[k] += v
	}
	for k, v := range other.outcomes {
		c.outcomes[k] += v
	}
	c.latency.Merge(other.latency)
	c.firstToken.Merge(other.firstToken)
	c.gap.Merge(other.gap)
	c.sendLag.Merge(other.sendLag)
}
