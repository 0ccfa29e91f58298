package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

func newSubmission() *claim.Submission {
	return claim.NewSubmission(claim.Request{
		Key: "claims/t/k", BodyDigest: "d",
		Choice:   claim.Choice{Attempt: "mine", Agent: "orders-2", Incarnation: "i2"},
		Deadline: start().Add(time.Second), RetryAfter: time.Second,
	})
}

func stored(state claim.State, edit func(*claim.Record)) claim.ReadBack {
	r := claimed()
	r.State = state
	if edit != nil {
		edit(&r)
	}
	return claim.ReadBack{Stored: &claim.Stored{Record: r, Index: 7}}
}

func mine(r *claim.Record) { r.Attempt = "mine" }

// Each case is the whole life of one submission; the cases (a) to (i) are those of the design.
func TestSubmission(t *testing.T) {
	answer := &claim.Answer{Status: 201, Body: []byte("board 7")}
	done := func(r *claim.Record) { r.Answer = answer }
	lost := claim.SwapResult{Outcome: claim.SwapLost}
	unsure := claim.SwapResult{Outcome: claim.SwapUnknown}
	swapped := claim.SwapResult{Outcome: claim.SwapDone, Index: 3}
	told := func(s claim.ToldState) claim.Told { return claim.Told{Attempt: "a1", State: s} }
	toldMine := func(s claim.ToldState) claim.Told { return claim.Told{Attempt: "mine", State: s} }
	cut := claim.RunEnded{Attempt: "mine", Result: *codes.NewResult(codes.BackendLost, "").WithOutcome(codes.OutcomeUnknown)}
	for name, c := range map[string]struct {
		events     []claim.Event
		code       codes.Code
		outcome    codes.Outcome
		dispatches int
		releases   int
	}{
		"plain run":                           {[]claim.Event{swapped, claim.RunEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
		"refused by the agent (d)":            {[]claim.Event{swapped, claim.RunEnded{Attempt: "mine", Result: *codes.NewResult(codes.OtherIncarnation, "")}}, codes.OtherIncarnation, codes.OutcomeNotRun, 1, 1},
		"unsure, absent (b)":                  {[]claim.Event{unsure, claim.ReadBack{}}, codes.ClaimsUnavailable, codes.OutcomeNotRun, 0, 0},
		"unsure, own claim":                   {[]claim.Event{unsure, stored(claim.StateClaimed, mine), cut, toldMine(claim.ToldRunning)}, codes.InProgress, codes.OutcomeUnknown, 1, 0},
		"unsure, another's claim (i)":         {[]claim.Event{unsure, stored(claim.StateClaimed, nil)}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"unsure, service down":                {[]claim.Event{unsure, claim.ReadBack{Failed: true}}, codes.ClaimsUnavailable, codes.OutcomeNotRun, 0, 0},
		"lost, service down":                  {[]claim.Event{lost, claim.ReadBack{Failed: true}}, codes.ClaimsUnavailable, codes.OutcomeUnknown, 0, 0},
		"done before":                         {[]claim.Event{lost, stored(claim.StateDone, done)}, codes.OK, codes.OutcomeRan, 0, 0},
		"other body (f)":                      {[]claim.Event{lost, stored(claim.StateDone, func(r *claim.Record) { r.Answer = answer; r.BodyDigest = "e" })}, codes.KeyConflict, codes.OutcomeNotRun, 0, 0},
		"running elsewhere":                   {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldRunning)}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"finished, not written (e)":           {[]claim.Event{lost, stored(claim.StateClaimed, nil), claim.Told{Attempt: "a1", State: claim.ToldDone, Answer: answer}}, codes.OK, codes.OutcomeRan, 0, 0},
		"tombstoned, claimed anew":            {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldTombstoned), swapped, claim.RunEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
		"tombstoned, another was first (h)":   {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldTombstoned), lost, stored(claim.StateClaimed, func(r *claim.Record) { r.Attempt = "a2" }), claim.Told{Attempt: "a2", State: claim.ToldRunning}}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"incarnation gone":                    {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldOtherIncarnation), stored(claim.StateClaimed, nil)}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 0, 0},
		"incarnation gone, done meanwhile":    {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldOtherIncarnation), stored(claim.StateDone, done)}, codes.OK, codes.OutcomeRan, 0, 0},
		"agent silent":                        {[]claim.Event{lost, stored(claim.StateClaimed, nil), told(claim.ToldUnreachable), claim.ReadBack{Failed: true}}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 0, 0},
		"stream cut before the start":         {[]claim.Event{swapped, cut, toldMine(claim.ToldTombstoned)}, codes.BackendLost, codes.OutcomeNotRun, 1, 1},
		"agent restarted during the run":      {[]claim.Event{swapped, cut, toldMine(claim.ToldOtherIncarnation), stored(claim.StateClaimed, mine)}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 1, 0},
		"deadline while queued":               {[]claim.Event{swapped, claim.DeadlinePassed{}, toldMine(claim.ToldTombstoned)}, codes.DeadlineExceeded, codes.OutcomeNotRun, 1, 1},
		"deadline, agent silent":              {[]claim.Event{swapped, claim.DeadlinePassed{}, claim.DeadlinePassed{}}, codes.DeadlineExceeded, codes.OutcomeUnknown, 1, 0},
		"deadline during the write":           {[]claim.Event{claim.DeadlinePassed{}, swapped}, codes.DeadlineExceeded, codes.OutcomeNotRun, 0, 1},
		"deadline while asking about another": {[]claim.Event{lost, stored(claim.StateClaimed, nil), claim.DeadlinePassed{}}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"settled as run":                      {[]claim.Event{lost, stored(claim.StateResolved, func(r *claim.Record) { r.Outcome = codes.OutcomeRan })}, codes.OutcomeNotKnown, codes.OutcomeRan, 0, 0},
		"settled as not run":                  {[]claim.Event{lost, stored(claim.StateResolved, func(r *claim.Record) { r.Outcome = codes.OutcomeNotRun }), swapped, claim.RunEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSubmission()
			actions := s.Step(start(), claim.Started{})
			for _, e := range c.events {
				is.True(!s.Settled() || c.releases > 0)
				actions = append(actions, s.Step(start(), e)...)
			}
			is.True(s.Settled())
			dispatches, releases := 0, 0
			for _, a := range actions {
				switch v := a.(type) {
				case claim.Dispatch:
					dispatches++
				case claim.Release:
					releases++
				case claim.Reply:
					is.Equal(v.Result.Code, c.code)
					is.Equal(v.Result.Outcome, c.outcome)
				}
			}
			is.Equal(dispatches, c.dispatches)
			is.Equal(releases, c.releases)
		})
	}
}

// A caller waits, gives up and orders again under a new key; both orders
// run. Cause: the entry froze between its claim and the dispatch.
func TestFrozenEntryDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	s := newSubmission()
	s.Step(start(), claim.Started{})
	actions := s.Step(start().Add(20*time.Second), claim.SwapResult{Outcome: claim.SwapDone, Index: 1})
	is.Equal(len(actions), 2)
	is.Equal(actions[0].(claim.Reply).Result.Outcome, codes.OutcomeNotRun)
	is.Equal(actions[1].(claim.Release).Stored.Record.State, claim.StateTombstoned)
}

func TestReleasedClaimIsTakenOverWithoutARead(t *testing.T) {
	is := is.New(t)
	s := newSubmission()
	freed := stored(claim.StateTombstoned, nil).Stored
	actions := s.Step(start(), claim.Started{Known: freed})
	is.Equal(actions[0].(claim.CompareAndSwap).Index, uint64(7))
}
