// Package merge summarizes each figure over several runs.
package merge

import (
	"cmp"
	"slices"

	"verbenaroad.example/vload/models/report"
)

// Key identifies a figure of one policy in one scenario.
type Key struct {
	Scenario string
	Class    string
	Metric   string
	Unit     string
	Policy   string
}

// Summary summarizes a figure over all runs in which it was available.
type Summary struct {
	Key
	// Runs counts the runs in which the figure was available, Missing those in which it was not.
	Runs    int
	Missing int
	// Median, Min and Max are not available when Runs is 0.
	Median report.Figure
	Min    report.Figure
	Max    report.Figure
}

// Summarize returns one summary for each key, sorted by scenario, class, metric, policy and unit.
func Summarize(rows []report.Row) []Summary {
	values := make(map[Key][]report.Figure)
	for _, r := range rows {
		key := Key{Scenario: r.Scenario, Class: r.Class, Metric: r.Metric, Unit: r.Unit, Policy: r.Policy}
		values[key] = append(values[key], r.Value)
	}
	all := make([]Summary, 0, len(values))
	for key, figures := range values {
		all = append(all, summarize(key, figures))
	}
	slices.SortFunc(all, compare)
	return all
}

// compare orders summaries so that the policies of one metric are adjacent.
func compare(a, b Summary) int {
	return cmp.Or(
		cmp.Compare(a.Scenario, b.Scenario),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Metric, b.Metric),
		cmp.Compare(a.Policy, b.Policy),
		cmp.Compare(a.Unit, b.Unit),
	)
}

// summarize returns the summary of one key.
func summarize(key Key, figures []report.Figure) Summary {
	available := make([]report.Figure, 0, len(figures))
	for _, f := range figures {
		if f.Available() {
			available = append(available, f)
		}
	}
	s := Summary{Key: key, Runs: len(available), Missing: len(figures) - len(available)}
	s.Median, s.Min, s.Max = medianAndRange(available)
	return s
}

// medianAndRange sorts figures and returns the median, the lowest and the highest figure. The
// median of an even number of figures is the mean of the middle two.
func medianAndRange(figures []report.Figure) (median, lowest, highest report.Figure) {
	if len(figures) == 0 {
		none := report.NotAvailable()
		return none, none, none
	}
	slices.Sort(figures)
	middle := len(figures) / 2
	median = figures[middle]
	if len(figures)%2 == 0 {
		median = (figures[middle-1] + figures[middle]) / 2
	}
	return median, figures[0], figures[len(figures)-1]
}
