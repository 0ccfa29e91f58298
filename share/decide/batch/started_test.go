package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// A late job of two results is split over two calls, because memory is free for only one of them.
// If jobs that arrive later and can be on time were served before its second half, the first result
// would take memory for seconds; many such halves would leave the server almost idle.
func TestStartedJobsAreFinishedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	pool := newPool()
	pool.ResultMemoryBytes = 32_000 // three results
	p.SetPool(pool)
	first := addGathered(p, now, newJob(now, 1, 2))
	now = now.Add(300 * time.Millisecond)
	holding := p.FinishCall(now, first.Calls[0].ID, batch.CallResult{Results: resultsFor(first.Calls[0])})

	chat := newJob(now, 2, 2)
	chat.Target = now // already late
	addGathered(p, now, chat)
	now = now.Add(200 * time.Millisecond)
	half := p.Tick(now)
	is.Equal(len(half.Calls), 1)
	is.Equal(len(half.Calls[0].Items), 1) // one result fits beside the two

	addGathered(p, now, newJob(now, 3, 1))
	now = now.Add(300 * time.Millisecond)
	p.FinishCall(now, half.Calls[0].ID, batch.CallResult{Results: resultsFor(half.Calls[0])})
	p.MarkReleased(now, holding.Completions[0].Handles[:1])
	now = now.Add(200 * time.Millisecond)
	next := p.Tick(now)
	is.Equal(len(next.Calls), 1)
	is.Equal(next.Calls[0].Items[0].AttemptID, "2")
}
