// Package admit decides at the entry whether a request is admitted: its team must be within its
// limit, and its stages must be expected to finish before the deadline.
//
// An Admitter is not safe for concurrent use: it belongs to one goroutine, or its caller guards it
// with a lock.
package admit

import (
	"fmt"
	"time"

	"verbenaroad.example/share/modules/codes"
)

const (
	// minRetryAfter and maxRetryAfter limit the retry-after time sent to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Settings are fixed for the life of an Admitter.
type Settings struct {
	// AdmitQuantile is the quantile, 0 to 1, of the stage times that must fit before the deadline for
	// a request to be admitted.
	AdmitQuantile float64
	// SplitQuantile is the quantile of the stage times by which the time until the deadline is divided
	// among the stages.
	SplitQuantile float64
	// Window is the length of the sliding window of measured stage times.
	Window time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{AdmitQuantile: 0.5, SplitQuantile: 0.95, Window: 30 * time.Second}
}

// Stage is a stage that the request still has to run.
type Stage struct {
	// Key identifies the stage's measured times, for example "pipeline/stage".
	Key string
	// Wait is the predicted queue delay.
	Wait time.Duration
	// EstimatedTime is the expected time of the stage without its queue delay. It is used until enough
	// times were measured.
	EstimatedTime time.Duration
	// QueuesFull is set when every queue of the stage refuses work of this priority.
	QueuesFull bool
}

// Request is a request to be admitted.
type Request struct {
	Team string
	// Rate and Burst are the team's limits across all entries, in cost units per second and cost
	// units. Rate 0 means no limit.
	Rate  float64
	Burst float64
	// Cost is the estimated cost of all stages, in cost units.
	Cost float64
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Stages are the stages in the order in which they run.
	Stages []Stage
}

// Decision is an admission, with each stage's share of the remaining time, or a refusal.
type Decision struct {
	// Refusal is nil if the request is admitted.
	Refusal *codes.Result
	// Shares has one share for each stage. The shares add up to the remaining time.
	Shares []time.Duration
}

// Admitter holds the measured stage times and the teams' token buckets.
type Admitter struct {
	settings Settings
	stages   map[string]*stageTimes
	buckets  buckets
}

// New returns an admitter that applies the teams' full limits until SetEntries divides them.
func New(s Settings) *Admitter {
	return &Admitter{settings: s, stages: make(map[string]*stageTimes), buckets: newBuckets()}
}

// SetEntries divides the teams' limits among the live entries.
func (a *Admitter) SetEntries(n int) { a.buckets.entries = float64(max(n, 1)) }

// CountTeams returns the number of teams with a stored bucket. A bucket that is full again is
// dropped at the next sweep.
func (a *Admitter) CountTeams() int { return len(a.buckets.teams) }

// OnStageTime records the measured time of a stage without its queue delay. A stage that was
// abandoned must be recorded too, with the time until then. Otherwise the slowest stages would be
// missing from the estimates.
func (a *Admitter) OnStageTime(now time.Time, key string, took time.Duration) {
	t, ok := a.stages[key]
	if !ok {
		t = newStageTimes(now, a.settings)
		a.stages[key] = t
	}
	t.add(now, took)
}

// Forget drops the measured times of all stages for which keep returns false, so that stages that
// are no longer in the configuration take no memory.
func (a *Admitter) Forget(keep func(key string) bool) {
	for key := range a.stages {
		if !keep(key) {
			delete(a.stages, key)
		}
	}
}

// Decide admits or refuses a request. Only admitted requests are charged to their team.
func (a *Admitter) Decide(now time.Time, q Request) Decision {
	if refusal := a.checkStages(now, q); refusal != nil {
		return Decision{Refusal: refusal}
	}
	if wait, ok := a.buckets.take(now, q); !ok {
		detail := fmt.Sprintf("team %s is over its limit of %g cost units per second", q.Team, q.Rate)
		return Decision{Refusal: refuse(codes.TeamLimit, detail, wait)}
	}
	return Decision{Shares: a.Split(now, q.Remaining, q.Stages)}
}

// checkStages returns a refusal if the queues of a stage are full or the stages are not expected to
// finish in time, and nil otherwise.
func (a *Admitter) checkStages(now time.Time, q Request) *codes.Result {
	var waits, serviceTimes time.Duration
	for _, s := range q.Stages {
		if s.QueuesFull {
			return refuse(codes.Overloaded, "the queues of stage "+s.Key+" are full", s.Wait)
		}
		serviceTime, _ := a.estimate(now, s)
		waits += s.Wait
		serviceTimes += serviceTime
	}
	needed := waits + serviceTimes
	if needed <= q.Remaining {
		return nil
	}
	detail := fmt.Sprintf("needs %v (%v of it queue delay), has %v", needed, waits, q.Remaining)
	if serviceTimes > q.Remaining {
		// Even empty queues would not help. The request can be admitted only after the measured times
		// have left the window or lower ones were measured.
		return refuse(codes.DeadlineUnmeetable, detail, a.settings.Window)
	}
	return refuse(codes.DeadlineUnmeetable, detail, needed-q.Remaining)
}

func refuse(c codes.Code, detail string, after time.Duration) *codes.Result {
	return codes.NewResult(c, detail).WithRetryAfter(min(max(after, minRetryAfter), maxRetryAfter))
}

// estimate returns the stage's time at AdmitQuantile and at SplitQuantile, or its EstimatedTime for
// both if too few times were measured.
func (a *Admitter) estimate(now time.Time, s Stage) (admitTime, splitTime time.Duration) {
	t, ok := a.stages[s.Key]
	if !ok {
		return s.EstimatedTime, s.EstimatedTime
	}
	return t.estimate(now, s.EstimatedTime)
}

// Split divides the remaining time among the stages that still have to run, in proportion to their
// measured times and predicted queue delays. If it is called again before each stage, time that
// earlier stages saved goes to the later ones.
func (a *Admitter) Split(now time.Time, remaining time.Duration, stages []Stage) []time.Duration {
	shares := make([]time.Duration, len(stages))
	if len(stages) == 0 || remaining <= 0 {
		return shares
	}
	total := time.Duration(0)
	for i, s := range stages {
		_, share := a.estimate(now, s)
		shares[i] = max(share+s.Wait, time.Millisecond)
		total += shares[i]
	}
	unassigned := remaining
	for i := range shares[:len(shares)-1] {
		shares[i] = time.Duration(float64(remaining) * float64(shares[i]) / float64(total))
		unassigned -= shares[i]
	}
	shares[len(shares)-1] = unassigned
	return shares
}
