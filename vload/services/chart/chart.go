// Package chart draws the plots of comparisons and fitted lines.
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
	// groupWidth is the part of the room of one class that its bars fill together.
	groupWidth = 14 * vg.Centimeter
	textSize   = font.Length(11)
	// legendLine is the part of the height that one line of the legend takes.
	legendLine = 0.08
	// levelClasses is how many names fit under the x axis side by side.
	levelClasses = 6
)

// palette returns the Okabe and Ito colours, which readers with a colour vision deficiency can tell apart.
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

// newPlot returns an empty plot in the common style.
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

// Bars draws one metric of one scenario: a group of bars for each class, a bar for each policy,
// with whiskers from the least to the greatest run.
func Bars(all []merge.Summary, scenario, metric string, classes []string, file string) error {
	g := newGrid(all, scenario, metric, classes)
	if len(g.policies) == 0 {
		return ErrChart.New("scenario %s has no available figure of %s", scenario, metric)
	}
	p := newPlot(scenario+": "+metric+" (median, min..max of runs)", "class", metric+" ["+g.unit+"]")
	width := min(groupWidth/vg.Length(len(g.classes)*len(g.policies)), vg.Centimeter)
	for i, policy := range g.policies {
		tint := palette()[i%len(palette())]
		bars, err := plotter.NewBarChart(g.medians(policy), width)
		if err != nil {
			return ErrChart.Wrap(err)
		}
		bars.Color = tint
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(g.policies)-1)/2)
		whiskers := &whisker{points: g.spreads(policy), offset: bars.Offset}
		p.Add(bars, whiskers)
		p.Legend.Add(policyName(policy), bars)
	}
	nameClasses(p, g.classes)
	p.Y.Min = 0
	p.Y.Max = g.top() * (1 + legendLine*float64(len(g.policies)))
	return ErrChart.Wrap(p.Save(chartWidth, chartHeight, file))
}

// nameClasses writes the classes under the x axis, slanted where they are many.
func nameClasses(p *plot.Plot, classes []string) {
	p.NominalX(classes...)
	p.X.Min = -0.5
	p.X.Max = float64(len(classes)) - 0.5
	if len(classes) <= levelClasses {
		return
	}
	p.X.Tick.Label.Rotation = math.Pi / 6
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YCenter
}

// policyName names the bars of runs without a policy label.
func policyName(policy string) string {
	if policy == "" {
		return "(no policy)"
	}
	return policy
}

// Fit draws points and the line through them; the names are axis titles and hold their units.
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
	drawn := plotter.NewFunction(line.At)
	drawn.Color = palette()[5]
	drawn.Width = vg.Points(1.5)
	p.Add(scatter, drawn)
	p.Legend.Add("measured", scatter)
	p.Legend.Add("least squares", drawn)
	p.Legend.Left = true
	p.X.Min = 0
	p.Y.Min = min(0, p.Y.Min)
	return ErrChart.Wrap(p.Save(chartWidth, chartHeight, file))
}
