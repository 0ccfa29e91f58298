package spend

import "time"

// line tells apart what a report lists.
type line struct {
	stage string
	team  string
}

// amounts are cost units by the rank of their priority.
type amounts [priorities]float64

// cell is the use within one stretch of time.
type cell struct {
	// number counts cells since the zero time; a cell of another number is empty.
	number int64
	lines  map[line]amounts
}

// cell returns the current cell of the pool's ring, emptied when its old content has left the window.
func (l *Ledger) cell(now time.Time, p *pool) *cell {
	number := l.number(now)
	c := &p.cells[int(number%int64(len(p.cells)))]
	if c.lines == nil || c.number != number {
		c.number = number
		c.lines = make(map[line]amounts)
	}
	return c
}

func (l *Ledger) number(now time.Time) int64 { return now.UnixNano() / int64(l.settings.Cell) }

// add counts a use; with all lines taken a new team counts as Other, so that many teams need bounded memory.
func (c *cell) add(u Use, limit int) {
	key := line{stage: u.Stage, team: u.Team}
	if _, ok := c.lines[key]; !ok && len(c.lines) >= limit {
		key.team = Other
	}
	sum := c.lines[key]
	sum[u.Priority.Rank()] += u.Cost
	c.lines[key] = sum
}

// divide returns the part of each priority that lies within the committed
// amount, which the higher ones fill first.
func (c *cell) divide(committed float64) amounts {
	var total, parts amounts
	for _, sum := range c.lines {
		for rank, cost := range sum {
			total[rank] += cost
		}
	}
	left := committed
	for rank, cost := range total {
		if cost <= 0 {
			continue
		}
		within := min(cost, left)
		parts[rank] = within / cost
		left -= within
	}
	return parts
}
