// Package slope fits straight lines to measured points.
package slope

import (
	"math"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// ErrSlope is the class of errors of this package.
var ErrSlope = errs.Class("slope") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// minPoints is the minimum number of points: the standard errors need at least one degree of
// freedom.
const minPoints = 3

// Line is the least-squares fit of a straight line to points.
type Line struct {
	Slope     float64
	Intercept float64
	// SlopeError and InterceptError are the standard errors of the two.
	SlopeError     float64
	InterceptError float64
	RSquared       float64
	Points         int
}

// Fit returns the least-squares line of y over x.
func Fit(x, y []float64) (Line, error) {
	if len(x) != len(y) {
		return Line{}, ErrSlope.New("%d values of x and %d of y", len(x), len(y))
	}
	if len(x) < minPoints {
		return Line{}, ErrSlope.New("%d points; a line with standard errors needs at least %d", len(x), minPoints)
	}
	mean, variance := stat.MeanVariance(x, nil)
	if variance == 0 {
		return Line{}, ErrSlope.New("all points have the same x")
	}
	line := Line{Points: len(x)}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	line.RSquared = stat.RSquared(x, y, nil, line.Intercept, line.Slope)
	count := float64(len(x))
	squaresOfX := variance * (count - 1)
	residualError := math.Sqrt(residualSquares(x, y, &line) / (count - 2))
	line.SlopeError = residualError / math.Sqrt(squaresOfX)
	line.InterceptError = residualError * math.Sqrt(1/count+mean*mean/squaresOfX)
	return line, nil
}

// residualSquares returns the sum of the squared vertical distances of the points from the line.
func residualSquares(x, y []float64, line *Line) float64 {
	sum := 0.0
	for i := range x {
		distance := y[i] - line.At(x[i])
		sum += distance * distance
	}
	return sum
}

// At returns the line's value at x.
func (l *Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}
