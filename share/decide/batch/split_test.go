package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// In a burst a note's six passages wait for half a second. Two places are left in the next
// call: with two of them there, the note is done with the call after it all the same, and
// what was made lies in a memory that others wait for. They go together, and a job
// that fits takes the places.
func TestJobsAreTakenWhole(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	busy := add(p, now, newJob(now, 1, 8)).Calls[0]
	p.Add(now, newJob(now, 2, 6))
	p.Add(now, newJob(now, 3, 6))
	p.Add(now, newJob(now, 4, 2))
	now = now.Add(600 * time.Millisecond)
	next := p.End(now, busy.ID, batch.Ended{Results: made(busy)}).Calls
	is.Equal(len(next), 1)
	ids := map[string]int{}
	for _, i := range next[0].Items {
		ids[i.AttemptID]++
	}
	is.Equal(ids, map[string]int{"2": 6, "4": 2})
}

// Smaller jobs pass a large one again and again, since there is never room for it whole.
// Its caller would wait in vain; after two seconds it is taken in parts.
func TestJobThatIsPassedForLongIsSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	busy := add(p, now, newJob(now, 1, 8)).Calls[0]
	large := newJob(now, 2, 7)
	large.Target = now // late already: what can be on time goes first
	p.Add(now, large)
	p.Add(now.Add(2*time.Second), newJob(now.Add(2*time.Second), 3, 3))
	now = now.Add(2100 * time.Millisecond)
	next := p.End(now, busy.ID, batch.Ended{Results: made(busy)}).Calls
	is.Equal(len(next[0].Items), 8) // the small one and five of the large one
}

// A job has more results than any call holds. It is split, as it could else never be done.
func TestJobLargerThanACallIsSplit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	first := add(p, now, newJob(now, 1, 11)).Calls[0]
	is.Equal(len(first.Items), 8)
	now = now.Add(360 * time.Millisecond)
	rest := p.End(now, first.ID, batch.Ended{Results: made(first)}).Calls
	is.Equal(len(rest), 1)
	is.Equal(len(rest[0].Items), 3)
}
