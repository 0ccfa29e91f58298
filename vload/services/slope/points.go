package slope

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
)

// ReadPoints reads two columns of a CSV file, selected by their names in the header.
func ReadPoints(r io.Reader, xName, yName string) (x, y []float64, err error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, nil, ErrSlope.Wrap(err)
	}
	if len(records) == 0 {
		return nil, nil, ErrSlope.New("the file is empty, a header is required")
	}
	x, err = column(records, xName)
	if err != nil {
		return nil, nil, err
	}
	y, err = column(records, yName)
	return x, y, err
}

// column returns the numbers in the column with the given name.
func column(records [][]string, name string) ([]float64, error) {
	index := slices.Index(records[0], name)
	if index < 0 {
		return nil, ErrSlope.New("no column %q", name)
	}
	values := make([]float64, 0, len(records)-1)
	for i, record := range records[1:] {
		value, err := strconv.ParseFloat(record[index], 64)
		if err != nil {
			return nil, ErrSlope.New("line %d, column %q: %w", i+2, name, err)
		}
		values = append(values, value)
	}
	return values, nil
}

// WriteCSV writes a header and one record with the figures of the line.
func (l *Line) WriteCSV(w io.Writer, xName, yName string) error {
	writer := csv.NewWriter(w)
	records := [][]string{
		{"x", "y", "slope", "slope-error", "intercept", "intercept-error", "r-squared", "points"},
		{
			xName, yName, formatExact(l.Slope), formatExact(l.SlopeError), formatExact(l.Intercept), formatExact(l.InterceptError),
			formatExact(l.RSquared), strconv.Itoa(l.Points),
		},
	}
	return ErrSlope.Wrap(writer.WriteAll(records))
}

// formatExact formats a number so that parsing the text gives the same number.
func formatExact(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}
