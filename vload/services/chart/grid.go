package chart

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"verbenaroad.example/vload/services/merge"
)

// grid holds one metric of one scenario by class and policy.
type grid struct {
	classes  []string
	policies []string
	unit     string
	cells    map[spot]merge.Summary
}

// spot is a class under a policy.
type spot struct {
	class  string
	policy string
}

// newGrid picks the available figures; the classes keep their order.
func newGrid(all []merge.Summary, scenario, metric string, classes []string) *grid {
	g := &grid{cells: make(map[spot]merge.Summary)}
	for _, s := range all {
		if s.Scenario != scenario || s.Metric != metric || s.Runs == 0 || !slices.Contains(classes, s.Class) {
			continue
		}
		g.unit = s.Unit
		g.cells[spot{s.Class, s.Policy}] = s
		if !slices.Contains(g.policies, s.Policy) {
			g.policies = append(g.policies, s.Policy)
		}
	}
	slices.Sort(g.policies)
	for _, class := range classes {
		if g.has(class) {
			g.classes = append(g.classes, class)
		}
	}
	return g
}

// has says whether any policy has the class.
func (g *grid) has(class string) bool {
	for _, policy := range g.policies {
		if _, ok := g.cells[spot{class, policy}]; ok {
			return true
		}
	}
	return false
}

// medians returns the bars of a policy; a class without a figure has none.
func (g *grid) medians(policy string) plotter.Values {
	values := make(plotter.Values, 0, len(g.classes))
	for _, class := range g.classes {
		values = append(values, float64(g.cells[spot{class, policy}].Median))
	}
	return values
}

// spreads returns the whiskers of a policy.
func (g *grid) spreads(policy string) []extent {
	var all []extent
	for i, class := range g.classes {
		s, ok := g.cells[spot{class, policy}]
		if ok {
			all = append(all, extent{at: float64(i), least: float64(s.Min), greatest: float64(s.Max)})
		}
	}
	return all
}

// top returns the greatest figure.
func (g *grid) top() float64 {
	top := 0.0
	for _, s := range g.cells {
		top = max(top, float64(s.Max))
	}
	if top == 0 {
		return 1 // an axis of no height cannot be drawn
	}
	return top
}

// extent is the reach of the runs at one place of the x axis.
type extent struct {
	at       float64
	least    float64
	greatest float64
}

// whisker draws extents beside the middle of their place, as bars are.
type whisker struct {
	points []extent
	offset vg.Length
}

// Plot draws a line with caps for each extent.
func (w *whisker) Plot(c draw.Canvas, p *plot.Plot) {
	const half = vg.Length(3)
	style := plotter.DefaultLineStyle
	toX, toY := p.Transforms(&c)
	for _, e := range w.points {
		x := toX(e.at) + w.offset
		low, high := toY(e.least), toY(e.greatest)
		c.StrokeLine2(style, x, low, x, high)
		c.StrokeLine2(style, x-half, low, x+half, low)
		c.StrokeLine2(style, x-half, high, x+half, high)
	}
}
