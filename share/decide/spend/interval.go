package spend

import "time"

// lineKey identifies a line of a report.
type lineKey struct {
	stage string
	team  string
}

// byRank holds one value for each priority, indexed by its rank.
type byRank [priorityCount]float64

// interval holds the use of a pool within one time interval.
type interval struct {
	// number is the number of the interval, counted from the Unix epoch. An element of the ring whose
	// number is not the expected one has no content for that interval.
	number int64
	// lines holds the cost units used.
	lines map[lineKey]byRank
}

// currentInterval returns the current interval in the pool's ring. It first clears the element if
// it still holds an interval that has left the window.
func (l *Ledger) currentInterval(now time.Time, p *pool) *interval {
	number := l.intervalNumber(now)
	iv := &p.intervals[int(number%int64(len(p.intervals)))]
	if iv.lines == nil || iv.number != number {
		iv.number = number
		iv.lines = make(map[lineKey]byRank)
	}
	return iv
}

// intervalNumber returns the number of the interval that now lies in, counted from the Unix epoch.
func (l *Ledger) intervalNumber(now time.Time) int64 {
	return now.UnixNano() / int64(l.settings.Interval)
}

// add counts a use. Once there are maxLines lines, a use that would need a new one counts for
// OtherTeams, which limits the memory for any number of teams.
func (iv *interval) add(u Use, maxLines int) {
	key := lineKey{stage: u.Stage, team: u.Team}
	if _, ok := iv.lines[key]; !ok && len(iv.lines) >= maxLines {
		key.team = OtherTeams
	}
	sum := iv.lines[key]
	sum[u.Priority.Rank()] += u.Cost
	iv.lines[key] = sum
}

// committedFractions returns, for each priority, the fraction of its cost that
// lies within the committed amount. Higher priorities use the committed amount
// first.
func (iv *interval) committedFractions(committed float64) byRank {
	var total, fractions byRank
	for _, sum := range iv.lines {
		for rank, cost := range sum {
			total[rank] += cost
		}
	}
	remaining := committed
	for rank, cost := range total {
		if cost <= 0 {
			continue
		}
		within := min(cost, remaining)
		fractions[rank] = within / cost
		remaining -= within
	}
	return fractions
}
