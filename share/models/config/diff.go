package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// Change is the difference of one field between two configurations.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Field is the path within the document, such as stage[0].service.
	Field string `json:"field"`
	// Old and New are JSON values; empty where the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff lists the differences field by field, by kind, name and field.
func Diff(old, next Set) []Change {
	var changes []Change
	for _, kind := range Kinds() {
		before := byName(old.list(kind))
		after := byName(next.list(kind))
		for _, name := range unionKeys(before, after) {
			if reflect.DeepEqual(before[name], after[name]) {
				continue
			}
			changes = append(changes, diffDocument(kind, name, before[name], after[name])...)
		}
	}
	return changes
}

func byName(list []document) map[string]any {
	named := make(map[string]any, len(list))
	for _, d := range list {
		named[d.name] = d.value
	}
	return named
}

func unionKeys(a, b map[string]any) []string {
	keys := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, found := a[name]; !found {
			keys = append(keys, name)
		}
	}
	slices.Sort(keys)
	return keys
}

func diffDocument(kind Kind, name string, before, after any) []Change {
	was, is := flatten(before), flatten(after)
	var changes []Change
	for field, value := range was {
		if is[field] != value {
			changes = append(changes, Change{kind, name, field, value, is[field]})
		}
	}
	for field, value := range is {
		if _, found := was[field]; !found {
			changes = append(changes, Change{kind, name, field, "", value})
		}
	}
	sortChanges(changes)
	return changes
}

// sortChanges orders changes by kind, name and field.
func sortChanges(changes []Change) {
	kinds := Kinds()
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(
			cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Field, b.Field),
		)
	})
}

// flatten returns each leaf of a document's JSON form by its path.
func flatten(value any) map[string]string {
	leaves := map[string]string{}
	if value == nil {
		return leaves
	}
	text, err := json.Marshal(value)
	if err != nil {
		// Documents hold only types that JSON can carry; NaN and infinities don't pass Validate.
		leaves["document"] = strconv.Quote(fmt.Sprint(value))
		return leaves
	}
	var tree any
	if json.Unmarshal(text, &tree) == nil {
		collect("", tree, leaves)
	}
	return leaves
}

func collect(path string, tree any, leaves map[string]string) {
	switch node := tree.(type) {
	case map[string]any:
		for key, child := range node {
			inner := key
			if path != "" {
				inner = path + "." + key
			}
			collect(inner, child, leaves)
		}
	case []any:
		for i, child := range node {
			collect(fmt.Sprintf("%s[%d]", path, i), child, leaves)
		}
	default:
		text, err := json.Marshal(node)
		if err == nil {
			leaves[path] = string(text)
		}
	}
}
