package explan_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
)

// world is a fake entry with three agents of one service.
type world struct {
	snapshot  *config.Snapshot
	instances []member.Instance
	router    *route.Router
	now       time.Time
}

func (w *world) Snapshot() *config.Snapshot { return w.snapshot }

func (w *world) FindInstances() []member.Instance { return w.instances }

// Explain implements the fleet's Explain with a real router.
func (w *world) Explain(_ time.Time, o fleet.ChooseOptions) ([]route.Explanation, error) {
	rules, err := match.Compile(o.Snapshot.Set.Rules)
	if err != nil {
		return nil, err
	}
	return w.router.Explain(w.now, route.Request{Filter: rules.Select(o.Caller, o.Stage), Budget: o.Budget}), nil
}

func newWorld() *world {
	w := &world{now: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)}
	w.snapshot = config.NewSnapshot(5, config.Set{
		Teams:     []config.Team{{Name: "kranj"}},
		Services:  []config.Service{{Name: "llm", Kind: config.ServiceEngine, Deadline: config.Duration(time.Second)}},
		Pipelines: []config.Pipeline{{Name: "notes", Deadline: config.Duration(time.Second), Stages: []config.Stage{{Name: "generate", Service: "llm"}}}},
		Rules: []config.Rule{
			{Name: "not-spare", Caller: "team=kranj", Server: "tier=spare", Effect: config.EffectForbid},
			{Name: "near", Server: "region=osrednja", Effect: config.EffectPrefer, Weight: 10},
			{Name: "others", Caller: "team=celje", Server: "tier=reserved", Effect: config.EffectForbid},
		},
	})
	settings := route.DefaultSettings()
	settings.Name, settings.Service, settings.Region = "entry-1", "llm", "osrednja"
	w.router = route.New(settings)
	for _, agent := range [][3]string{{"llm-1", "stajerska", "reserved"}, {"llm-2", "osrednja", "reserved"}, {"llm-3", "osrednja", "spare"}} {
		w.instances = append(w.instances, member.Instance{
			Name: agent[0], Role: member.RoleAgent, Service: "llm", Region: agent[1], Domain: agent[1] + "-1", Labels: config.Labels{"tier": agent[2]},
		})
	}
	w.router.OnMembers(w.now, w.instances)
	for _, i := range w.instances {
		w.router.OnSession(w.now, i.Name, route.SessionUp, "i")
	}
	return w
}

func TestExplainListsRuleVerdicts(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := explan.NewService(w, w, w)
	e, err := s.Explain(t.Context(), explan.Query{Team: "kranj", Pipeline: "notes"})
	is.NoErr(err)
	is.Equal(e.Revision, uint64(5))
	is.Equal(len(e.Stages), 1)
	servers := e.Stages[0].Servers
	is.Equal(servers[0].Instance, "llm-2")
	is.Equal(servers[0].Rank, 1)
	is.True(servers[0].Preference > 0)
	is.Equal(servers[1].Instance, "llm-1")
	is.Equal(servers[2].Instance, "llm-3")
	is.Equal(servers[2].Eligible, false)
	is.Equal(servers[2].Reason, string(route.ReasonForbidden))
	is.Equal(len(servers[2].Rules), 2) // the rule for celje does not apply
	is.Equal(servers[2].Rules[0].Rule, "not-spare")
	is.True(servers[2].Rules[0].Drops)
	is.Equal(servers[0].Rules[1].Weight, 10)
	direct, err := s.Explain(t.Context(), explan.Query{Team: "kranj", Service: "llm"})
	is.NoErr(err)
	is.Equal(len(direct.Stages[0].Servers), 3)
}

func TestExplainRefusals(t *testing.T) {
	tests := []struct {
		name  string
		query explan.Query
	}{
		{"team", explan.Query{Team: "celje", Pipeline: "notes"}},
		{"pipeline", explan.Query{Team: "kranj", Pipeline: "nothing"}},
		{"stage", explan.Query{Team: "kranj", Pipeline: "notes", Stage: "rerank"}},
		{"service", explan.Query{Team: "kranj", Service: "nothing"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			_, err := explan.NewService(w, w, w).Explain(t.Context(), tt.query)
			var result *codes.Result
			is.True(errors.As(err, &result))
			is.Equal(result.Code, codes.NotFound)
		})
	}
}
