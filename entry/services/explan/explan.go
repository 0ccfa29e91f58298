// Package explan tells operators why work would go where: rule by rule, then
// by the routing policy's own terms. It decides nothing itself.
package explan

import (
	"cmp"
	"context"
	"slices"
	"time"

	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

// Configuration is the one in force in this process.
type Configuration interface {
	// Snapshot returns nil while there is none.
	Snapshot() *config.Snapshot
}

// Fleet explains the choice among a service's agents.
type Fleet interface {
	Explain(now time.Time, options fleet.ChooseOptions) ([]route.Explanation, error)
}

// Instances are those that the entry knows.
type Instances interface {
	FindInstances() []member.Instance
}

// Query names the work to be explained.
type Query struct {
	Team string
	// Pipeline, or Service for direct calls.
	Pipeline string
	Service  string
	// Stage is empty for all stages of the pipeline.
	Stage string
}

// Service answers queries.
type Service struct {
	configuration Configuration
	fleet         Fleet
	instances     Instances
}

// NewService returns a service over its parts.
func NewService(configuration Configuration, agents Fleet, instances Instances) *Service {
	return &Service{configuration: configuration, fleet: agents, instances: instances}
}

// work is one stage's work of a team.
type work struct {
	caller config.Labels
	stage  config.Labels
	budget time.Duration
}

// Explain tells for each stage where the team's work would go now.
func (s *Service) Explain(_ context.Context, q Query) (admapi.Explanation, error) {
	snapshot := s.configuration.Snapshot()
	if snapshot == nil {
		return admapi.Explanation{}, codes.NewResult(codes.NotReady, "the instance has no configuration yet")
	}
	team := snapshot.GetTeamByName(q.Team)
	if team == nil {
		return admapi.Explanation{}, codes.NewResult(codes.NotFound, "no team has this name")
	}
	out := admapi.Explanation{Revision: snapshot.Revision, Team: q.Team}
	var err error
	if q.Service != "" {
		out.Stages, err = s.explainService(snapshot, team, q.Service)
	} else {
		out.Stages, err = s.explainPipeline(snapshot, team, q)
	}
	return out, err
}

func (s *Service) explainService(snapshot *config.Snapshot, team *config.Team, name string) ([]admapi.StageExplanation, error) {
	service := snapshot.GetServiceByName(name)
	if service == nil {
		return nil, codes.NewResult(codes.NotFound, "no service has this name")
	}
	servers, err := s.explainServers(snapshot, name, work{
		caller: match.CallerLabels(team),
		stage:  config.Labels{"service": name, "kind": string(service.Kind)},
		budget: service.Deadline.Value(),
	})
	return []admapi.StageExplanation{{Service: name, Servers: servers}}, err
}

func (s *Service) explainPipeline(snapshot *config.Snapshot, team *config.Team, q Query) ([]admapi.StageExplanation, error) {
	pipeline := snapshot.GetPipelineByName(q.Pipeline)
	if pipeline == nil {
		return nil, codes.NewResult(codes.NotFound, "no pipeline has this name")
	}
	var stages []admapi.StageExplanation
	for i := range pipeline.Stages {
		stage := &pipeline.Stages[i]
		if q.Stage != "" && q.Stage != stage.Name {
			continue
		}
		servers, err := s.explainServers(snapshot, stage.Service, work{
			caller: match.CallerLabels(team),
			stage:  match.StageLabels(pipeline.Name, stage),
			budget: pipeline.Deadline.Value(),
		})
		if err != nil {
			return nil, err
		}
		stages = append(stages, admapi.StageExplanation{
			Pipeline: pipeline.Name,
			Stage:    stage.Name,
			Service:  stage.Service,
			Servers:  servers,
		})
	}
	if len(stages) == 0 {
		return nil, codes.NewResult(codes.NotFound, "the pipeline has no stage of this name")
	}
	return stages, nil
}

func (s *Service) explainServers(snapshot *config.Snapshot, service string, w work) ([]admapi.ServerExplanation, error) {
	terms, err := s.fleet.Explain(time.Now(), fleet.ChooseOptions{
		Service:  service,
		Snapshot: snapshot,
		Caller:   w.caller,
		Stage:    w.stage,
		Budget:   w.budget,
	})
	if err != nil {
		return nil, err
	}
	verdicts, err := s.judge(snapshot, service, w)
	if err != nil {
		return nil, err
	}
	servers := make([]admapi.ServerExplanation, 0, len(terms))
	for i := range terms {
		servers = append(servers, newServer(&terms[i], verdicts[terms[i].Name]))
	}
	rank(servers)
	return servers, nil
}

// judge applies the rules to each known agent of the service.
func (s *Service) judge(snapshot *config.Snapshot, service string, w work) (map[string][]admapi.RuleVerdict, error) {
	rules, err := match.Compile(snapshot.Set.Rules)
	if err != nil {
		return nil, err
	}
	var servers []match.Server
	for _, instance := range s.instances.FindInstances() {
		if instance.Role == member.RoleAgent && instance.Service == service {
			servers = append(servers, match.NewServer(instance))
		}
	}
	verdicts := make(map[string][]admapi.RuleVerdict, len(servers))
	for _, candidate := range rules.Rank(w.caller, w.stage, servers) {
		for _, t := range candidate.RuleVerdicts {
			verdict := admapi.RuleVerdict{Rule: t.Rule, Effect: t.Effect, Matched: t.Matched, Drops: t.Drops, Weight: t.Weight}
			verdicts[candidate.Server] = append(verdicts[candidate.Server], verdict)
		}
	}
	return verdicts, nil
}

func newServer(t *route.Explanation, rules []admapi.RuleVerdict) admapi.ServerExplanation {
	return admapi.ServerExplanation{
		Instance:         t.Name,
		Region:           t.Region,
		Eligible:         t.Reason == route.ReasonNone,
		Reason:           string(t.Reason),
		Score:            round(t.Score),
		Wait:             round(t.Wait),
		SlowStartPenalty: round(t.SlowStartPenalty),
		Affinity:         round(t.Affinity),
		Preference:       round(t.Preference),
		Rules:            rules,
	}
}

func round(d time.Duration) config.Duration {
	return config.Duration(d.Round(time.Microsecond))
}

// rank puts those that may be taken first, the least score before the others.
func rank(servers []admapi.ServerExplanation) {
	slices.SortFunc(servers, func(a, b admapi.ServerExplanation) int {
		if a.Eligible != b.Eligible {
			if a.Eligible {
				return -1
			}
			return 1
		}
		if !a.Eligible {
			return cmp.Compare(a.Instance, b.Instance)
		}
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Instance, b.Instance))
	})
	for i := range servers {
		if servers[i].Eligible {
			servers[i].Rank = i + 1
		}
	}
}
