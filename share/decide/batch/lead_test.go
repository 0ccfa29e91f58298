package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/models/site"
)

// The server is 12 ms away. If each call were sent after the answer to the previous one, the server
// would be idle for two round trips of every 400 ms, even in a burst. Once the round-trip time is
// known, the next call must arrive when the server becomes idle, and at most one may wait there.
func TestNextCallArrivesWhenTheServerIsIdle(t *testing.T) {
	is := is.New(t)
	const trip = 24 * time.Millisecond
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	call := addGathered(p, now, newJob(now, 1, 8)).Calls[0]
	for id := uint64(2); id < 8; id++ {
		addGathered(p, now, newJob(now, id, 8))
	}
	took := 360*time.Millisecond + 2*trip
	is.Equal(len(p.Tick(now.Add(took-time.Millisecond)).Calls), 0) // the round-trip time is not known yet
	now = now.Add(took)
	next := p.FinishCall(now, call.ID, batch.CallResult{Results: resultsFor(call), RoundTrip: trip, Load: &site.Load{Slots: 1}}).Calls
	is.Equal(len(next), 1)

	is.Equal(len(p.Tick(now.Add(340*time.Millisecond)).Calls), 0)
	early := p.Tick(now.Add(took - 20*time.Millisecond)).Calls
	is.Equal(len(early), 1)
	is.Equal(len(p.Tick(now.Add(took-10*time.Millisecond)).Calls), 0) // a third call is not sent
	now = now.Add(took)
	is.Equal(len(p.FinishCall(now, next[0].ID, batch.CallResult{Results: resultsFor(next[0]), RoundTrip: trip}).Calls), 0)
	is.Equal(len(p.Tick(now.Add(200*time.Millisecond)).Calls), 0) // the call sent early is running
}
