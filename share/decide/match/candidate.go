package match

import (
	"maps"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
)

// Server holds what the rules need to know about a backend server.
type Server struct {
	Name   string
	Labels config.Labels
}

// NewServer returns the backend server of an agent's instance. Its labels are those of the
// instance, with the labels region, domain, service and name added.
func NewServer(i member.Instance) Server {
	reserved := config.Labels{"region": i.Region, "domain": i.Domain, "service": i.Service, "name": i.Name}
	return Server{Name: i.Name, Labels: merge(i.Labels, reserved)}
}

// CallerLabels returns a team's labels, with its name added as the label team.
func CallerLabels(t *config.Team) config.Labels {
	return merge(t.Labels, config.Labels{"team": t.Name})
}

// StageLabels returns a stage's labels, with the labels stage, kind and pipeline added.
func StageLabels(pipeline string, s *config.Stage) config.Labels {
	reserved := config.Labels{"stage": s.Name, "kind": string(s.Kind), "pipeline": pipeline}
	return merge(s.Labels, reserved)
}

// merge returns the union of two label sets. Reserved labels override configured ones of the same
// name, so that an operator cannot label something as part of another team or region.
func merge(configured, reserved config.Labels) config.Labels {
	merged := make(config.Labels, len(configured)+len(reserved))
	maps.Copy(merged, configured)
	maps.Copy(merged, reserved)
	return merged
}

// Verdict is whether a server may run the work.
type Verdict string

// The verdicts.
const (
	VerdictKept    Verdict = "kept"
	VerdictDropped Verdict = "dropped"
)

// order returns the position of the verdict in a ranking: kept servers come first.
func (v Verdict) order() int {
	if v == VerdictKept {
		return 0
	}
	return 1
}

// RuleVerdict is the effect of one rule on one server.
type RuleVerdict struct {
	Rule    string
	Effect  config.Effect
	Matched bool
	// Drops is set if the rule excludes the server, regardless of the other rules.
	Drops bool
	// Weight is what the rule adds to the preference for the server; 0 unless it prefers the server.
	Weight int
}

// Candidate is a server with the combined verdict of all rules that apply.
type Candidate struct {
	Server  string
	Verdict Verdict
	// DroppedBy names the first rule that excludes the server; it is empty when the server is kept.
	DroppedBy string
	// Preference is the sum of the weights of the rules that prefer the server.
	Preference int
	// RuleVerdicts has one element for each rule that applies, in the order of the rules.
	RuleVerdicts []RuleVerdict
}

// drop records that the rule excludes the server. Only the first such rule counts.
func (c *Candidate) drop(rule string) {
	if c.Verdict == VerdictDropped {
		return
	}
	c.Verdict = VerdictDropped
	c.DroppedBy = rule
}
