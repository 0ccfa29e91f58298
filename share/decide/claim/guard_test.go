package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

func newGuard() *claim.Guard {
	return claim.NewGuard("i1", claim.GuardLimits{Attempts: 2, CachedAnswers: 1})
}

func dispatched(id string) claim.Dispatched {
	return claim.Dispatched{Key: "k", Attempt: id, Incarnation: "i1"}
}

func tombstoneRequested(id string) claim.TombstoneRequested {
	return claim.TombstoneRequested{Attempt: id, Incarnation: "i1"}
}

func starting(id string) claim.Starting {
	return claim.Starting{Attempt: id, Deadline: start().Add(time.Second)}
}

// steps applies the events and returns the actions of the last one.
func steps(g *claim.Guard, events ...claim.Event) []claim.Action {
	var last []claim.Action
	for _, e := range events {
		last = g.Step(start(), e)
	}
	return last
}

func TestGuard(t *testing.T) {
	ran := claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeRan, Answer: claim.Answer{Status: 201}}
	report := func(s claim.ReportedState) []claim.Action {
		return []claim.Action{claim.ReportAttempt{Report: claim.AttemptReport{Attempt: "a", State: s}}}
	}
	refuse := func(c codes.Code) []claim.Action { return []claim.Action{claim.Refuse{Attempt: "a", Code: c}} }
	answered := []claim.Action{claim.ReportAttempt{Report: claim.AttemptReport{Attempt: "a", State: claim.ReportedDone, Answer: &claim.Answer{Status: 201}}}}
	for name, c := range map[string]struct {
		events []claim.Event
		want   []claim.Action
	}{
		"runs":                                       {[]claim.Event{dispatched("a"), starting("a")}, []claim.Action{claim.Run{Attempt: "a"}}},
		"starts once":                                {[]claim.Event{dispatched("a"), starting("a"), starting("a")}, nil},
		"delayed dispatch after tombstone":           {[]claim.Event{tombstoneRequested("a"), dispatched("a")}, refuse(codes.Tombstoned)},
		"dispatch for another incarnation":           {[]claim.Event{claim.Dispatched{Attempt: "a", Incarnation: "i0"}}, refuse(codes.OtherIncarnation)},
		"duplicate dispatch":                         {[]claim.Event{dispatched("a"), starting("a"), dispatched("a")}, report(claim.ReportedRunning)},
		"tombstone requested while running":          {[]claim.Event{dispatched("a"), starting("a"), tombstoneRequested("a")}, report(claim.ReportedRunning)},
		"tombstone requested of another incarnation": {[]claim.Event{claim.TombstoneRequested{Attempt: "a", Incarnation: "i0"}}, report(claim.ReportedOtherIncarnation)},
		"tombstoned in the queue":                    {[]claim.Event{dispatched("a"), tombstoneRequested("a"), starting("a")}, nil},
		"dropped, then a duplicate dispatch":         {[]claim.Event{dispatched("a"), claim.Dropped{Attempt: "a"}, dispatched("a")}, refuse(codes.Tombstoned)},
		"refused outside the guard":                  {[]claim.Event{claim.Dropped{Attempt: "a"}, dispatched("a")}, refuse(codes.Tombstoned)},
		"nothing sent to the backend server":         {[]claim.Event{dispatched("a"), starting("a"), claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeNotRun}, tombstoneRequested("a")}, report(claim.ReportedTombstoned)},
		"no answer from the backend server":          {[]claim.Event{dispatched("a"), starting("a"), claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeUnknown}, tombstoneRequested("a")}, report(claim.ReportedOutcomeUnknown)},
		"answer cached":                              {[]claim.Event{dispatched("a"), starting("a"), ran, tombstoneRequested("a")}, answered},
		"answer cached after the write":              {[]claim.Event{dispatched("a"), starting("a"), ran, claim.AnswerWritten{Attempt: "a"}, tombstoneRequested("a")}, answered},
		"attempt limit reached: dispatch refused":    {[]claim.Event{tombstoneRequested("x"), tombstoneRequested("y"), dispatched("a")}, refuse(codes.Overloaded)},
		"attempt limit reached: no tombstone":        {[]claim.Event{tombstoneRequested("x"), tombstoneRequested("y"), tombstoneRequested("a")}, report(claim.ReportedBusy)},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(steps(newGuard(), c.events...), c.want)
		})
	}
}

// Guards against a request that runs after its caller was answered "deadline exceeded": the agent
// freezes while the attempt is in its queue.
func TestFrozenAgentDoesNotStart(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	steps(g, dispatched("a"))
	actions := g.Step(start().Add(20*time.Second), starting("a"))
	is.Equal(actions, []claim.Action{claim.Refuse{Attempt: "a", Code: codes.DeadlineExceeded}})
	is.Equal(steps(g, dispatched("a")), []claim.Action{claim.Refuse{Attempt: "a", Code: codes.Tombstoned}})
}

func TestAnswersAreEvictedOnlyOnceWritten(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	for _, id := range []string{"a", "b"} {
		steps(g, dispatched(id), starting(id), claim.RunFinished{Attempt: id, Outcome: codes.OutcomeRan})
	}
	is.Equal(len(g.FindUnwritten()), 2)
	steps(g, claim.AnswerWritten{Attempt: "a"}, claim.AnswerWritten{Attempt: "b"})
	is.Equal(len(g.FindUnwritten()), 0)
	is.True(steps(g, tombstoneRequested("a"))[0].(claim.ReportAttempt).Report.Answer == nil)
	is.True(steps(g, tombstoneRequested("b"))[0].(claim.ReportAttempt).Report.Answer != nil)
}

func TestStartIncarnationWaitsForOpenAttempts(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	steps(g, dispatched("a"), tombstoneRequested("b"))
	is.True(g.Full())
	is.True(!g.StartIncarnation("i2"))
	steps(g, claim.Dropped{Attempt: "a"})
	is.True(!g.StartIncarnation("i1"))
	is.True(g.StartIncarnation("i2"))
	is.Equal(steps(g, dispatched("a")), []claim.Action{claim.Refuse{Attempt: "a", Code: codes.OtherIncarnation}})
	is.Equal(g.Incarnation(), "i2")
}
