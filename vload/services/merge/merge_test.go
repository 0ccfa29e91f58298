package merge_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/services/merge"
)

// rows returns one row for each figure, each from another run.
func rows(policy string, figures ...report.Figure) []report.Row {
	var all []report.Row
	for i, f := range figures {
		all = append(all, report.Row{
			Scenario: "steady", Policy: policy, Run: i + 1, Class: "all", Metric: "attainment", Value: f, Unit: "ratio",
		})
	}
	return all
}

func TestSummarize(t *testing.T) {
	tests := map[string]struct {
		figures                 []report.Figure
		median, lowest, highest report.Figure
		runs, missing           int
	}{
		"odd":           {[]report.Figure{0.9, 0.5, 0.7}, 0.7, 0.5, 0.9, 3, 0},
		"even":          {[]report.Figure{4, 1, 2, 10}, 3, 1, 10, 4, 0},
		"one":           {[]report.Figure{4}, 4, 4, 4, 1, 0},
		"not available": {[]report.Figure{3, report.NotAvailable(), 1}, 2, 1, 3, 2, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := merge.Summarize(rows("ours", test.figures...))
			is.Equal(len(all), 1)
			is.Equal(all[0].Median, test.median)
			is.Equal(all[0].Min, test.lowest)
			is.Equal(all[0].Max, test.highest)
			is.Equal(all[0].Runs, test.runs)
			is.Equal(all[0].Missing, test.missing)
		})
	}
}

func TestPoliciesOfMetricAreAdjacent(t *testing.T) {
	is := is.New(t)
	all := merge.Summarize(append(rows("random", 0.5), rows("ours", report.NotAvailable())...))
	is.Equal(all[0].Policy, "ours")
	is.Equal(all[1].Policy, "random")
	var text strings.Builder
	is.NoErr(merge.WriteMarkdown(&text, all))
	is.True(strings.Contains(text.String(), "| all | attainment | ours | not-available |"))
	is.True(strings.Contains(text.String(), "| 0 (1 not available) |"))
	is.Equal(strings.Count(text.String(), "### steady"), 1)
}
