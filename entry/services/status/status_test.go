package status_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/status"
	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/admapi"
)

// entry is a fake of the entry's parts that the status is read from.
type entry struct {
	snapshot   *config.Snapshot
	heartbeats int
	gone       int
	lists      int
}

func (e *entry) OnPeerHeartbeat(string, *wire.Beat, time.Time) { e.heartbeats++ }
func (e *entry) OnPeerDisconnected(string)                     { e.gone++ }
func (e *entry) OnInstances([]member.Instance)                 { e.lists++ }
func (e *entry) AnswerFetch(*wire.Fetch) *wire.Chunks          { return &wire.Chunks{Revision: 3} }
func (e *entry) Snapshot() *config.Snapshot                    { return e.snapshot }

func (e *entry) GetRevision(time.Time) (uint64, time.Duration) { return 3, 400 * time.Millisecond }

func (e *entry) FindReports(time.Time) []spend.Report {
	return []spend.Report{{
		Pool: "gpu", Span: time.Minute, Committed: 60, Used: 20, Idle: 40, Beyond: 1,
		Lines: []spend.Line{{Stage: "notes/generate", Team: "kranj", Used: 20, Beyond: 1}},
	}}
}

func newStatus(e *entry, view *status.InstanceView) *status.Service {
	return status.NewService(status.Options{
		Self:          "entry-1",
		View:          view,
		Configuration: e,
		Accounts:      e,
		Ready:         func() error { return errors.New("leaving") },
		Calls: func() calls.Report {
			return calls.Report{Stages: map[string]calls.StageUse{"llm/generate": {Runs: 2, Cost: 3, Tokens: 40, BusySeconds: 1.5}}}
		},
		Results: func() map[string]uint64 { return map[string]uint64{"ok": 2, "overloaded": 1} },
	})
}

func TestStatusOfInstances(t *testing.T) {
	is := is.New(t)
	e := &entry{snapshot: config.NewSnapshot(3, config.Set{Rules: []config.Rule{change.DrainRule("llm-3")}})}
	view := status.NewInstanceView(e)
	view.OnInstances([]member.Instance{
		{Name: "llm-1", Role: member.RoleAgent},
		{Name: "llm-2", Role: member.RoleAgent},
		{Name: "llm-3", Role: member.RoleAgent},
		{Name: "llm-4", Role: member.RoleAgent},
		{Name: "llm-5", Role: member.RoleAgent, Leaving: true},
		{Name: "llm-6", Role: member.RoleAgent},
		{Name: "entry-1", Role: member.RoleEntry},
	})
	load := &wire.Load{Running: 3, Queued: 1, Slots: 8, WaitNanos: 2000}
	view.OnPeerHeartbeat("llm-1", &wire.Beat{Revision: 3, Load: load}, time.Time{})
	view.OnPeerHeartbeat("llm-2", &wire.Beat{Revision: 2, Leaving: true}, time.Time{})
	view.OnPeerHeartbeat("llm-3", &wire.Beat{Revision: 3, Load: load}, time.Time{})
	view.OnPeerHeartbeat("llm-6", &wire.Beat{Revision: 3}, time.Time{})
	view.OnPeerDisconnected("llm-6")
	is.Equal([]int{e.heartbeats, e.gone, e.lists}, []int{4, 1, 1}) // the view passes everything on
	is.Equal(view.AnswerFetch(nil).GetRevision(), uint64(3))
	got, err := newStatus(e, view).GetStatus(t.Context())
	is.NoErr(err)
	is.Equal(got.Readiness, "leaving")
	want := []struct {
		name     string
		state    admapi.InstanceState
		revision uint64
		running  int
	}{
		{"entry-1", admapi.StateConnected, 3, 0},
		{"llm-1", admapi.StateConnected, 3, 3},
		{"llm-2", admapi.StateLeaving, 2, 0},
		{"llm-3", admapi.StateDrained, 3, 3},
		{"llm-4", admapi.StateListed, 0, 0},
		{"llm-5", admapi.StateLeaving, 0, 0},
		{"llm-6", admapi.StateListed, 0, 0},
	}
	is.Equal(len(got.Instances), len(want))
	for i, w := range want {
		is.Equal(got.Instances[i].Name, w.name)
		is.Equal(got.Instances[i].State, w.state)
		is.Equal(got.Instances[i].Revision, w.revision)
		is.Equal(got.Instances[i].Running, w.running)
	}
}

func TestStatusOfSpendAndCounts(t *testing.T) {
	is := is.New(t)
	e := &entry{}
	got, err := newStatus(e, status.NewInstanceView(e)).GetStatus(t.Context())
	is.NoErr(err)
	is.Equal(got.Pools[0].Idle, 40.0)
	is.Equal(got.Teams[0], admapi.TeamUsage{Pool: "gpu", Stage: "notes/generate", Team: "kranj", Used: 20, Beyond: 1})
	is.Equal(got.Stages[0].Busy.Value(), 1500*time.Millisecond)
	is.Equal(got.Results[0], admapi.ResultCount{Name: "ok", Count: 2})
}
