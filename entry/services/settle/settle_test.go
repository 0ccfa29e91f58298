package settle_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/settle"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/admapi"
)

// world is a key-value service with one claim and the claim's agent.
type world struct {
	stored *claim.Stored
	down   bool
	// loseAnswer makes a write take effect but return an error; conflict makes another write come
	// first.
	loseAnswer, conflict bool
	// reported is the state that the agent reports; if it is empty, the agent cannot be reached.
	reported claim.ReportedState
	asked    []*wire.Ask
	log      bytes.Buffer
}

func (w *world) GetClaim(_ context.Context, key string) (*claim.Stored, error) {
	if w.down {
		return nil, context.DeadlineExceeded
	}
	if key != claim.Key("kranj", "order-1") {
		return nil, nil
	}
	return w.stored, nil
}

func (w *world) SwapClaim(_ context.Context, _ string, record claim.Record, index uint64) (bool, error) {
	if w.conflict {
		w.stored = &claim.Stored{Record: w.stored.Record, Index: w.stored.Index + 1}
	}
	if w.stored.Index != index {
		return false, nil
	}
	w.stored = &claim.Stored{Record: record, Index: index + 1}
	if w.loseAnswer {
		return false, context.DeadlineExceeded
	}
	return true, nil
}

func (w *world) RequestTombstone(_ context.Context, _ string, ask *wire.Ask) (*wire.Told, error) {
	w.asked = append(w.asked, ask)
	if w.reported == "" {
		return nil, errors.New("no session")
	}
	return &wire.Told{State: string(w.reported)}, nil
}

func newWorld(reported claim.ReportedState) *world {
	return &world{reported: reported, stored: &claim.Stored{Index: 7, Record: claim.Record{
		State:       claim.StateClaimed,
		Attempt:     "a1",
		Agent:       "ord-1",
		Incarnation: "i1",
		BodyDigest:  "d",
		ClaimedAt:   time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC),
	}}}
}

func (w *world) newService(t *testing.T) *settle.Service {
	t.Helper()
	log, err := logs.NewLogger(&w.log, "info")
	if err != nil {
		t.Fatal(err)
	}
	return settle.NewService(w, w, log)
}

func codeOf(err error) codes.Code {
	var result *codes.Result
	if errors.As(err, &result) {
		return result.Code
	}
	return codes.OK
}

// Guards against a second run of a call whose agent was replaced while it ran: its caller gets
// "outcome unknown", and an operator settles the claim. An unreachable agent may still start the
// attempt later, so releasing the key then requires the operator's statement that the instance is
// gone.
func TestResolveDependsOnReportedState(t *testing.T) {
	tests := []struct {
		name     string
		reported claim.ReportedState
		outcome  codes.Outcome
		gone     bool
		code     codes.Code
	}{
		{"tombstoned, released", claim.ReportedTombstoned, codes.OutcomeNotRun, false, codes.OK},
		{"restarted, released", claim.ReportedOtherIncarnation, codes.OutcomeNotRun, false, codes.OK},
		{"outcome unknown, it ran", claim.ReportedOutcomeUnknown, codes.OutcomeRan, false, codes.OK},
		{"unreachable, it ran", "", codes.OutcomeRan, false, codes.OK},
		{"unreachable, released", "", codes.OutcomeNotRun, false, codes.OutcomeNotKnown},
		{"unreachable, released, instance gone", "", codes.OutcomeNotRun, true, codes.OK},
		{"busy, released", claim.ReportedBusy, codes.OutcomeNotRun, false, codes.OutcomeNotKnown},
		{"running", claim.ReportedRunning, codes.OutcomeNotRun, true, codes.InProgress},
		{"done", claim.ReportedDone, codes.OutcomeRan, true, codes.InProgress},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.reported)
			resolution := admapi.ClaimResolution{Outcome: tt.outcome, Note: "order book", InstanceGone: tt.gone}
			settled, err := w.newService(t).ResolveClaim(t.Context(), "ana", "kranj", "order-1", resolution)
			is.Equal(codeOf(err), tt.code)
			is.Equal(w.asked[0].GetAttempt(), "a1")
			is.Equal(w.asked[0].GetIncarnation(), "i1")
			if tt.code != codes.OK {
				is.Equal(w.stored.Record.State, claim.StateClaimed)
				return
			}
			is.Equal(w.stored.Record.State, claim.StateResolved)
			is.Equal(w.stored.Record.ResolvedBy, "ana")
			is.Equal(settled.Outcome, tt.outcome)
			is.True(strings.Contains(w.log.String(), "operator=ana"))
			is.True(strings.Contains(w.log.String(), `note="order book"`))
		})
	}
}

func TestResolveFailures(t *testing.T) {
	done := newWorld(claim.ReportedDone)
	done.stored.Record.State = claim.StateDone
	done.stored.Record.Answer = &claim.Answer{Status: 201}
	down := newWorld(claim.ReportedTombstoned)
	down.down = true
	lost := newWorld(claim.ReportedTombstoned)
	lost.loseAnswer = true
	changed := newWorld(claim.ReportedTombstoned)
	changed.conflict = true
	tests := []struct {
		name  string
		world *world
		key   string
		code  codes.Code
	}{
		{"no claim", newWorld(""), "order-2", codes.NotFound},
		{"settled already", done, "order-1", codes.ConfigConflict},
		{"service down", down, "order-1", codes.StoreUnavailable},
		{"answer lost", lost, "order-1", codes.ChangeUnknown},
		{"claim changed by another write", changed, "order-1", codes.ConfigConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			resolution := admapi.ClaimResolution{Outcome: codes.OutcomeNotRun}
			_, err := tt.world.newService(t).ResolveClaim(t.Context(), "ana", "kranj", tt.key, resolution)
			is.Equal(codeOf(err), tt.code)
		})
	}
	is := is.New(t)
	shown, err := done.newService(t).GetClaimByKey(t.Context(), "kranj", "order-1")
	is.NoErr(err)
	is.Equal(shown.State, "done")
	is.Equal(shown.AnswerStatus, 201)
}
