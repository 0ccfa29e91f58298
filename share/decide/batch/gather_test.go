package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// A page of a caller sends three requests within 10 ms, as half of all requests come.
// Begun with the first of them, a call of 200 ms and more holds one job, and the others
// wait for the next server. All of them share the first call, 20 ms after the first came.
func TestRequestsSentTogetherShareACall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	for id := range uint64(3) {
		is.Equal(len(p.Add(now.Add(time.Duration(id)*5*time.Millisecond), newJob(now, id+1, 2)).Calls), 0)
	}
	is.Equal(len(p.Tick(now.Add(15*time.Millisecond)).Calls), 0)
	calls := p.Tick(now.Add(gathered)).Calls
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].Items), 6)
}

// Nothing is gained by a wait where the call is full, or where jobs waited already.
func TestGatheringEndsEarly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	is.Equal(len(full), 1) // eight items are a batch
	p.Add(now, newJob(now, 2, 1))
	now = now.Add(360 * time.Millisecond)
	p.Add(now, newJob(now, 3, 1))
	next := p.End(now, full[0].ID, batch.Ended{Results: made(full[0])}).Calls
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Items), 2)
}
