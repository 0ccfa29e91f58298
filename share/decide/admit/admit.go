// Package admit decides at the entry whether a request may begin: within its
// team's limit, and only when its stages can be expected to end in time.
//
// An Admitter belongs to one goroutine or is guarded by its caller; nothing in it locks.
package admit

import (
	"fmt"
	"time"

	"verbenaroad.example/share/modules/codes"
)

const (
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Settings are fixed for the life of an Admitter.
type Settings struct {
	// Quantile of the stage times that must fit into the deadline, 0 to 1.
	Quantile float64
	// ShareQuantile is the one by which the deadline is divided among the stages.
	ShareQuantile float64
	// Window is how long a measured stage time counts.
	Window time.Duration
}

// DefaultSettings returns the settings of the programs.
func DefaultSettings() Settings {
	return Settings{Quantile: 0.5, ShareQuantile: 0.95, Window: 30 * time.Second}
}

// Stage is one that the request has still to go through.
type Stage struct {
	// Key tells the stage's times apart, for instance "pipeline/stage".
	Key string
	// Wait is the predicted queue delay.
	Wait time.Duration
	// Guess stands for the stage's time until one was measured.
	Guess time.Duration
	// Full is set when every queue of the stage refuses work of this priority.
	Full bool
}

// Request asks to begin.
type Request struct {
	Team string
	// Rate and Burst are the team's limits over the whole system; Rate 0: none.
	Rate  float64
	Burst float64
	// Cost is the estimated cost of all stages, in units.
	Cost float64
	// Remaining is the time left to the deadline.
	Remaining time.Duration
	// Stages are in the order in which they run.
	Stages []Stage
}

// Decision is an admission with each stage's part of the deadline, or a refusal.
type Decision struct {
	// Refused is nil when the request may begin.
	Refused *codes.Result
	// Shares has one part for each stage; they add up to the remaining time.
	Shares []time.Duration
}

// Admitter holds stage times and the teams' buckets.
type Admitter struct {
	settings Settings
	stages   map[string]*times
	buckets  buckets
}

// New returns an admitter that is the only entry until SetEntries.
func New(s Settings) *Admitter {
	return &Admitter{settings: s, stages: make(map[string]*times), buckets: newBuckets()}
}

// SetEntries divides the teams' limits among the live entries.
func (a *Admitter) SetEntries(n int) { a.buckets.entries = float64(max(n, 1)) }

// Teams returns the number of teams with state: those not at their full burst.
func (a *Admitter) Teams() int { return len(a.buckets.teams) }

// OnStage takes the measured time of a stage without its queue delay. A stage that was
// given up on counts too, with the time until then: left out, the slow ones would not show.
func (a *Admitter) OnStage(now time.Time, key string, took time.Duration) {
	t, ok := a.stages[key]
	if !ok {
		t = newTimes(now, a.settings)
		a.stages[key] = t
	}
	t.add(now, took)
}

// Forget drops the times of stages that the configuration no longer has.
func (a *Admitter) Forget(keep func(key string) bool) {
	for key := range a.stages {
		if !keep(key) {
			delete(a.stages, key)
		}
	}
}

// Decide admits or refuses. Only an admission is charged to the team.
func (a *Admitter) Decide(now time.Time, q Request) Decision {
	if refused := a.checkStages(now, q); refused != nil {
		return Decision{Refused: refused}
	}
	if wait, ok := a.buckets.take(now, q); !ok {
		detail := fmt.Sprintf("team %s is over its limit of %g cost units per second", q.Team, q.Rate)
		return Decision{Refused: refuse(codes.TeamLimit, detail, wait)}
	}
	return Decision{Shares: a.Split(now, q.Remaining, q.Stages)}
}

func (a *Admitter) checkStages(now time.Time, q Request) *codes.Result {
	var waits, runs time.Duration
	for _, s := range q.Stages {
		if s.Full {
			return refuse(codes.Overloaded, "the queues of stage "+s.Key+" are full", s.Wait)
		}
		run, _ := a.expect(now, s)
		waits += s.Wait
		runs += run
	}
	need := waits + runs
	if need <= q.Remaining {
		return nil
	}
	detail := fmt.Sprintf("needs %v (%v of it queue delay), has %v", need, waits, q.Remaining)
	if runs > q.Remaining {
		// No empty queue would help; the measured times must age out or fall first.
		return refuse(codes.DeadlineUnmeetable, detail, a.settings.Window)
	}
	return refuse(codes.DeadlineUnmeetable, detail, need-q.Remaining)
}

func refuse(c codes.Code, detail string, after time.Duration) *codes.Result {
	return codes.NewResult(c, detail).WithRetryAfter(min(max(after, minRetryAfter), maxRetryAfter))
}

// expect returns the times that must fit and by which the deadline is divided.
func (a *Admitter) expect(now time.Time, s Stage) (fit, share time.Duration) {
	t, ok := a.stages[s.Key]
	if !ok {
		return s.Guess, s.Guess
	}
	return t.expect(now, s.Guess)
}

// Split divides the remaining time among the stages still to run, by their measured times and
// predicted queue delays. Called again before each stage, it hands what earlier ones saved to the later.
func (a *Admitter) Split(now time.Time, remaining time.Duration, stages []Stage) []time.Duration {
	shares := make([]time.Duration, len(stages))
	if len(stages) == 0 || remaining <= 0 {
		return shares
	}
	total := time.Duration(0)
	for i, s := range stages {
		_, share := a.expect(now, s)
		shares[i] = max(share+s.Wait, time.Millisecond)
		total += shares[i]
	}
	left := remaining
	for i := range shares[:len(shares)-1] {
		shares[i] = time.Duration(float64(remaining) * float64(shares[i]) / float64(total))
		left -= shares[i]
	}
	shares[len(shares)-1] = left
	return shares
}
