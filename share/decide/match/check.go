package match

import (
	"k8s.io/apimachinery/pkg/labels"

	"verbenaroad.example/share/models/config"
)

// Caller holds what the rules need to know about a team.
type Caller struct {
	Name   string
	Labels config.Labels
}

// Stage holds what the rules need to know about a stage, and the backend servers of its service.
type Stage struct {
	// Name identifies the stage to the operator, for instance "pipeline/stage".
	Name    string
	Labels  config.Labels
	Servers []Server
}

// EmptyStage is a stage that no server may run for a group of callers.
type EmptyStage struct {
	Stage string
	// Caller is the first affected caller, in the order given to Check; CallerCount counts all of
	// them.
	Caller      string
	CallerCount int
	// Rule names the rule that excluded the last remaining server; it is empty when the stage has no
	// servers.
	Rule string
}

// Check returns the stages for which the rules leave some callers without a server. Callers to whom
// the same rules apply in a stage share one result.
func (r *Rules) Check(callers []Caller, stages []Stage) []EmptyStage {
	groups := r.groupCallers(callers)
	var empties []EmptyStage
	for _, s := range stages {
		seen := make(map[string]int)
		for _, g := range groups {
			selection, key := r.selectGroup(g, s.Labels)
			if i, ok := seen[key]; ok {
				if i >= 0 {
					empties[i].CallerCount += g.count
				}
				continue
			}
			seen[key] = -1
			rule, empty := selection.findExcludingRule(s.Servers)
			if empty {
				seen[key] = len(empties)
				empties = append(empties, EmptyStage{Stage: s.Name, Caller: g.first, CallerCount: g.count, Rule: rule})
			}
		}
	}
	return empties
}

// callerGroup represents the callers that the same rules match, so that the cost of Check depends
// on the number of groups, which is small even with 19,000 teams.
type callerGroup struct {
	// first is the name of the group's first caller.
	first string
	count int
	// matched has one byte for each rule: 1 if its caller selector matches the group, otherwise 0.
	matched string
}

// groupCallers groups the callers by the rules whose caller selectors match them.
func (r *Rules) groupCallers(callers []Caller) []callerGroup {
	var groups []callerGroup
	index := make(map[string]int)
	matched := make([]byte, len(r.rules))
	for _, c := range callers {
		for i := range r.rules {
			matched[i] = 0
			if r.rules[i].caller.Matches(labels.Set(c.Labels)) {
				matched[i] = 1
			}
		}
		i, ok := index[string(matched)]
		if !ok {
			i = len(groups)
			index[string(matched)] = i
			groups = append(groups, callerGroup{first: c.Name, matched: string(matched)})
		}
		groups[i].count++
	}
	return groups
}

// selectGroup returns the rules that apply to the group in a stage, and a key that is equal for
// equal selections.
func (r *Rules) selectGroup(g callerGroup, stage config.Labels) (*Selection, string) {
	s := &Selection{}
	key := []byte(g.matched)
	for i := range r.rules {
		if key[i] == 1 && r.rules[i].stage.Matches(labels.Set(stage)) {
			s.rules = append(s.rules, &r.rules[i])
			continue
		}
		key[i] = 0
	}
	return s, string(key)
}

// findExcludingRule applies the rules in order and returns the name of the one that excludes the
// last remaining server. It returns an empty name when there are no servers to begin with.
func (s *Selection) findExcludingRule(servers []Server) (rule string, empty bool) {
	remaining := servers
	if len(remaining) == 0 {
		return "", true
	}
	for _, r := range s.rules {
		var kept []Server
		for _, server := range remaining {
			if !r.drops(r.server.Matches(labels.Set(server.Labels))) {
				kept = append(kept, server)
			}
		}
		if len(kept) == 0 {
			return r.name, true
		}
		remaining = kept
	}
	return "", false
}
