package tally

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/vload/models/report"
)

// The groups of the report; a class keeps its bare name.
const (
	groupAll       = "all"
	prefixTeam     = "team:"
	prefixPriority = "priority:"
	prefixPhase    = "phase:"
)

// unsetPriority stands for requests without the priority header.
const unsetPriority = "unset"

// Rows sums up the run: all requests, then each class, team, priority and phase.
func (b *Book) Rows() []report.Row {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var rows []report.Row
	measured := b.measured("")
	rows = appendCell(rows, groupAll, b.sum(func(place) bool { return true }), measured)
	for i, c := range b.scenario.Classes {
		rows = appendCell(rows, c.Name, b.sum(func(p place) bool { return p.class == i }), measured)
	}
	var ratios []float64
	for _, team := range b.teams() {
		cells := b.sum(func(p place) bool { return b.scenario.Classes[p.class].Team == team })
		rows = appendCell(rows, prefixTeam+team, cells, measured)
		if cells.offered > 0 {
			ratios = append(ratios, float64(cells.inTime)/float64(cells.offered))
		}
	}
	rows = append(rows, report.Row{Class: groupAll, Metric: "jain-teams", Value: jain(ratios), Unit: "index"})
	for _, priority := range b.priorities() {
		cells := b.sum(func(p place) bool { return b.priority(p.class) == priority })
		rows = appendCell(rows, prefixPriority+priority, cells, measured)
	}
	for i, phase := range b.scenario.Phases {
		cells := b.sum(func(p place) bool { return p.phase == i })
		rows = appendCell(rows, prefixPhase+phase.Name, cells, b.measured(phase.Name))
	}
	return rows
}

// Offered returns the number of requests that count.
func (b *Book) Offered() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sum(func(place) bool { return true }).offered
}

// jain returns the Jain index of the teams' attainment: 1 where all have the same, 1/n where one has all.
func jain(ratios []float64) report.Figure {
	sum, squares := 0.0, 0.0
	for _, ratio := range ratios {
		sum += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return report.NotAvailable()
	}
	return report.Figure(sum * sum / (float64(len(ratios)) * squares))
}

// measured returns the length of the named phase, or of all phases that count.
func (b *Book) measured(name string) time.Duration {
	total := time.Duration(0)
	for _, p := range b.scenario.Phases {
		if !p.WarmUp && (name == "" || p.Name == name) {
			total += p.Duration.Value()
		}
	}
	return total
}

// sum merges the cells that are wanted.
func (b *Book) sum(wanted func(place) bool) *cell {
	total := newCell()
	for at, c := range b.cells {
		if wanted(at) {
			total.merge(c)
		}
	}
	return total
}

// teams returns the teams of the classes, sorted.
func (b *Book) teams() []string {
	names := make(map[string]bool)
	for _, c := range b.scenario.Classes {
		if c.Team != "" {
			names[c.Team] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// priorities returns the priorities of the classes, sorted.
func (b *Book) priorities() []string {
	names := make(map[string]bool)
	for i := range b.scenario.Classes {
		names[b.priority(i)] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// priority returns the name of the class's priority.
func (b *Book) priority(class int) string {
	p := b.scenario.Classes[class].Priority
	if p == "" {
		return unsetPriority
	}
	return string(p)
}

// appendCell adds the rows of one group; a group without requests has none.
func appendCell(rows []report.Row, group string, c *cell, measured time.Duration) []report.Row {
	if c.offered == 0 {
		return rows
	}
	add := func(metric string, value float64, unit string) {
		rows = append(rows, report.Row{Class: group, Metric: metric, Value: report.Figure(value), Unit: unit})
	}
	whole := c.endings[EndingWhole]
	add("offered", float64(c.offered), "requests")
	add("attained", float64(c.inTime), "requests")
	add("attainment", float64(c.inTime)/float64(c.offered), "ratio")
	for _, ending := range Endings() {
		add(string(ending), float64(c.endings[ending]), "requests")
	}
	add("late", float64(whole-c.inTime), "requests")
	for _, name := range slices.Sorted(maps.Keys(c.refusals)) {
		add("refused/"+name, float64(c.refusals[name]), "requests")
	}
	for _, outcome := range slices.Sorted(maps.Keys(c.outcomes)) {
		add("refused-outcome/"+outcomeName(outcome), float64(c.outcomes[outcome]), "requests")
	}
	add("duplicate-request-ids", float64(c.duplicates), "requests")
	add("differing-answers", float64(c.differing), "requests")
	add("retry-after-seen", float64(c.retryAfter), "requests")
	add("retry-after-mean", c.retryAfterMean(), "s")
	add("requests-per-second", float64(whole)/measured.Seconds(), "1/s")
	add("tokens", float64(c.tokens), "tokens")
	add("tokens-per-second", float64(c.tokens)/measured.Seconds(), "1/s")
	rows = appendQuantiles(rows, group, "latency", c.latency)
	rows = appendQuantiles(rows, group, "first-token", c.firstToken)
	rows = appendQuantiles(rows, group, "between-tokens", c.gap)
	return appendQuantiles(rows, group, "send-lag", c.sendLag)
}

// retryAfterMean returns the mean advised wait in seconds; NaN where none was given.
func (c *cell) retryAfterMean() float64 {
	if c.retryAfter == 0 {
		return math.NaN()
	}
	return c.retryAfterSum.Seconds() / float64(c.retryAfter)
}

// outcomeName names an outcome that may be missing from the answer.
func outcomeName(o codes.Outcome) string {
	if o == "" {
		return "none"
	}
	return string(o)
}

// appendQuantiles adds the quantiles of one histogram in milliseconds; those of an empty one are not available.
func appendQuantiles(rows []report.Row, group, name string, h *hdrhistogram.Histogram) []report.Row {
	quantiles := []struct {
		suffix  string
		percent float64
	}{{"-p50", 50}, {"-p95", 95}, {"-p99", 99}, {"-max", 100}}
	for _, q := range quantiles {
		value := math.NaN()
		if h.TotalCount() > 0 {
			value = float64(h.ValueAtQuantile(q.percent)) / float64(time.Millisecond/time.Microsecond)
		}
		rows = append(rows, report.Row{Class: group, Metric: name + q.suffix, Value: report.Figure(value), Unit: "ms"})
	}
	return rows
}
