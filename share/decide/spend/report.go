package spend

import (
	"cmp"
	"slices"
	"time"
)

// Line is the use of one stage by one team over the window, in cost units.
type Line struct {
	Stage string `json:"stage"`
	Team  string `json:"team"`
	// Used lies within the committed amount, Beyond above it.
	Used   float64 `json:"used"`
	Beyond float64 `json:"beyond"`
}

// Report is the account of one pool over the window. Used plus Idle is Committed.
type Report struct {
	Pool string `json:"pool"`
	// Span is the time that the amounts cover.
	Span      time.Duration `json:"span"`
	Committed float64       `json:"committed"`
	Used      float64       `json:"used"`
	Idle      float64       `json:"idle"`
	Beyond    float64       `json:"beyond"`
	// CommittedSpend is owed whether used or not; BeyondSpend comes on top of it.
	CommittedSpend float64 `json:"committed-spend"`
	BeyondSpend    float64 `json:"beyond-spend"`
	// Lines are sorted by stage, then team.
	Lines []Line `json:"lines"`
}

// Reports returns the account of every pool by name, over the whole cells of the window; the current one is not yet whole.
func (l *Ledger) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(l.pools))
	for name, p := range l.pools {
		reports = append(reports, l.report(now, name, p))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Pool, b.Pool) })
	return reports
}

func (l *Ledger) report(now time.Time, name string, p *pool) Report {
	current := l.number(now)
	whole := len(p.cells) - 1
	amount := l.burst(p)
	sums := make(map[line]Line)
	for i := range p.cells {
		c := &p.cells[i]
		if age := current - c.number; age >= 1 && age <= int64(whole) {
			c.sum(sums, amount)
		}
	}
	r := Report{Pool: name, Span: time.Duration(whole) * l.settings.Cell, Committed: amount * float64(whole)}
	for _, s := range sums {
		r.Lines = append(r.Lines, s)
	}
	slices.SortFunc(r.Lines, compareLines)
	for _, s := range r.Lines {
		r.Used += s.Used
		r.Beyond += s.Beyond
	}
	r.Idle = max(0, r.Committed-r.Used)
	r.CommittedSpend = r.Committed * p.document.Price
	r.BeyondSpend = r.Beyond * p.document.BeyondPrice
	return r
}

// sum adds the cell's lines, each priority divided alike over its teams.
func (c *cell) sum(sums map[line]Line, committed float64) {
	parts := c.divide(committed)
	for key, costs := range c.lines {
		s := sums[key]
		s.Stage = key.stage
		s.Team = key.team
		for rank, cost := range costs {
			s.Used += cost * parts[rank]
			s.Beyond += cost * (1 - parts[rank])
		}
		sums[key] = s
	}
}

func compareLines(a, b Line) int {
	if a.Stage != b.Stage {
		return cmp.Compare(a.Stage, b.Stage)
	}
	return cmp.Compare(a.Team, b.Team)
}
