package chart

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"verbenaroad.example/vload/services/merge"
)

// grid holds the summaries of one metric of one scenario by class and policy.
type grid struct {
	classes  []string
	policies []string
	unit     string
	cells    map[cellKey]merge.Summary
}

// cellKey identifies a summary in a grid by class and policy.
type cellKey struct {
	class  string
	policy string
}

// newGrid selects the available figures of the metric for the given classes. Classes keep their
// order; those without a figure are omitted.
func newGrid(all []merge.Summary, scenario, metric string, classes []string) *grid {
	g := &grid{cells: make(map[cellKey]merge.Summary)}
	for _, s := range all {
		if s.Scenario != scenario || s.Metric != metric || s.Runs == 0 || !slices.Contains(classes, s.Class) {
			continue
		}
		g.unit = s.Unit
		g.cells[cellKey{s.Class, s.Policy}] = s
		if !slices.Contains(g.policies, s.Policy) {
			g.policies = append(g.policies, s.Policy)
		}
	}
	slices.Sort(g.policies)
	for _, class := range classes {
		if g.hasClass(class) {
			g.classes = append(g.classes, class)
		}
	}
	return g
}

// hasClass reports whether any policy has a figure for the class.
func (g *grid) hasClass(class string) bool {
	for _, policy := range g.policies {
		if _, ok := g.cells[cellKey{class, policy}]; ok {
			return true
		}
	}
	return false
}

// medians returns the heights of the bars of a policy; they are 0 for classes without a figure.
func (g *grid) medians(policy string) plotter.Values {
	values := make(plotter.Values, 0, len(g.classes))
	for _, class := range g.classes {
		values = append(values, float64(g.cells[cellKey{class, policy}].Median))
	}
	return values
}

// ranges returns the ranges of a policy for the classes that have a figure.
func (g *grid) ranges(policy string) []extent {
	var all []extent
	for i, class := range g.classes {
		s, ok := g.cells[cellKey{class, policy}]
		if ok {
			all = append(all, extent{position: float64(i), lowest: float64(s.Min), highest: float64(s.Max)})
		}
	}
	return all
}

// maximum returns the highest figure of any run, or 1 if no figure is over 0.
func (g *grid) maximum() float64 {
	highest := 0.0
	for _, s := range g.cells {
		highest = max(highest, float64(s.Max))
	}
	if highest == 0 {
		return 1 // the y axis cannot have a height of 0
	}
	return highest
}

// extent is the range of the runs at one position of the x axis.
type extent struct {
	position float64
	lowest   float64
	highest  float64
}

// whisker draws extents as whiskers, shifted by the offset of the bars that they belong to.
type whisker struct {
	points []extent
	offset vg.Length
}

// Plot draws a vertical line with caps for each extent.
func (w *whisker) Plot(c draw.Canvas, p *plot.Plot) {
	const halfCap = vg.Length(3)
	style := plotter.DefaultLineStyle
	toX, toY := p.Transforms(&c)
	for _, e := range w.points {
		x := toX(e.position) + w.offset
		low, high := toY(e.lowest), toY(e.highest)
		c.StrokeLine2(style, x, low, x, high)
		c.StrokeLine2(style, x-halfCap, low, x+halfCap, low)
		c.StrokeLine2(style, x-halfCap, high, x+halfCap, high)
	}
}
