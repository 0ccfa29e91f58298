// Package match decides by label selectors which backend servers may run a
// stage for a caller and in what order of preference.
//
// Rules is immutable and safe for concurrent use. Cache is not, since Select
// changes it: it belongs to one goroutine, or its caller locks it.
package match

import (
	"cmp"
	"slices"

	"github.com/zeebo/errs"
	"k8s.io/apimachinery/pkg/labels"

	"verbenaroad.example/share/models/config"
)

// ErrMatch is the class of errors of this package.
var ErrMatch = errs.Class("match") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// rule is a config.Rule with parsed selectors.
type rule struct {
	name   string
	caller labels.Selector
	stage  labels.Selector
	server labels.Selector
	effect config.Effect
	weight int
}

// Rules holds the compiled rules of one configuration snapshot.
type Rules struct {
	rules []rule
}

// Compile parses the selectors of the rules and checks their effects. The error lists every invalid
// selector or effect with its rule and field.
func Compile(documents []config.Rule) (*Rules, error) {
	r := &Rules{rules: make([]rule, 0, len(documents))}
	var group errs.Group
	for _, d := range documents {
		compiled := rule{name: d.Name, effect: d.Effect, weight: d.Weight}
		compiled.caller = parse(&group, d.Name, "caller", d.Caller)
		compiled.stage = parse(&group, d.Name, "stage", d.Stage)
		compiled.server = parse(&group, d.Name, "server", d.Server)
		group.Add(checkEffect(d))
		r.rules = append(r.rules, compiled)
	}
	if err := group.Err(); err != nil {
		return nil, err
	}
	return r, nil
}

func parse(group *errs.Group, name, field, text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		group.Add(ErrMatch.New("rule %q: %s: %v", name, field, err))
	}
	return selector
}

func checkEffect(d config.Rule) error {
	switch d.Effect {
	case config.EffectRequire, config.EffectPrefer, config.EffectForbid:
		return nil
	default:
		return ErrMatch.New("rule %q: effect: %q is none of require, prefer, forbid", d.Name, d.Effect)
	}
}

// Select returns the rules that apply to work of the caller in the stage.
func (r *Rules) Select(caller, stage config.Labels) *Selection {
	s := &Selection{}
	for i := range r.rules {
		if r.rules[i].stage.Matches(labels.Set(stage)) && r.rules[i].caller.Matches(labels.Set(caller)) {
			s.rules = append(s.rules, &r.rules[i])
		}
	}
	return s
}

// Rank selects the rules that apply and ranks the servers by them, as Selection.Rank does.
func (r *Rules) Rank(caller, stage config.Labels, servers []Server) []Candidate {
	return r.Select(caller, stage).Rank(servers)
}

// Selection holds the rules that apply to one caller and stage; it never changes.
type Selection struct {
	rules []*rule
}

// Allow reports whether the server may run the work, and the sum of the weights of the rules that
// prefer it.
func (s *Selection) Allow(server Server) (preference int, allowed bool) {
	for _, r := range s.rules {
		matched := r.server.Matches(labels.Set(server.Labels))
		if r.drops(matched) {
			return 0, false
		}
		if matched && r.effect == config.EffectPrefer {
			preference += r.weight
		}
	}
	return preference, true
}

// drops reports whether the rule excludes a server, given whether its server selector matches.
func (r *rule) drops(matched bool) bool {
	switch r.effect {
	case config.EffectRequire:
		return !matched
	case config.EffectForbid:
		return matched
	default:
		return false
	}
}

// Rank evaluates all rules for each server. It returns the kept servers first, by descending
// preference and then by name, followed by the dropped ones in the same order.
func (s *Selection) Rank(servers []Server) []Candidate {
	candidates := make([]Candidate, 0, len(servers))
	for _, server := range servers {
		candidates = append(candidates, s.evaluate(server))
	}
	slices.SortStableFunc(candidates, compareCandidates)
	return candidates
}

// evaluate returns the verdict of all rules on the server.
func (s *Selection) evaluate(server Server) Candidate {
	c := Candidate{Server: server.Name, Verdict: VerdictKept, RuleVerdicts: make([]RuleVerdict, 0, len(s.rules))}
	for _, r := range s.rules {
		v := RuleVerdict{Rule: r.name, Effect: r.effect, Matched: r.server.Matches(labels.Set(server.Labels))}
		if r.drops(v.Matched) {
			v.Drops = true
			c.drop(r.name)
		}
		if v.Matched && r.effect == config.EffectPrefer {
			v.Weight = r.weight
			c.Preference += r.weight
		}
		c.RuleVerdicts = append(c.RuleVerdicts, v)
	}
	return c
}

func compareCandidates(a, b Candidate) int {
	if a.Verdict != b.Verdict {
		return cmp.Compare(a.Verdict.order(), b.Verdict.order())
	}
	if a.Preference != b.Preference {
		return cmp.Compare(b.Preference, a.Preference)
	}
	return cmp.Compare(a.Server, b.Server)
}
