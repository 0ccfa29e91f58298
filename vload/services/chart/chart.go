// Package chart draws plots of compared runs and of fitted lines.
package chart

import (
	"image/color"
	"math"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"

	"verbenaroad.example/vload/services/merge"
	"verbenaroad.example/vload/services/slope"
)

// ErrChart is the class of errors of this package.
var ErrChart = errs.Class("chart") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
	// barsWidth is the maximum total width of all bars of a chart; a single bar is at most 1 cm
	// wide.
	barsWidth = 14 * vg.Centimeter
	textSize  = font.Length(11)
	// legendLine is the height reserved above the highest whisker for each line of the legend, as a
	// share of the height of that whisker.
	legendLine = 0.08
	// maxLevelLabels is the largest number of class names that fit under the x axis without
	// rotation.
	maxLevelLabels = 6
)

// palette returns the colours of Okabe and Ito, which remain distinguishable with a colour vision
// deficiency.
func palette() []color.RGBA {
	return []color.RGBA{
		{R: 0, G: 114, B: 178, A: 255},
		{R: 230, G: 159, B: 0, A: 255},
		{R: 0, G: 158, B: 115, A: 255},
		{R: 204, G: 121, B: 167, A: 255},
		{R: 86, G: 180, B: 233, A: 255},
		{R: 213, G: 94, B: 0, A: 255},
		{R: 0, G: 0, B: 0, A: 255},
	}
}

// newPlot returns an empty plot with the style that all charts share.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Title.TextStyle.Font.Size = textSize + 2
	p.X.Label.TextStyle.Font.Size = textSize
	p.Y.Label.TextStyle.Font.Size = textSize
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// Bars draws one metric of one scenario: a group of bars for each class with one bar for each
// policy. A bar shows the median of the runs, its whiskers the lowest and the highest run.
func Bars(all []merge.Summary, scenario, metric string, classes []string, file string) error {
	g := newGrid(all, scenario, metric, classes)
	if len(g.policies) == 0 {
		return ErrChart.New("scenario %s has no available figure of %s", scenario, metric)
	}
	p := newPlot(scenario+": "+metric+" (median, min..max of runs)", "class", metric+" ["+g.unit+"]")
	width := min(barsWidth/vg.Length(len(g.classes)*len(g.policies)), vg.Centimeter)
	for i, policy := range g.policies {
		fill := palette()[i%len(palette())]
		bars, err := plotter.NewBarChart(g.medians(policy), width)
		if err != nil {
			return ErrChart.Wrap(err)
		}
		bars.Color = fill
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(g.policies)-1)/2)
		whiskers := &whisker{points: g.ranges(policy), offset: bars.Offset}
		p.Add(bars, whiskers)
		p.Legend.Add(policyLabel(policy), bars)
	}
	labelClasses(p, g.classes)
	p.Y.Min = 0
	p.Y.Max = g.maximum() * (1 + legendLine*float64(len(g.policies)))
	return ErrChart.Wrap(p.Save(chartWidth, chartHeight, file))
}

// labelClasses writes the class names under the x axis, rotated if there are more than
// maxLevelLabels.
func labelClasses(p *plot.Plot, classes []string) {
	p.NominalX(classes...)
	p.X.Min = -0.5
	p.X.Max = float64(len(classes)) - 0.5
	if len(classes) <= maxLevelLabels {
		return
	}
	p.X.Tick.Label.Rotation = math.Pi / 6
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YCenter
}

// policyLabel returns the legend text of a policy: its name, or a placeholder for runs without a
// policy.
func policyLabel(policy string) string {
	if policy == "" {
		return "(no policy)"
	}
	return policy
}

// Fit draws points and the line fitted to them. The names are the axis titles, units included.
func Fit(x, y []float64, line *slope.Line, xName, yName, file string) error {
	p := newPlot(yName+" over "+xName, xName, yName)
	points := make(plotter.XYs, len(x))
	for i := range x {
		points[i] = plotter.XY{X: x[i], Y: y[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return ErrChart.Wrap(err)
	}
	scatter.Color = palette()[0]
	fitted := plotter.NewFunction(line.At)
	fitted.Color = palette()[5]
	fitted.Width = vg.Points(1.5)
	p.Add(scatter, fitted)
	p.Legend.Add("measured", scatter)
	p.Legend.Add("least squares", fitted)
	p.Legend.Left = true
	p.X.Min = 0
	p.Y.Min = min(0, p.Y.Min)
	return ErrChart.Wrap(p.Save(chartWidth, chartHeight, file))
}
