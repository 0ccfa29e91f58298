package slope

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
)

// ReadPoints reads two columns of a CSV file by the names of its header.
func ReadPoints(r io.Reader, xName, yName string) (x, y []float64, err error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, nil, ErrSlope.Wrap(err)
	}
	if len(records) == 0 {
		return nil, nil, ErrSlope.New("no header")
	}
	x, err = column(records, xName)
	if err != nil {
		return nil, nil, err
	}
	y, err = column(records, yName)
	return x, y, err
}

// column returns the figures under a name.
func column(records [][]string, name string) ([]float64, error) {
	at := slices.Index(records[0], name)
	if at < 0 {
		return nil, ErrSlope.New("no column %q", name)
	}
	values := make([]float64, 0, len(records)-1)
	for i, record := range records[1:] {
		value, err := strconv.ParseFloat(record[at], 64)
		if err != nil {
			return nil, ErrSlope.New("line %d, column %q: %w", i+2, name, err)
		}
		values = append(values, value)
	}
	return values, nil
}

// WriteCSV writes the line as one record under a header.
func (l *Line) WriteCSV(w io.Writer, xName, yName string) error {
	writer := csv.NewWriter(w)
	records := [][]string{
		{"x", "y", "slope", "slope-error", "intercept", "intercept-error", "r-squared", "points"},
		{
			xName, yName, text(l.Slope), text(l.SlopeError), text(l.Intercept), text(l.InterceptError),
			text(l.RSquared), strconv.Itoa(l.Points),
		},
	}
	return ErrSlope.Wrap(writer.WriteAll(records))
}

// text writes a figure so that it reads back the same.
func text(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}
