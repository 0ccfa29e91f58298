package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// A chat's two drawings are split over two calls, since memory was free for one. Before
// the other one's turn a review comes that can still be on time. Were it served
// first, as would all that come later, the first drawing would keep its memory for
// seconds, and with many such halves the server makes next to nothing.
func TestBegunJobsAreFinishedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	pool := newPool()
	pool.ResultMemoryBytes = 32_000 // three results
	p.SetPool(pool)
	first := add(p, now, newJob(now, 1, 2))
	now = now.Add(300 * time.Millisecond)
	holding := p.End(now, first.Calls[0].ID, batch.Ended{Results: made(first.Calls[0])})

	chat := newJob(now, 2, 2)
	chat.Target = now // late already
	add(p, now, chat)
	now = now.Add(200 * time.Millisecond)
	half := p.Tick(now)
	is.Equal(len(half.Calls), 1)
	is.Equal(len(half.Calls[0].Items), 1) // one result fits beside the two

	add(p, now, newJob(now, 3, 1))
	now = now.Add(300 * time.Millisecond)
	p.End(now, half.Calls[0].ID, batch.Ended{Results: made(half.Calls[0])})
	p.Released(now, holding.Done[0].Handles[:1])
	now = now.Add(200 * time.Millisecond)
	next := p.Tick(now)
	is.Equal(len(next.Calls), 1)
	is.Equal(next.Calls[0].Items[0].AttemptID, "2")
}
