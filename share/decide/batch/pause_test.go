package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/decide/batch"
)

// newPausedPlanner returns a planner whose first server is paused.
func newPausedPlanner(now time.Time, pause time.Duration, domains ...string) *batch.Planner {
	pauses := avail.NewTable()
	pauses.Pause(now, &newServers(domains...)[0], now.Add(pause))
	p := newPlanner(now, domains...)
	p.SetPauses(pauses)
	return p
}

// Guards against calls to a pool server that has asked for a pause: as the server of its failure domain,
// as the only idle one, or as the one to probe while the others fail.
func TestPausedPoolServerGetsNoCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := newPausedPlanner(now, 3*time.Second, "a", "b")
	j := newJob(now, 1, 4)
	j.Domain = "a"
	j.ResultBytes = 1_500_000 // worth a wait of 1.4 s for a server in its own domain
	a := addGathered(p, now, j)
	is.Equal(len(a.Calls), 1)
	is.Equal(a.Calls[0].Server.ID, "p1")
	a = addGathered(p, now, newJob(now, 2, 4)) // p1 is busy
	is.Equal(len(a.Calls), 0)
	a = p.FinishCall(now, 1, batch.CallResult{Failed: true})
	for _, c := range a.Calls {
		is.Equal(c.Server.ID, "p1")
	}
}

// Guards against a job that is refused although its server takes calls again in time, and against one
// that waits although it does not. The refusal states when the server takes calls again.
func TestJobsWaitForPausesThatEndInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := newPausedPlanner(now, 500*time.Millisecond, "a")
	a := addGathered(p, now, newJob(now, 1, 1))
	is.Equal(len(a.Calls), 0)
	is.Equal(len(a.Completions), 0)
	a = p.Tick(now.Add(500 * time.Millisecond))
	is.Equal(len(a.Calls), 1)

	p = newPausedPlanner(now, 6*time.Second, "a") // jobs expire after 6 s
	a = p.Add(now, newJob(now, 1, 1))
	is.Equal(a.Completions[0].Outcome, batch.OutcomeNoServer)
	is.Equal(a.Completions[0].RetryAfter, 6*time.Second)
}

// Guards against jobs that are accepted because a paused server is thought to work on the queue.
func TestPausedServersAddNothingToTheRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	both, one := newPlanner(now, "a", "a").Backlog(now).Rate, newPausedPlanner(now, time.Second, "a", "a").Backlog(now).Rate
	is.True(one > 0)
	is.Equal(both, 2*one)
}
