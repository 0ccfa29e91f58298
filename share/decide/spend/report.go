package spend

import (
	"cmp"
	"slices"
	"time"
)

// Line is the use of one stage by one team over the span of a report, in cost units.
type Line struct {
	Stage string `json:"stage"`
	Team  string `json:"team"`
	// Used is the use within the committed amount and Beyond the use above it.
	Used   float64 `json:"used"`
	Beyond float64 `json:"beyond"`
}

// Report is the account of one pool over the complete intervals of the window. Used plus Idle is
// Committed. Committed, Used, Idle and Beyond are in cost units.
type Report struct {
	Pool string `json:"pool"`
	// Span is the time that the amounts cover.
	Span      time.Duration `json:"span"`
	Committed float64       `json:"committed"`
	Used      float64       `json:"used"`
	Idle      float64       `json:"idle"`
	Beyond    float64       `json:"beyond"`
	// CommittedSpend is owed whether the committed amount was used or not; BeyondSpend is owed in
	// addition.
	CommittedSpend float64 `json:"committed-spend"`
	BeyondSpend    float64 `json:"beyond-spend"`
	// Lines are sorted by stage, then team.
	Lines []Line `json:"lines"`
}

// Reports returns a report on each pool, sorted by pool name. It leaves out the current interval,
// which is not complete yet.
func (l *Ledger) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(l.pools))
	for name, p := range l.pools {
		reports = append(reports, l.buildReport(now, name, p))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Pool, b.Pool) })
	return reports
}

func (l *Ledger) buildReport(now time.Time, name string, p *pool) Report {
	current := l.intervalNumber(now)
	complete := len(p.intervals) - 1
	amount := l.intervalAmount(p)
	sums := make(map[lineKey]Line)
	for i := range p.intervals {
		iv := &p.intervals[i]
		if age := current - iv.number; age >= 1 && age <= int64(complete) {
			iv.addLines(sums, amount)
		}
	}
	r := Report{Pool: name, Span: time.Duration(complete) * l.settings.Interval, Committed: amount * float64(complete)}
	for _, s := range sums {
		r.Lines = append(r.Lines, s)
	}
	slices.SortFunc(r.Lines, compareLines)
	for _, s := range r.Lines {
		r.Used += s.Used
		r.Beyond += s.Beyond
	}
	r.Idle = max(0, r.Committed-r.Used)
	r.CommittedSpend = r.Committed * p.config.Price
	r.BeyondSpend = r.Beyond * p.config.BeyondPrice
	return r
}

// addLines adds the interval's lines to sums. Within a priority, the same fraction of each line's
// cost counts as within the committed amount.
func (iv *interval) addLines(sums map[lineKey]Line, committed float64) {
	fractions := iv.committedFractions(committed)
	for key, costs := range iv.lines {
		s := sums[key]
		s.Stage = key.stage
		s.Team = key.team
		for rank, cost := range costs {
			s.Used += cost * fractions[rank]
			s.Beyond += cost * (1 - fractions[rank])
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
