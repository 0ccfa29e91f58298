package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// In a burst a job of six items waits for half a second, and the next call has room for two more.
// Taking two of the six would not end the job any earlier, and their results would take memory that
// others need. The six must stay together, and a smaller job that fits takes the room.
func TestJobsAreNotSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	busy := addGathered(p, now, newJob(now, 1, 8)).Calls[0]
	p.Add(now, newJob(now, 2, 6))
	p.Add(now, newJob(now, 3, 6))
	p.Add(now, newJob(now, 4, 2))
	now = now.Add(600 * time.Millisecond)
	next := p.FinishCall(now, busy.ID, batch.CallResult{Results: resultsFor(busy)}).Calls
	is.Equal(len(next), 1)
	ids := map[string]int{}
	for _, i := range next[0].Items {
		ids[i.AttemptID]++
	}
	is.Equal(ids, map[string]int{"2": 6, "4": 2})
}

// Guards against starvation of a large job that smaller jobs overtake again and again because no
// call has room for all of its items. After two seconds it may be split.
func TestJobThatIsOvertakenForLongIsSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	busy := addGathered(p, now, newJob(now, 1, 8)).Calls[0]
	large := newJob(now, 2, 7)
	large.Target = now // already late, so jobs that can be on time go first
	p.Add(now, large)
	p.Add(now.Add(2*time.Second), newJob(now.Add(2*time.Second), 3, 3))
	now = now.Add(2100 * time.Millisecond)
	next := p.FinishCall(now, busy.ID, batch.CallResult{Results: resultsFor(busy)}).Calls
	is.Equal(len(next[0].Items), 8) // the small job and five items of the large one
}

// A job that has more items than any call can hold must be split, or it could never be done.
func TestJobLargerThanACallIsSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	first := addGathered(p, now, newJob(now, 1, 11)).Calls[0]
	is.Equal(len(first.Items), 8)
	now = now.Add(360 * time.Millisecond)
	rest := p.FinishCall(now, first.ID, batch.CallResult{Results: resultsFor(first)}).Calls
	is.Equal(len(rest), 1)
	is.Equal(len(rest[0].Items), 3)
}
