package batch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/batch"
)

// Guards against a job that crashes one server after another in calls with the same other jobs, so
// that it cannot be determined which of them is the cause.
func TestJobsOfFailedCallsAreSentAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a", "a", "a")
	p.Add(now, newJob(now, 1, 2))
	p.Add(now, newJob(now, 2, 2))
	now = now.Add(gatherTime)
	calls := p.Tick(now).Calls
	for range 2 { // both jobs in one call, twice
		is.Equal(len(calls), 1)
		is.Equal(len(calls[0].Items), 4)
		now = now.Add(100 * time.Millisecond)
		a := p.FinishCall(now, calls[0].ID, batch.CallResult{Failed: true})
		is.Equal(len(a.Crashes), 0) // either of the two jobs may be the cause
		calls = a.Calls
	}
	is.Equal(len(calls), 2) // each job at its own server
	for _, c := range calls {
		is.Equal(len(c.Items), 2)
		is.Equal(c.Items[0].AttemptID, c.Items[1].AttemptID)
	}
	now = now.Add(100 * time.Millisecond)
	suspect := calls[0].Items[0].AttemptID
	a := p.FinishCall(now, calls[0].ID, batch.CallResult{Failed: true})
	is.Equal(len(a.Crashes), 1)
	is.Equal(a.Crashes[0].RequestDigest, suspect+"-digest")
	is.Equal(a.Crashes[0].Server.ID, calls[0].Server.ID)
	a = p.FinishCall(now, calls[1].ID, batch.CallResult{Results: resultsFor(calls[1])})
	is.Equal(len(a.Completions), 1)
	is.Equal(len(a.Crashes), 0)
}

// Guards against a request that crashes the same number of servers again with each attempt of its
// caller: a suspect must be sent alone from the start of its next attempt.
func TestSuspectRequestIsSentAloneAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a", "a")
	alone := p.Add(now, newJob(now, 1, 8)).Calls
	a := p.FinishCall(now, alone[0].ID, batch.CallResult{Failed: true})
	is.Equal(len(a.Crashes), 1)
	p.Cancel(now, 1)
	now = now.Add(360 * time.Millisecond)
	p.FinishCall(now, a.Calls[0].ID, batch.CallResult{Results: resultsFor(a.Calls[0])}) // the caller has canceled the job by now
	again := newJob(now, 2, 2)
	again.RequestDigest = "1-digest"
	p.Add(now, again)
	p.Add(now, newJob(now, 3, 2))
	is.Equal(len(p.Tick(now.Add(gatherTime)).Calls), 2)
}

// Guards against poorly used servers: jobs that were never in a failed call must still share calls
// while another job is a suspect.
func TestOtherJobsShareCallsBesideASuspect(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	p.Add(now, newJob(now, 1, 2))
	now = now.Add(gatherTime)
	first := p.Tick(now).Calls
	now = now.Add(100 * time.Millisecond)
	p.Add(now, newJob(now, 2, 2))
	p.Add(now, newJob(now, 3, 2))
	a := p.FinishCall(now, first[0].ID, batch.CallResult{Failed: true})
	is.Equal(len(a.Crashes), 1) // the job was alone in its first call
	sizes, calls := []int{}, a.Calls
	for range 5 {
		now = now.Add(400 * time.Millisecond)
		ended := calls
		calls = p.Tick(now).Calls
		for _, c := range ended {
			sizes = append(sizes, len(c.Items))
			calls = append(calls, p.FinishCall(now, c.ID, batch.CallResult{Results: resultsFor(c)}).Calls...)
		}
	}
	slices.Sort(sizes)
	is.Equal(sizes, []int{2, 4})
}

// Guards against blaming a request for a crash although its call only waited at the server behind
// another call: either of the two calls may be the cause.
func TestCallThatWaitedBehindAnotherIsNoCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	now = now.Add(300 * time.Millisecond)
	p.FinishCall(now, full[0].ID, batch.CallResult{Results: resultsFor(full[0]), RoundTrip: 30 * time.Millisecond})
	first := p.Add(now, newJob(now, 2, 8)).Calls
	is.Equal(len(first), 1)
	p.Add(now, newJob(now, 3, 8))
	now = now.Add(350 * time.Millisecond) // the server is about to be idle
	second := p.Tick(now).Calls
	is.Equal(len(second), 1)
	is.Equal(len(p.FinishCall(now, first[0].ID, batch.CallResult{Failed: true}).Crashes), 0)
	is.Equal(len(p.FinishCall(now, second[0].ID, batch.CallResult{Failed: true}).Crashes), 0)
}

// Guards against blaming a request for the crash of a server that was already down when the call
// was sent.
func TestCallThatWasNotSentIsNoCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := newPlanner(now, "a")
	full := p.Add(now, newJob(now, 1, 8)).Calls
	is.Equal(len(p.FinishCall(now, full[0].ID, batch.CallResult{Failed: true, Unsent: true}).Crashes), 0)
}
