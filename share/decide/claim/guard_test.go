package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

func newGuard() *claim.Guard {
	return claim.NewGuard("i1", claim.GuardLimits{Attempts: 2, Answers: 1})
}

func dispatched(id string) claim.Dispatched {
	return claim.Dispatched{Key: "k", Attempt: id, Incarnation: "i1"}
}

func asked(id string) claim.Asked { return claim.Asked{Attempt: id, Incarnation: "i1"} }

func starting(id string) claim.Starting {
	return claim.Starting{Attempt: id, Until: start().Add(time.Second)}
}

// steps applies events and returns the actions of the last.
func steps(g *claim.Guard, events ...claim.Event) []claim.Action {
	var last []claim.Action
	for _, e := range events {
		last = g.Step(start(), e)
	}
	return last
}

func TestGuard(t *testing.T) {
	ran := claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeRan, Answer: claim.Answer{Status: 201}}
	tell := func(s claim.ToldState) []claim.Action {
		return []claim.Action{claim.Tell{Told: claim.Told{Attempt: "a", State: s}}}
	}
	refuse := func(c codes.Code) []claim.Action { return []claim.Action{claim.Refuse{Attempt: "a", Code: c}} }
	answered := []claim.Action{claim.Tell{Told: claim.Told{Attempt: "a", State: claim.ToldDone, Answer: &claim.Answer{Status: 201}}}}
	for name, c := range map[string]struct {
		events []claim.Event
		want   []claim.Action
	}{
		"runs":                          {[]claim.Event{dispatched("a"), starting("a")}, []claim.Action{claim.Run{Attempt: "a"}}},
		"starts once":                   {[]claim.Event{dispatched("a"), starting("a"), starting("a")}, nil},
		"late dispatch after tombstone": {[]claim.Event{asked("a"), dispatched("a")}, refuse(codes.Tombstoned)},
		"other incarnation's dispatch":  {[]claim.Event{claim.Dispatched{Attempt: "a", Incarnation: "i0"}}, refuse(codes.OtherIncarnation)},
		"second copy of a dispatch":     {[]claim.Event{dispatched("a"), starting("a"), dispatched("a")}, tell(claim.ToldRunning)},
		"asked while running":           {[]claim.Event{dispatched("a"), starting("a"), asked("a")}, tell(claim.ToldRunning)},
		"asked of another incarnation":  {[]claim.Event{claim.Asked{Attempt: "a", Incarnation: "i0"}}, tell(claim.ToldOtherIncarnation)},
		"tombstoned in the queue":       {[]claim.Event{dispatched("a"), asked("a"), starting("a")}, nil},
		"dropped, then a second copy":   {[]claim.Event{dispatched("a"), claim.Dropped{Attempt: "a"}, dispatched("a")}, refuse(codes.Tombstoned)},
		"refused outside the guard":     {[]claim.Event{claim.Dropped{Attempt: "a"}, dispatched("a")}, refuse(codes.Tombstoned)},
		"nothing was sent":              {[]claim.Event{dispatched("a"), starting("a"), claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeNotRun}, asked("a")}, tell(claim.ToldTombstoned)},
		"no answer came":                {[]claim.Event{dispatched("a"), starting("a"), claim.RunFinished{Attempt: "a", Outcome: codes.OutcomeUnknown}, asked("a")}, tell(claim.ToldOutcomeUnknown)},
		"answer kept":                   {[]claim.Event{dispatched("a"), starting("a"), ran, asked("a")}, answered},
		"answer kept after the write":   {[]claim.Event{dispatched("a"), starting("a"), ran, claim.DoneWritten{Attempt: "a"}, asked("a")}, answered},
		"memory full: no dispatch":      {[]claim.Event{asked("x"), asked("y"), dispatched("a")}, refuse(codes.Overloaded)},
		"memory full: no tombstone":     {[]claim.Event{asked("x"), asked("y"), asked("a")}, tell(claim.ToldBusy)},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(steps(newGuard(), c.events...), c.want)
		})
	}
}

// An order runs although its caller was told that time ran out. Cause: the
// agent froze with the order in its queue.
func TestFrozenAgentDoesNotStart(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	steps(g, dispatched("a"))
	actions := g.Step(start().Add(20*time.Second), starting("a"))
	is.Equal(actions, []claim.Action{claim.Refuse{Attempt: "a", Code: codes.DeadlineExceeded}})
	is.Equal(steps(g, dispatched("a")), []claim.Action{claim.Refuse{Attempt: "a", Code: codes.Tombstoned}})
}

func TestAnswersAreForgottenOnlyOnceWritten(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	for _, id := range []string{"a", "b"} {
		steps(g, dispatched(id), starting(id), claim.RunFinished{Attempt: id, Outcome: codes.OutcomeRan})
	}
	is.Equal(len(g.FindUnwritten()), 2)
	steps(g, claim.DoneWritten{Attempt: "a"}, claim.DoneWritten{Attempt: "b"})
	is.Equal(len(g.FindUnwritten()), 0)
	is.True(steps(g, asked("a"))[0].(claim.Tell).Told.Answer == nil)
	is.True(steps(g, asked("b"))[0].(claim.Tell).Told.Answer != nil)
}

func TestRenewWaitsForOpenAttempts(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	steps(g, dispatched("a"), asked("b"))
	is.True(g.Full())
	is.True(!g.Renew("i2"))
	steps(g, claim.Dropped{Attempt: "a"})
	is.True(!g.Renew("i1"))
	is.True(g.Renew("i2"))
	is.Equal(steps(g, dispatched("a")), []claim.Action{claim.Refuse{Attempt: "a", Code: codes.OtherIncarnation}})
	is.Equal(g.Incarnation(), "i2")
}
