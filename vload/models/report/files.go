package report

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// columns returns the column names in the header of result.csv.
func columns() []string {
	return []string{"scenario", "policy", "seed", "run", "class", "metric", "value", "unit"}
}

// WriteCSV writes a header and one record per row.
func WriteCSV(w io.Writer, rows []Row) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(columns()); err != nil {
		return ErrReport.Wrap(err)
	}
	for _, r := range rows {
		seed := strconv.FormatUint(r.Seed, 10)
		record := []string{r.Scenario, r.Policy, seed, strconv.Itoa(r.Run), r.Class, r.Metric, r.Value.String(), r.Unit}
		if err := writer.Write(record); err != nil {
			return ErrReport.Wrap(err)
		}
	}
	writer.Flush()
	return ErrReport.Wrap(writer.Error())
}

// ReadCSV parses the format that WriteCSV writes.
func ReadCSV(r io.Reader) ([]Row, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(columns())
	records, err := reader.ReadAll()
	if err != nil {
		return nil, ErrReport.Wrap(err)
	}
	if len(records) == 0 {
		return nil, ErrReport.New("the file is empty, a header is required")
	}
	rows := make([]Row, 0, len(records)-1)
	for i, record := range records[1:] {
		row, err := parseRow(record)
		if err != nil {
			return nil, ErrReport.New("line %d: %w", i+2, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// parseRow converts one CSV record to a row.
func parseRow(record []string) (Row, error) {
	seed, err := strconv.ParseUint(record[2], 10, 64)
	if err != nil {
		return Row{}, err
	}
	run, err := strconv.Atoi(record[3])
	if err != nil {
		return Row{}, err
	}
	value, err := ParseFigure(record[6])
	if err != nil {
		return Row{}, err
	}
	return Row{
		Scenario: record[0], Policy: record[1], Seed: seed, Run: run,
		Class: record[4], Metric: record[5], Value: value, Unit: record[7],
	}, nil
}

// WriteJSON writes the rows as one indented JSON array.
func WriteJSON(w io.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return ErrReport.Wrap(encoder.Encode(rows))
}

// WriteTable writes class, metric, value and unit of the rows in aligned columns, for people to
// read.
func WriteTable(w io.Writer, rows []Row) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	if _, err := fmt.Fprintln(table, "CLASS\tMETRIC\tVALUE\tUNIT"); err != nil {
		return ErrReport.Wrap(err)
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.Class, r.Metric, r.Value.Short(), r.Unit); err != nil {
			return ErrReport.Wrap(err)
		}
	}
	return ErrReport.Wrap(table.Flush())
}

// Short formats a figure with six significant digits, for tables that people read.
func (f Figure) Short() string {
	const digits = 6
	if !f.Available() {
		return notAvailable
	}
	return strconv.FormatFloat(float64(f), 'g', digits, 64)
}
