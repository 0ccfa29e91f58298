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

// The names of the groups of the report. The group of a class has the name of the class without a
// prefix.
const (
	groupAll       = "all"
	prefixTeam     = "team:"
	prefixPriority = "priority:"
	prefixPhase    = "phase:"
)

// unsetPriority is the priority name of classes that send no priority header.
const unsetPriority = "unset"

// Rows returns the figures of the run: of all requests, then by class, team, priority and phase.
func (t *Counter) Rows() []report.Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var rows []report.Row
	measuredTime := t.measuredTime("")
	rows = appendCell(rows, groupAll, t.sum(func(cellKey) bool { return true }), measuredTime)
	for i, c := range t.scenario.Classes {
		rows = appendCell(rows, c.Name, t.sum(func(key cellKey) bool { return key.class == i }), measuredTime)
	}
	var ratios []float64
	for _, team := range t.teams() {
		cells := t.sum(func(key cellKey) bool { return t.scenario.Classes[key.class].Team == team })
		rows = appendCell(rows, prefixTeam+team, cells, measuredTime)
		if cells.offered > 0 {
			ratios = append(ratios, float64(cells.inTime)/float64(cells.offered))
		}
	}
	rows = append(rows, report.Row{Class: groupAll, Metric: "jain-teams", Value: jain(ratios), Unit: "index"})
	for _, priority := range t.priorities() {
		cells := t.sum(func(key cellKey) bool { return t.priority(key.class) == priority })
		rows = appendCell(rows, prefixPriority+priority, cells, measuredTime)
	}
	for i, phase := range t.scenario.Phases {
		cells := t.sum(func(key cellKey) bool { return key.phase == i })
		rows = appendCell(rows, prefixPhase+phase.Name, cells, t.measuredTime(phase.Name))
	}
	return rows
}

// Offered returns the number of requests offered outside the warm-up phases.
func (t *Counter) Offered() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sum(func(cellKey) bool { return true }).offered
}

// jain returns the Jain fairness index of the teams' attainment: 1 if all n teams attain the same,
// 1/n if a single team attains everything. It is not available if no team attains anything.
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

// measuredTime returns the duration of the named phase, or of all phases if the name is empty.
// Warm-up phases count as 0.
func (t *Counter) measuredTime(name string) time.Duration {
	total := time.Duration(0)
	for _, p := range t.scenario.Phases {
		if !p.WarmUp && (name == "" || p.Name == name) {
			total += p.Duration.Value()
		}
	}
	return total
}

// sum returns the merged cells of all keys that include selects.
func (t *Counter) sum(include func(cellKey) bool) *cell {
	total := newCell()
	for key, c := range t.cells {
		if include(key) {
			total.merge(c)
		}
	}
	return total
}

// teams returns the teams of the classes, sorted.
func (t *Counter) teams() []string {
	names := make(map[string]bool)
	for _, c := range t.scenario.Classes {
		if c.Team != "" {
			names[c.Team] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// priorities returns the priorities of the classes, sorted.
func (t *Counter) priorities() []string {
	names := make(map[string]bool)
	for i := range t.scenario.Classes {
		names[t.priority(i)] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// priority returns the name of the priority of a class.
func (t *Counter) priority(class int) string {
	p := t.scenario.Classes[class].Priority
	if p == "" {
		return unsetPriority
	}
	return string(p)
}

// appendCell appends the rows of one group, or none if the group has no requests.
func appendCell(rows []report.Row, group string, c *cell, measuredTime time.Duration) []report.Row {
	if c.offered == 0 {
		return rows
	}
	add := func(metric string, value float64, unit string) {
		rows = append(rows, report.Row{Class: group, Metric: metric, Value: report.Figure(value), Unit: unit})
	}
	complete := c.endings[EndingComplete]
	add("offered", float64(c.offered), "requests")
	add("attained", float64(c.inTime), "requests")
	add("attainment", float64(c.inTime)/float64(c.offered), "ratio")
	for _, ending := range Endings() {
		add(string(ending), float64(c.endings[ending]), "requests")
	}
	add("late", float64(complete-c.inTime), "requests")
	for _, name := range slices.Sorted(maps.Keys(c.refusals)) {
		add("refused/"+name, float64(c.refusals[name]), "requests")
	}
	for _, outcome := range slices.Sorted(maps.Keys(c.outcomes)) {
		add("refused-outcome/"+outcomeName(outcome), float64(c.outcomes[outcome]), "requests")
	}
	add("duplicate-request-ids", float64(c.duplicates), "requests")
	add("differing-answers", float64(c.differing), "requests")
	add("retry-after-seen", float64(c.retryAfterCount), "requests")
	add("retry-after-mean", c.retryAfterMean(), "s")
	add("requests-per-second", float64(complete)/measuredTime.Seconds(), "1/s")
	add("tokens", float64(c.tokens), "tokens")
	add("tokens-per-second", float64(c.tokens)/measuredTime.Seconds(), "1/s")
	rows = appendQuantiles(rows, group, "latency", c.latency)
	rows = appendQuantiles(rows, group, "first-token", c.firstToken)
	rows = appendQuantiles(rows, group, "between-tokens", c.gap)
	return appendQuantiles(rows, group, "send-lag", c.sendLag)
}

// retryAfterMean returns the mean advised wait in seconds, or NaN if no answer advised one.
func (c *cell) retryAfterMean() float64 {
	if c.retryAfterCount == 0 {
		return math.NaN()
	}
	return c.retryAfterSum.Seconds() / float64(c.retryAfterCount)
}

// outcomeName returns the name of the outcome, or "none" if the answer has none.
func outcomeName(o codes.Outcome) string {
	if o == "" {
		return "none"
	}
	return string(o)
}

// appendQuantiles appends the quantiles of a histogram in milliseconds. Those of an empty histogram
// are not available.
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
