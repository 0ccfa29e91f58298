package match

import (
	"k8s.io/apimachinery/pkg/labels"

	"verbenaroad.example/share/models/config"
)

// Caller is a team as the rules see it.
type Caller struct {
	Name   string
	Labels config.Labels
}

// Stage is a stage as the rules see it, with the servers of its service.
type Stage struct {
	// Name tells the stage to the operator, for instance "pipeline/stage".
	Name    string
	Labels  config.Labels
	Servers []Server
}

// Empty is a stage that no server may run for some caller.
type Empty struct {
	Stage string
	// Caller is the first caller concerned, in the order given; Callers counts all of them.
	Caller  string
	Callers int
	// Rule is the one that dropped the last server; empty when the stage has no server at all.
	Rule string
}

// Check returns the stages that would have no candidate, at most one for each group of callers under the same rules.
func (r *Rules) Check(callers []Caller, stages []Stage) []Empty {
	groups := r.group(callers)
	var empties []Empty
	for _, s := range stages {
		seen := make(map[string]int)
		for _, g := range groups {
			selection, key := r.selectGroup(g, s.Labels)
			if i, ok := seen[key]; ok {
				if i >= 0 {
					empties[i].Callers += g.callers
				}
				continue
			}
			seen[key] = -1
			last, empty := selection.lastDrop(s.Servers)
			if empty {
				seen[key] = len(empties)
				empties = append(empties, Empty{Stage: s.Name, Caller: g.first, Callers: g.callers, Rule: last})
			}
		}
	}
	return empties
}

// callerGroup is the callers that the same rules match, so that 19,000 teams cost as much as their few kinds.
type callerGroup struct {
	first   string
	callers int
	// matched has one byte for each rule: 1 where its caller selector matches.
	matched string
}

func (r *Rules) group(callers []Caller) []callerGroup {
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
		groups[i].callers++
	}
	return groups
}

// selectGroup returns the rules for the group in a stage, and a key that is equal for equal selections.
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

// lastDrop applies the rules one after the other and names the one that leaves no server.
func (s *Selection) lastDrop(servers []Server) (rule string, empty bool) {
	left := servers
	if len(left) == 0 {
		return "", true
	}
	for _, r := range s.rules {
		var kept []Server
		for _, server := range left {
			if !r.drops(r.server.Matches(labels.Set(server.Labels))) {
				kept = append(kept, server)
			}
		}
		if len(kept) == 0 {
			return r.name, true
		}
		left = kept
	}
	return "", false
}
