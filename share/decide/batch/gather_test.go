package batch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// A caller's page sends three requests within 10 ms; half of all requests arrive in this way. A
// call started with the first of them would take 200 ms or more for one job while the others wait
// for the next server. All three must share one call, sent 20 ms after the first request arrived.
func TestRequestsSentTogetherShareACall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	for id := range uint64(3) {
		is.Equal(len(p.Add(now.Add(time.Duration(id)*5*time.Millisecond), newJob(now, id+1, 2)).Calls), 0)
	}
	is.Equal(len(p.Tick(now.Add(15*time.Millisecond)).Calls), 0)
	calls := p.Tick(now.Add(gatherTime)).Calls
	is.Equal(len(calls), 1)
	is.Equal(len(calls[0].Items), 6)
}

// Guards against a useless wait when the call is full or its jobs have already waited.
func TestGatheringEndsEarly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	is.Equal(len(full), 1) // eight items are a full batch
	p.Add(now, newJob(now, 2, 1))
	now = now.Add(360 * time.Millisecond)
	p.Add(now, newJob(now, 3, 1))
	next := p.FinishCall(now, full[0].ID, batch.CallResult{Results: resultsFor(full[0])}).Calls
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Items), 2)
}
