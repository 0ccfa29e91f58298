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

func stored(state claim.State, edit func(*claim.Record)) claim.ReadResult {
	r := claimed()
	r.State = state
	if edit != nil {
		edit(&r)
	}
	return claim.ReadResult{Stored: &claim.Stored{Record: r, Index: 7}}
}

func mine(r *claim.Record) { r.Attempt = "mine" }

// Each case is one submission from Started to its reply. The letters (a) to (i) refer to the cases
// of the design.
func TestSubmission(t *testing.T) {
	answer := &claim.Answer{Status: 201, Body: []byte("board 7")}
	done := func(r *claim.Record) { r.Answer = answer }
	lost := claim.SwapResult{Outcome: claim.SwapLost}
	unknown := claim.SwapResult{Outcome: claim.SwapUnknown}
	swapped := claim.SwapResult{Outcome: claim.SwapDone, Index: 3}
	reported := func(s claim.ReportedState) claim.AttemptReport { return claim.AttemptReport{Attempt: "a1", State: s} }
	reportedMine := func(s claim.ReportedState) claim.AttemptReport { return claim.AttemptReport{Attempt: "mine", State: s} }
	streamLost := claim.DispatchEnded{Attempt: "mine", Result: *codes.NewResult(codes.BackendLost, "").WithOutcome(codes.OutcomeUnknown)}
	for name, c := range map[string]struct {
		events     []claim.Event
		code       codes.Code
		outcome    codes.Outcome
		dispatches int
		releases   int
	}{
		"claimed and run":                                                {[]claim.Event{swapped, claim.DispatchEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
		"refused by the agent (d)":                                       {[]claim.Event{swapped, claim.DispatchEnded{Attempt: "mine", Result: *codes.NewResult(codes.OtherIncarnation, "")}}, codes.OtherIncarnation, codes.OutcomeNotRun, 1, 1},
		"write unanswered, key absent (b)":                               {[]claim.Event{unknown, claim.ReadResult{}}, codes.ClaimsUnavailable, codes.OutcomeNotRun, 0, 0},
		"write unanswered, own claim holds":                              {[]claim.Event{unknown, stored(claim.StateClaimed, mine), streamLost, reportedMine(claim.ReportedRunning)}, codes.InProgress, codes.OutcomeUnknown, 1, 0},
		"write unanswered, claim of another submission (i)":              {[]claim.Event{unknown, stored(claim.StateClaimed, nil)}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"write unanswered, store unavailable":                            {[]claim.Event{unknown, claim.ReadResult{Failed: true}}, codes.ClaimsUnavailable, codes.OutcomeNotRun, 0, 0},
		"write lost, store unavailable":                                  {[]claim.Event{lost, claim.ReadResult{Failed: true}}, codes.ClaimsUnavailable, codes.OutcomeUnknown, 0, 0},
		"already done":                                                   {[]claim.Event{lost, stored(claim.StateDone, done)}, codes.OK, codes.OutcomeRan, 0, 0},
		"another body (f)":                                               {[]claim.Event{lost, stored(claim.StateDone, func(r *claim.Record) { r.Answer = answer; r.BodyDigest = "e" })}, codes.KeyConflict, codes.OutcomeNotRun, 0, 0},
		"other attempt running":                                          {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedRunning)}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"other attempt finished, answer not written (e)":                 {[]claim.Event{lost, stored(claim.StateClaimed, nil), claim.AttemptReport{Attempt: "a1", State: claim.ReportedDone, Answer: answer}}, codes.OK, codes.OutcomeRan, 0, 0},
		"other attempt tombstoned, key claimed again":                    {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedTombstoned), swapped, claim.DispatchEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
		"other attempt tombstoned, write lost to a third submission (h)": {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedTombstoned), lost, stored(claim.StateClaimed, func(r *claim.Record) { r.Attempt = "a2" }), claim.AttemptReport{Attempt: "a2", State: claim.ReportedRunning}}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"agent has another incarnation":                                  {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedOtherIncarnation), stored(claim.StateClaimed, nil)}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 0, 0},
		"agent has another incarnation, done meanwhile":                  {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedOtherIncarnation), stored(claim.StateDone, done)}, codes.OK, codes.OutcomeRan, 0, 0},
		"agent unreachable":                                              {[]claim.Event{lost, stored(claim.StateClaimed, nil), reported(claim.ReportedUnreachable), claim.ReadResult{Failed: true}}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 0, 0},
		"stream lost before the start":                                   {[]claim.Event{swapped, streamLost, reportedMine(claim.ReportedTombstoned)}, codes.BackendLost, codes.OutcomeNotRun, 1, 1},
		"agent restarted during the run":                                 {[]claim.Event{swapped, streamLost, reportedMine(claim.ReportedOtherIncarnation), stored(claim.StateClaimed, mine)}, codes.OutcomeNotKnown, codes.OutcomeUnknown, 1, 0},
		"deadline while queued":                                          {[]claim.Event{swapped, claim.DeadlinePassed{}, reportedMine(claim.ReportedTombstoned)}, codes.DeadlineExceeded, codes.OutcomeNotRun, 1, 1},
		"deadline, agent does not report":                                {[]claim.Event{swapped, claim.DeadlinePassed{}, claim.DeadlinePassed{}}, codes.DeadlineExceeded, codes.OutcomeUnknown, 1, 0},
		"deadline during the write":                                      {[]claim.Event{claim.DeadlinePassed{}, swapped}, codes.DeadlineExceeded, codes.OutcomeNotRun, 0, 1},
		"deadline while awaiting the report on another attempt":          {[]claim.Event{lost, stored(claim.StateClaimed, nil), claim.DeadlinePassed{}}, codes.InProgress, codes.OutcomeUnknown, 0, 0},
		"resolved as run":                                                {[]claim.Event{lost, stored(claim.StateResolved, func(r *claim.Record) { r.Outcome = codes.OutcomeRan })}, codes.OutcomeNotKnown, codes.OutcomeRan, 0, 0},
		"resolved as not run":                                            {[]claim.Event{lost, stored(claim.StateResolved, func(r *claim.Record) { r.Outcome = codes.OutcomeNotRun }), swapped, claim.DispatchEnded{Attempt: "mine", Result: *codes.NewResult(codes.OK, ""), Answer: answer}}, codes.OK, codes.OutcomeRan, 1, 0},
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

// Guards against a request that runs twice: the entry freezes between its claim and the dispatch,
// the caller times out and sends the request again under a new key, and the entry dispatches on
// waking.
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
	actions := s.Step(start(), claim.Started{Released: freed})
	is.Equal(actions[0].(claim.CompareAndSwap).Index, uint64(7))
}
