package slope_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/slope"
)

// approxEqual reports whether two figures agree to one part in a million.
func approxEqual(got, want float64) bool {
	return math.Abs(got-want) <= 1e-6*max(1, math.Abs(want))
}

// The expected figures were calculated by hand: the mean of x is 3, the squared deviations from it
// add up to 10, and the squares of the residuals -0.12, 0.14, 0.4, -0.74 and 0.32 add up to 0.844.
func TestFitOfKnownPoints(t *testing.T) {
	is := is.New(t)
	x := []float64{1, 2, 3, 4, 5}
	y := []float64{2.1, 4.5, 6.9, 7.9, 11.1}
	line, err := slope.Fit(x, y)
	is.NoErr(err)
	is.True(approxEqual(line.Slope, 2.14))
	is.True(approxEqual(line.Intercept, 0.08))
	is.True(approxEqual(line.SlopeError, math.Sqrt(0.844/3/10)))
	is.True(approxEqual(line.InterceptError, math.Sqrt(0.844/3*(1.0/5+9.0/10))))
	is.Equal(line.Points, 5)
}

func TestFitOfExactLine(t *testing.T) {
	is := is.New(t)
	line, err := slope.Fit([]float64{10, 30, 100, 300}, []float64{23, 63, 203, 603})
	is.NoErr(err)
	is.True(approxEqual(line.Slope, 2))
	is.True(approxEqual(line.Intercept, 3))
	is.True(approxEqual(line.SlopeError, 0))
	is.True(approxEqual(line.RSquared, 1))
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	tests := map[string][2][]float64{
		"two points":     {{1, 2}, {1, 2}},
		"unequal counts": {{1, 2, 3}, {1, 2}},
		"one x":          {{2, 2, 2}, {1, 2, 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := slope.Fit(test[0], test[1])
			is.True(err != nil)
		})
	}
}

func TestReadPoints(t *testing.T) {
	is := is.New(t)
	x, y, err := slope.ReadPoints(strings.NewReader("peers,name,memory\n10,a,1.5\n20,b,2.5\n"), "peers", "memory")
	is.NoErr(err)
	is.Equal(x, []float64{10, 20})
	is.Equal(y, []float64{1.5, 2.5})
	_, _, err = slope.ReadPoints(strings.NewReader("peers\n1\n"), "peers", "memory")
	is.True(strings.Contains(err.Error(), `"memory"`))
	_, _, err = slope.ReadPoints(strings.NewReader("peers\nten\n"), "peers", "peers")
	is.True(strings.Contains(err.Error(), "line 2"))
}
