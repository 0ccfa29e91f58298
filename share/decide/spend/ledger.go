// Package spend accounts for the use of the committed amount of each pool, which
// is paid for whether used or not, and decides which work may use it or go
// beyond it at a different price.
//
// A Ledger is not safe for concurrent use: it belongs to one goroutine, or its caller locks it.
package spend

import (
	"time"

	"verbenaroad.example/share/models/config"
)

const (
	// priorityCount is the number of priorities.
	priorityCount = 3
	// minRetryAfter keeps a refusal from asking its caller to retry immediately.
	minRetryAfter = time.Millisecond
	// OtherTeams is the team name of report lines that combine the teams beyond Settings.MaxLines.
	OtherTeams = "(other)"
)

// Settings are fixed for the life of a Ledger.
type Settings struct {
	// Interval is the time over which use is compared with the committed amount: a burst
	// within an interval is not beyond the amount as long as the sum over the interval is not.
	Interval time.Duration
	// Intervals is the number of intervals kept for each pool: the current one and the complete
	// ones that a report covers.
	Intervals int
	// MaxLines is the greatest number of combinations of stage and team that are counted
	// separately in an interval of a pool.
	MaxLines int
	// Reserve is the fraction of an interval's committed amount that normal work must leave to
	// urgent work. Batch work must leave twice as much.
	Reserve float64
}

// DefaultSettings returns the settings that the programs use.
func DefaultSettings() Settings {
	return Settings{Interval: 5 * time.Second, Intervals: 12, MaxLines: 2000, Reserve: 0.1}
}

// Verdict is whether work may use a pool, and at which price.
type Verdict string

// The verdicts.
const (
	// VerdictCommitted allows work within the committed amount, or in a pool that the ledger does not
	// know.
	VerdictCommitted Verdict = "committed"
	// VerdictBeyond allows work beyond the committed amount, at the pool's BeyondPrice.
	VerdictBeyond Verdict = "beyond"
	// VerdictRefused refuses work beyond the committed amount whose priority is below the pool's
	// BeyondPriority.
	VerdictRefused Verdict = "refused"
)

// Use is the use of a pool by finished work.
type Use struct {
	Pool     string
	Stage    string
	Team     string
	Priority config.Priority
	// Cost is the cost in cost units.
	Cost float64
}

// Decision is the result of Ledger.Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time until the committed amount suffices for the work; 0 unless refused.
	RetryAfter time.Duration
}

// Ledger accounts for the use of the pools by one process.
type Ledger struct {
	settings Settings
	// share is the fraction of each committed amount that this process may use.
	share float64
	pools map[string]*pool
}

// pool is the account of one pool.
type pool struct {
	config config.Pool
	// tokens is the unused committed amount in cost units, at most the amount of one interval.
	// It never falls below zero: work beyond the committed amount is paid for separately, so
	// later work within the amount must not wait for it.
	tokens     float64
	refilledAt time.Time
	// intervals is a ring, indexed by the interval's number modulo its length.
	intervals []interval
}

// New returns a ledger without pools. Until SetShare is called, the process may use all of each
// committed amount.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, share: 1, pools: make(map[string]*pool)}
}

// SetPools sets the pools of a new configuration. Pools that it still contains keep the use counted
// so far.
func (l *Ledger) SetPools(now time.Time, documents []config.Pool) {
	pools := make(map[string]*pool, len(documents))
	for _, d := range documents {
		p, ok := l.pools[d.Name]
		if !ok {
			p = &pool{config: d, refilledAt: now, intervals: make([]interval, l.settings.Intervals)}
			p.tokens = l.intervalAmount(p)
		}
		l.refill(now, p)
		p.config = d
		pools[d.Name] = p
	}
	l.pools = pools
}

// SetShare sets the fraction of each committed amount that this process may use, for instance 1/n
// while n entries are live.
func (l *Ledger) SetShare(now time.Time, share float64) {
	for _, p := range l.pools {
		l.refill(now, p)
	}
	l.share = share
}

// Add counts the use of a pool by finished work. It ignores a pool that the ledger does not know.
func (l *Ledger) Add(now time.Time, u Use) {
	p, ok := l.pools[u.Pool]
	if !ok {
		return
	}
	l.refill(now, p)
	p.tokens = max(0, p.tokens-u.Cost)
	l.currentInterval(now, p).add(u, l.settings.MaxLines)
}

// Decide returns whether work of that priority and cost may use the pool now. It does not change
// the ledger.
func (l *Ledger) Decide(now time.Time, poolName string, priority config.Priority, cost float64) Decision {
	p, ok := l.pools[poolName]
	if !ok {
		return Decision{Verdict: VerdictCommitted}
	}
	tokens := l.availableTokens(now, p)
	// Work that costs more than an interval's amount could never be covered. It is allowed once the
	// full amount is available.
	required := min(cost+l.reservedTokens(p, priority), l.intervalAmount(p))
	if l.intervalAmount(p) > 0 && tokens >= required {
		return Decision{Verdict: VerdictCommitted}
	}
	if priority.Rank() <= p.config.BeyondPriority.Rank() {
		return Decision{Verdict: VerdictBeyond}
	}
	return Decision{Verdict: VerdictRefused, RetryAfter: l.timeToRefill(p, required-tokens)}
}

// timeToRefill returns the time in which the pool regains the missing tokens, or one interval when
// it regains none.
func (l *Ledger) timeToRefill(p *pool, missing float64) time.Duration {
	rate := p.config.Committed * l.share
	if rate <= 0 {
		return l.settings.Interval
	}
	return max(time.Duration(missing/rate*float64(time.Second)), minRetryAfter)
}

// reservedTokens returns the tokens that work of that priority must leave to higher priorities.
func (l *Ledger) reservedTokens(p *pool, priority config.Priority) float64 {
	return l.intervalAmount(p) * l.settings.Reserve * float64(priority.Rank())
}

// intervalAmount returns this process's share of the committed amount for one interval.
func (l *Ledger) intervalAmount(p *pool) float64 {
	return p.config.Committed * l.share * l.settings.Interval.Seconds()
}

// availableTokens returns the tokens of the pool at that time.
func (l *Ledger) availableTokens(now time.Time, p *pool) float64 {
	passed := max(now.Sub(p.refilledAt), 0).Seconds()
	return min(l.intervalAmount(p), p.tokens+p.config.Committed*l.share*passed)
}

// refill adds the tokens that the pool has gained since the last refill.
func (l *Ledger) refill(now time.Time, p *pool) {
	p.tokens = l.availableTokens(now, p)
	p.refilledAt = now
}
