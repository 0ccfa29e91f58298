package merge

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"verbenaroad.example/vload/models/report"
)

// WriteCSV writes a header and one record for each summary.
func WriteCSV(w io.Writer, all []Summary) error {
	writer := csv.NewWriter(w)
	header := []string{"scenario", "class", "metric", "policy", "runs", "missing", "median", "min", "max", "unit"}
	if err := writer.Write(header); err != nil {
		return report.ErrReport.Wrap(err)
	}
	for _, s := range all {
		record := []string{
			s.Scenario, s.Class, s.Metric, s.Policy, strconv.Itoa(s.Runs), strconv.Itoa(s.Missing),
			s.Median.String(), s.Min.String(), s.Max.String(), s.Unit,
		}
		if err := writer.Write(record); err != nil {
			return report.ErrReport.Wrap(err)
		}
	}
	writer.Flush()
	return report.ErrReport.Wrap(writer.Error())
}

// WriteMarkdown writes one table for each scenario. The summaries must be sorted by scenario.
func WriteMarkdown(w io.Writer, all []Summary) error {
	scenario := ""
	for i, s := range all {
		if i == 0 || s.Scenario != scenario {
			scenario = s.Scenario
			if err := writeHeader(w, scenario); err != nil {
				return err
			}
		}
		if err := writeLine(w, &s); err != nil {
			return err
		}
	}
	return nil
}

// writeHeader writes the heading and the table header of a scenario.
func writeHeader(w io.Writer, scenario string) error {
	const header = "\n### %s\n\n| class | metric | policy | median | min..max | unit | runs |\n|---|---|---|---:|---:|---|---:|\n"
	_, err := fmt.Fprintf(w, header, scenario)
	return report.ErrReport.Wrap(err)
}

// writeLine writes one summary as a table row, with the number of runs in which the figure is
// missing.
func writeLine(w io.Writer, s *Summary) error {
	runs := strconv.Itoa(s.Runs)
	if s.Missing > 0 {
		runs += fmt.Sprintf(" (%d not available)", s.Missing)
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s..%s | %s | %s |\n",
		s.Class, s.Metric, s.Policy, s.Median.Short(), s.Min.Short(), s.Max.Short(), s.Unit, runs)
	return report.ErrReport.Wrap(err)
}
