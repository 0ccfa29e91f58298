package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// Two servers of three are lost, and reviews with one to ten drawings wait for the last.
// A review with seven, first by arrival, fills a call alone, and the four with two that
// came just after it are late; they go first. One that came two seconds later does not
// pass it, so that the large ones have their turn as well.
func TestCheaperJobsGoFirstForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	busy := add(p, now, newJob(now, 1, 8)).Calls[0]
	large := newJob(now, 2, 7)
	large.Target = now.Add(10 * time.Second)
	large.Expires = now.Add(20 * time.Second)
	p.Add(now, large)
	for id := uint64(3); id < 7; id++ {
		p.Add(now.Add(300*time.Millisecond), newJob(now, id, 2))
	}
	now = now.Add(360 * time.Millisecond)
	next := p.End(now, busy.ID, batch.Ended{Results: made(busy)}).Calls
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Items), 8)
	for _, i := range next[0].Items {
		is.True(i.AttemptID != "2")
	}
	now = time.Unix(2, 0)
	p.Add(now, newJob(now, 7, 2))
	last := p.End(now, next[0].ID, batch.Ended{Results: made(next[0])}).Calls
	is.Equal(len(last), 1)
	is.Equal(last[0].Items[0].AttemptID, "2")
}
