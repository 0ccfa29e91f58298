package config

import (
	"cmp"
	"slices"
)

// document is a document of any kind. Its value is a pointer to the typed document, for example
// *Team.
type document struct {
	kind  Kind
	name  string
	value any
}

// list returns the documents of a kind. Their values point into the set.
func (s *Set) list(kind Kind) []document {
	var list []document
	switch kind {
	case KindTeam:
		for i := range s.Teams {
			list = append(list, document{kind, s.Teams[i].Name, &s.Teams[i]})
		}
	case KindPipeline:
		for i := range s.Pipelines {
			list = append(list, document{kind, s.Pipelines[i].Name, &s.Pipelines[i]})
		}
	case KindService:
		for i := range s.Services {
			list = append(list, document{kind, s.Services[i].Name, &s.Services[i]})
		}
	case KindRule:
		for i := range s.Rules {
			list = append(list, document{kind, s.Rules[i].Name, &s.Rules[i]})
		}
	case KindPool:
		for i := range s.Pools {
			list = append(list, document{kind, s.Pools[i].Name, &s.Pools[i]})
		}
	case KindOperator:
		for i := range s.Operators {
			list = append(list, document{kind, s.Operators[i].Name, &s.Operators[i]})
		}
	case KindLimits:
		for i := range s.Limits {
			list = append(list, document{kind, s.Limits[i].Name, &s.Limits[i]})
		}
	}
	return list
}

// add appends a shallow copy of a document to the set.
func (s *Set) add(d document) {
	switch v := d.value.(type) {
	case *Team:
		s.Teams = append(s.Teams, *v)
	case *Pipeline:
		s.Pipelines = append(s.Pipelines, *v)
	case *Service:
		s.Services = append(s.Services, *v)
	case *Rule:
		s.Rules = append(s.Rules, *v)
	case *Pool:
		s.Pools = append(s.Pools, *v)
	case *Operator:
		s.Operators = append(s.Operators, *v)
	case *Limits:
		s.Limits = append(s.Limits, *v)
	}
}

// GetDocument returns a pointer to the document, for example a *Team, or nil if there is none.
func (s *Set) GetDocument(ref Reference) any {
	for _, d := range s.list(ref.Kind) {
		if d.name == ref.Name {
			return d.value
		}
	}
	return nil
}

// Filter returns the documents of a kind, or only the one with the given name if name is not empty.
func (s *Set) Filter(kind Kind, name string) Set {
	var filtered Set
	for _, d := range s.list(kind) {
		if name == "" || d.name == name {
			filtered.add(d)
		}
	}
	return filtered
}

// Count returns the number of documents of all kinds.
func (s *Set) Count() int {
	return len(s.Teams) + len(s.Pipelines) + len(s.Services) + len(s.Rules) + len(s.Pools) + len(s.Operators) + len(s.Limits)
}

// Sort sorts the documents of each kind by name.
func (s *Set) Sort() {
	slices.SortFunc(s.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Pipelines, func(a, b Pipeline) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Operators, func(a, b Operator) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Limits, func(a, b Limits) int { return cmp.Compare(a.Name, b.Name) })
}

// Merge returns the documents of base without those that are removed, with the documents of patch
// added to them or replacing those of the same name. The lists of documents are newly allocated.
func Merge(base, patch Set, removals []Reference) Set {
	var merged Set
	for _, kind := range Kinds() {
		dropped := map[string]bool{}
		for _, d := range patch.list(kind) {
			dropped[d.name] = true
		}
		for _, r := range removals {
			if r.Kind == kind {
				dropped[r.Name] = true
			}
		}
		for _, d := range base.list(kind) {
			if !dropped[d.name] {
				merged.add(d)
			}
		}
		for _, d := range patch.list(kind) {
			merged.add(d)
		}
	}
	merged.Sort()
	return merged
}
