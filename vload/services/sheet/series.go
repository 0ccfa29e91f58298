package sheet

import (
	"io/fs"

	"verbenaroad.example/vload/services/slope"
)

// Series gives access to the measured series in the CSV files of one directory.
type Series struct {
	files fs.FS
}

// NewSeries returns the series in a directory.
func NewSeries(files fs.FS) *Series {
	return &Series{files: files}
}

// points reads the columns x and y of a series.
func (s *Series) points(series, x, y string) (xs, ys []float64, err error) {
	file, err := s.files.Open(series + ".csv")
	if err != nil {
		return nil, nil, ErrSheet.Wrap(err)
	}
	defer file.Close() //nolint:errcheck // the file was only read
	xs, ys, err = slope.ReadPoints(file, x, y)
	if err != nil {
		return nil, nil, ErrSheet.New("series %s: %w", series, err)
	}
	return xs, ys, nil
}

// fit returns the least-squares line of y over x with its points.
func (s *Series) fit(series, x, y string) (Line, error) {
	line := Line{Series: series, XName: x, YName: y}
	var err error
	line.X, line.Y, err = s.points(series, x, y)
	if err != nil {
		return line, err
	}
	line.Fit, err = slope.Fit(line.X, line.Y)
	if err != nil {
		return line, ErrSheet.New("series %s: %w", series, err)
	}
	return line, nil
}

// mean returns the mean of y over the points at which x has the given value.
func (s *Series) mean(series, x string, at float64, y string) (float64, error) {
	xs, ys, err := s.points(series, x, y)
	if err != nil {
		return 0, err
	}
	sum, count := 0.0, 0
	for i := range xs {
		if xs[i] == at {
			sum += ys[i]
			count++
		}
	}
	if count == 0 {
		return 0, ErrSheet.New("series %s has no point at %s = %v", series, x, at)
	}
	return sum / float64(count), nil
}
