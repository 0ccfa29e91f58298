package match

import (
	"maps"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
)

// Server is a backend server as the rules see it.
type Server struct {
	Name   string
	Labels config.Labels
}

// NewServer returns the server behind an agent, with region, domain, service and name among its labels.
func NewServer(i member.Instance) Server {
	own := config.Labels{"region": i.Region, "domain": i.Domain, "service": i.Service, "name": i.Name}
	return Server{Name: i.Name, Labels: merge(i.Labels, own)}
}

// CallerLabels returns a team's labels with its name added as team.
func CallerLabels(t *config.Team) config.Labels {
	return merge(t.Labels, config.Labels{"team": t.Name})
}

// StageLabels returns a stage's labels with stage, kind and pipeline added.
func StageLabels(pipeline string, s *config.Stage) config.Labels {
	own := config.Labels{"stage": s.Name, "kind": string(s.Kind), "pipeline": pipeline}
	return merge(s.Labels, own)
}

// merge copies given and lets own go before it: an operator's label must not pass for another team or region.
func merge(given, own config.Labels) config.Labels {
	merged := make(config.Labels, len(given)+len(own))
	maps.Copy(merged, given)
	maps.Copy(merged, own)
	return merged
}

// Verdict says whether a server may run the work.
type Verdict string

// The verdicts.
const (
	VerdictKept    Verdict = "kept"
	VerdictDropped Verdict = "dropped"
)

func (v Verdict) order() int {
	if v == VerdictKept {
		return 0
	}
	return 1
}

// Term is what one rule adds to the judgement of one server.
type Term struct {
	Rule    string
	Effect  config.Effect
	Matched bool
	// Drops is set where this rule alone bars the server.
	Drops bool
	// Weight is the preference that the rule adds; 0 unless it prefers the server.
	Weight int
}

// Candidate is the judgement of one server.
type Candidate struct {
	Server  string
	Verdict Verdict
	// DroppedBy names the first rule that bars the server; empty when it is kept.
	DroppedBy  string
	Preference int
	// Terms has one element for each rule that applies, in the order of the rules.
	Terms []Term
}

func (c *Candidate) drop(rule string) {
	if c.Verdict == VerdictDropped {
		return
	}
	c.Verdict = VerdictDropped
	c.DroppedBy = rule
}
