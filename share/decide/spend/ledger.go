// Package spend accounts for the committed amount of each pool and decides
// which work may use it or go beyond it.
//
// A Ledger belongs to one goroutine or is guarded by its caller; nothing in it locks.
package spend

import (
	"time"

	"verbenaroad.example/share/models/config"
)

const (
	priorities = 3
	// minRetryAfter keeps a refusal from telling its caller to come back in no time.
	minRetryAfter = time.Millisecond
	// Other stands for the teams beyond Settings.Lines.
	Other = "(other)"
)

// Settings are fixed for the life of a Ledger.
type Settings struct {
	// Cell is the time over which use is set against the committed amount: a burst
	// shorter than a cell is not beyond it as long as the cell's sum is not.
	Cell time.Duration
	// Cells make up the sliding window of a report.
	Cells int
	// Lines bounds the stages and teams told apart in a cell of a pool.
	Lines int
	// Reserve is the part of a cell's amount kept from normal work for urgent;
	// twice as much is kept from batch.
	Reserve float64
}

// DefaultSettings returns the settings of the programs.
func DefaultSettings() Settings {
	return Settings{Cell: 5 * time.Second, Cells: 12, Lines: 2000, Reserve: 0.1}
}

// Verdict says what a piece of work would be paid from.
type Verdict string

// The verdicts.
const (
	// VerdictCommitted is work within the committed amount, or in no pool.
	VerdictCommitted Verdict = "committed"
	// VerdictBeyond is work at the price beyond it.
	VerdictBeyond Verdict = "beyond"
	// VerdictRefused is work whose priority does not allow to go beyond.
	VerdictRefused Verdict = "refused"
)

// Use is work that was done.
type Use struct {
	Pool     string
	Stage    string
	Team     string
	Priority config.Priority
	Cost     float64
}

// Decision says whether a piece of work may go ahead.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when the committed amount has room for it; 0 unless refused.
	RetryAfter time.Duration
}

// Ledger holds the pools of one process.
type Ledger struct {
	settings Settings
	// share is the part of every committed amount that this process may fill.
	share float64
	pools map[string]*pool
}

// pool is the account of one pool.
type pool struct {
	document config.Pool
	// tokens are committed units not yet used, at most a cell's worth and never
	// below zero: work beyond is paid for, and later committed work must not wait for it.
	tokens   float64
	filledAt time.Time
	cells    []cell
}

// New returns a ledger without pools, whose process may fill each whole amount until SetShare.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, share: 1, pools: make(map[string]*pool)}
}

// SetPools takes the pools of a new configuration; use already counted stays.
func (l *Ledger) SetPools(now time.Time, documents []config.Pool) {
	pools := make(map[string]*pool, len(documents))
	for _, d := range documents {
		p, ok := l.pools[d.Name]
		if !ok {
			p = &pool{document: d, filledAt: now, cells: make([]cell, l.settings.Cells)}
			p.tokens = l.burst(p)
		}
		l.fill(now, p)
		p.document = d
		pools[d.Name] = p
	}
	l.pools = pools
}

// SetShare takes the part of every committed amount that this process may fill, for instance one over the live entries.
func (l *Ledger) SetShare(now time.Time, share float64) {
	for _, p := range l.pools {
		l.fill(now, p)
	}
	l.share = share
}

// Add counts work that was done.
func (l *Ledger) Add(now time.Time, u Use) {
	p, ok := l.pools[u.Pool]
	if !ok {
		return
	}
	l.fill(now, p)
	p.tokens = max(0, p.tokens-u.Cost)
	l.cell(now, p).add(u, l.settings.Lines)
}

// Decide says what work of this priority and cost would be paid from now; it changes nothing.
func (l *Ledger) Decide(now time.Time, name string, priority config.Priority, cost float64) Decision {
	p, ok := l.pools[name]
	if !ok {
		return Decision{Verdict: VerdictCommitted}
	}
	tokens := l.tokens(now, p)
	// Work above a cell's amount would never fit; it passes when nothing is used.
	need := min(cost+l.reserve(p, priority), l.burst(p))
	if l.burst(p) > 0 && tokens >= need {
		return Decision{Verdict: VerdictCommitted}
	}
	if priority.Rank() <= p.document.BeyondPriority.Rank() {
		return Decision{Verdict: VerdictBeyond}
	}
	return Decision{Verdict: VerdictRefused, RetryAfter: l.after(p, need-tokens)}
}

// after is the time in which the committed amount grows by that much.
func (l *Ledger) after(p *pool, missing float64) time.Duration {
	rate := p.document.Committed * l.share
	if rate <= 0 {
		return l.settings.Cell
	}
	return max(time.Duration(missing/rate*float64(time.Second)), minRetryAfter)
}

func (l *Ledger) reserve(p *pool, priority config.Priority) float64 {
	return l.burst(p) * l.settings.Reserve * float64(priority.Rank())
}

// burst is a cell's worth of the committed amount.
func (l *Ledger) burst(p *pool) float64 {
	return p.document.Committed * l.share * l.settings.Cell.Seconds()
}

// tokens is what the pool holds at that time.
func (l *Ledger) tokens(now time.Time, p *pool) float64 {
	passed := max(now.Sub(p.filledAt), 0).Seconds()
	return min(l.burst(p), p.tokens+p.document.Committed*l.share*passed)
}

func (l *Ledger) fill(now time.Time, p *pool) {
	p.tokens = l.tokens(now, p)
	p.filledAt = now
}
