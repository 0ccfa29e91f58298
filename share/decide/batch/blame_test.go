package batch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// Guards against a job that crashes one server after the other together with the same bystanders, so that
// nobody can tell which of them does it.
func TestJobsOfBrokenCallsGoOnAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a", "a", "a")
	p.Add(now, newJob(now, 1, 2))
	p.Add(now, newJob(now, 2, 2))
	now = now.Add(gathered)
	calls := p.Tick(now).Calls
	for range 2 { // both jobs in one call, twice
		is.Equal(len(calls), 1)
		is.Equal(len(calls[0].Items), 4)
		now = now.Add(100 * time.Millisecond)
		a := p.End(now, calls[0].ID, batch.Ended{Failed: true})
		is.Equal(len(a.Crashes), 0) // one of two
		calls = a.Calls
	}
	is.Equal(len(calls), 2) // each at a server of its own
	for _, c := range calls {
		is.Equal(len(c.Items), 2)
		is.Equal(c.Items[0].AttemptID, c.Items[1].AttemptID)
	}
	now = now.Add(100 * time.Millisecond)
	guilty := calls[0].Items[0].AttemptID
	a := p.End(now, calls[0].ID, batch.Ended{Failed: true})
	is.Equal(len(a.Crashes), 1)
	is.Equal(a.Crashes[0].Request, guilty+"-digest")
	is.Equal(a.Crashes[0].Server.ID, calls[0].Server.ID)
	a = p.End(now, calls[1].ID, batch.Ended{Results: made(calls[1])})
	is.Equal(len(a.Done), 1)
	is.Equal(len(a.Crashes), 0)
}

// Guards against a request that crashes as many servers again with each attempt of its caller.
func TestBlamedRequestComesBackAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a")
	alone := p.Add(now, newJob(now, 1, 8)).Calls
	a := p.End(now, alone[0].ID, batch.Ended{Failed: true})
	is.Equal(len(a.Crashes), 1)
	p.Cancel(now, 1)
	now = now.Add(360 * time.Millisecond)
	p.End(now, a.Calls[0].ID, batch.Ended{Results: made(a.Calls[0])}) // too late for its caller
	again := newJob(now, 2, 2)
	again.Request = "1-digest"
	p.Add(now, again)
	p.Add(now, newJob(now, 3, 2))
	is.Equal(len(p.Tick(now.Add(gathered)).Calls), 2)
}

// Guards against servers that idle for bystanders: what never was in a broken call shares calls as before.
func TestOtherJobsShareCallsBesideASuspect(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	p.Add(now, newJob(now, 1, 2))
	now = now.Add(gathered)
	first := p.Tick(now).Calls
	now = now.Add(100 * time.Millisecond)
	p.Add(now, newJob(now, 2, 2))
	p.Add(now, newJob(now, 3, 2))
	a := p.End(now, first[0].ID, batch.Ended{Failed: true})
	is.Equal(len(a.Crashes), 1) // it was alone already
	sizes, calls := []int{}, a.Calls
	for range 5 {
		now = now.Add(400 * time.Millisecond)
		ended := calls
		calls = p.Tick(now).Calls
		for _, c := range ended {
			sizes = append(sizes, len(c.Items))
			calls = append(calls, p.End(now, c.ID, batch.Ended{Results: made(c)}).Calls...)
		}
	}
	slices.Sort(sizes)
	is.Equal(sizes, []int{2, 4})
}

// Guards against a bystander that is held to have crashed a server since its call waited there behind another one.
func TestCallThatWaitedBehindAnotherIsNoCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	now = now.Add(300 * time.Millisecond)
	p.End(now, full[0].ID, batch.Ended{Results: made(full[0]), RoundTrip: 30 * time.Millisecond})
	first := p.Add(now, newJob(now, 2, 8)).Calls
	is.Equal(len(first), 1)
	p.Add(now, newJob(now, 3, 8))
	now = now.Add(350 * time.Millisecond) // the server is about to be free
	second := p.Tick(now).Calls
	is.Equal(len(second), 1)
	is.Equal(len(p.End(now, first[0].ID, batch.Ended{Failed: true}).Crashes), 0)
	is.Equal(len(p.End(now, second[0].ID, batch.Ended{Failed: true}).Crashes), 0)
}

// Guards against a bystander that is held to have crashed a server that was down when its call was sent.
func TestCallThatWasNotSentIsNoCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	is.Equal(len(p.End(now, full[0].ID, batch.Ended{Failed: true, Unsent: true}).Crashes), 0)
}
