// Package explan explains to operators which agent a call would be sent to and why: by the verdict
// of each rule, and by the parts of the routing score. It makes no decision itself.
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

// Configuration returns the configuration in force in this process.
type Configuration interface {
	// Snapshot returns nil if the process has no configuration yet.
	Snapshot() *config.Snapshot
}

// Fleet explains the choice among a service's agents.
type Fleet interface {
	Explain(now time.Time, options fleet.ChooseOptions) ([]route.Explanation, error)
}

// Instances returns the instances on the last instance list.
type Instances interface {
	FindInstances() []member.Instance
}

// Query selects the calls to explain.
type Query struct {
	Team string
	// Pipeline is the pipeline's name. For direct calls Service is set instead and takes
	// precedence.
	Pipeline string
	Service  string
	// Stage limits the explanation to one stage of the pipeline; empty means all stages.
	Stage string
}

// Service answers queries.
type Service struct {
	configuration Configuration
	fleet         Fleet
	instances     Instances
}

// NewService returns a service that uses the given configuration, fleet and instances.
func NewService(configuration Configuration, agents Fleet, instances Instances) *Service {
	return &Service{configuration: configuration, fleet: agents, instances: instances}
}

// stageQuery holds the routing inputs of one team's calls of one stage.
type stageQuery struct {
	caller config.Labels
	stage  config.Labels
	budget time.Duration
}

// Explain returns for each selected stage which agents the team's calls would be sent to now, and
// why.
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
	servers, err := s.explainServers(snapshot, name, stageQuery{
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
		servers, err := s.explainServers(snapshot, stage.Service, stageQuery{
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

func (s *Service) explainServers(snapshot *config.Snapshot, service string, q stageQuery) ([]admapi.ServerExplanation, error) {
	explanations, err := s.fleet.Explain(time.Now(), fleet.ChooseOptions{
		Service:  service,
		Snapshot: snapshot,
		Caller:   q.caller,
		Stage:    q.stage,
		Budget:   q.budget,
	})
	if err != nil {
		return nil, err
	}
	verdicts, err := s.ruleVerdicts(snapshot, service, q)
	if err != nil {
		return nil, err
	}
	servers := make([]admapi.ServerExplanation, 0, len(explanations))
	for i := range explanations {
		servers = append(servers, newServer(&explanations[i], verdicts[explanations[i].Name]))
	}
	rank(servers)
	return servers, nil
}

// ruleVerdicts returns the verdict of each rule that applies, for each known agent of the service.
func (s *Service) ruleVerdicts(snapshot *config.Snapshot, service string, q stageQuery) (map[string][]admapi.RuleVerdict, error) {
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
	for _, candidate := range rules.Rank(q.caller, q.stage, servers) {
		for _, v := range candidate.RuleVerdicts {
			verdict := admapi.RuleVerdict{Rule: v.Rule, Effect: v.Effect, Matched: v.Matched, Drops: v.Drops, Weight: v.Weight}
			verdicts[candidate.Server] = append(verdicts[candidate.Server], verdict)
		}
	}
	return verdicts, nil
}

func newServer(e *route.Explanation, rules []admapi.RuleVerdict) admapi.ServerExplanation {
	return admapi.ServerExplanation{
		Instance:         e.Name,
		Region:           e.Region,
		Eligible:         e.Reason == route.ReasonNone,
		Reason:           string(e.Reason),
		Score:            round(e.Score),
		Wait:             round(e.Wait),
		SlowStartPenalty: round(e.SlowStartPenalty),
		Affinity:         round(e.Affinity),
		Preference:       round(e.Preference),
		Rules:            rules,
	}
}

func round(d time.Duration) config.Duration {
	return config.Duration(d.Round(time.Microsecond))
}

// rank sorts the servers that could be chosen first, by ascending score, and numbers them; the
// others follow by name.
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
