package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/models/site"
)

// A server stands 12 ms away. Sent only when the answer to the call before is there, each
// call leaves it idle for two round trips of every 400 ms, in a burst too. The next
// call goes out so early that it arrives when the server is free, once its distance
// is known, and one more waits there at the most.
func TestNextCallArrivesWhenTheServerIsFree(t *testing.T) {
	is := is.New(t)
	const trip = 24 * time.Millisecond
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := add(p, now, newJob(now, 1, 8)).Calls[0]
	for id := uint64(2); id < 8; id++ {
		add(p, now, newJob(now, id, 8))
	}
	took := 360*time.Millisecond + 2*trip
	is.Equal(len(p.Tick(now.Add(took-time.Millisecond)).Calls), 0) // the distance is not known yet
	now = now.Add(took)
	next := p.End(now, call.ID, batch.Ended{Results: made(call), RoundTrip: trip, Load: &site.Load{Slots: 1}}).Calls
	is.Equal(len(next), 1)

	is.Equal(len(p.Tick(now.Add(340*time.Millisecond)).Calls), 0)
	early := p.Tick(now.Add(took - 20*time.Millisecond)).Calls
	is.Equal(len(early), 1)
	is.Equal(len(p.Tick(now.Add(took-10*time.Millisecond)).Calls), 0) // no third one
	now = now.Add(took)
	is.Equal(len(p.End(now, next[0].ID, batch.Ended{Results: made(next[0]), RoundTrip: trip}).Calls), 0)
	is.Equal(len(p.Tick(now.Add(200*time.Millisecond)).Calls), 0) // the early one has its turn
}
