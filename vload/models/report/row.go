// Package report defines the rows of measured figures, one figure per row, and their file formats.
package report

import (
	"math"
	"strconv"

	"github.com/zeebo/errs"
)

// ErrReport is the class of errors of this package.
var ErrReport = errs.Class("report") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// notAvailable is the text of a figure that could not be measured.
const notAvailable = "not-available"

// Figure is a measured value; NaN means that it is not available.
type Figure float64

// Available reports whether the figure could be measured.
func (f Figure) Available() bool {
	return !math.IsNaN(float64(f))
}

// String returns the shortest text that ParseFigure parses to the same figure.
func (f Figure) String() string {
	if !f.Available() {
		return notAvailable
	}
	return strconv.FormatFloat(float64(f), 'f', -1, 64)
}

// MarshalJSON encodes a figure that is not available as null.
func (f Figure) MarshalJSON() ([]byte, error) {
	if !f.Available() {
		return []byte("null"), nil
	}
	return []byte(f.String()), nil
}

// ParseFigure parses a text that String returned.
func ParseFigure(text string) (Figure, error) {
	if text == notAvailable {
		return Figure(math.NaN()), nil
	}
	value, err := strconv.ParseFloat(text, 64)
	return Figure(value), ErrReport.Wrap(err)
}

// Row is one figure of one run.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Run      int    `json:"run"`
	// Class is a class of requests or a group of classes: all, team:NAME or priority:NAME.
	Class  string `json:"class"`
	Metric string `json:"metric"`
	Value  Figure `json:"value"`
	Unit   string `json:"unit"`
}

// NotAvailable returns the figure that represents a missing measurement.
func NotAvailable() Figure {
	return Figure(math.NaN())
}
