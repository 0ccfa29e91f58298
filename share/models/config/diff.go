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

// FieldChange is the difference in one field between two configurations.
type FieldChange struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Field is the path within the document, for example stage[0].service.
	Field string `json:"field"`
	// Old and New are JSON values. They are empty where the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff returns the fields that differ between two configurations, ordered by kind, name and field.
func Diff(old, next Set) []FieldChange {
	var changes []FieldChange
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
	values := make(map[string]any, len(list))
	for _, d := range list {
		values[d.name] = d.value
	}
	return values
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

func diffDocument(kind Kind, name string, before, after any) []FieldChange {
	oldLeaves, newLeaves := flatten(before), flatten(after)
	var changes []FieldChange
	for field, value := range oldLeaves {
		if newLeaves[field] != value {
			changes = append(changes, FieldChange{kind, name, field, value, newLeaves[field]})
		}
	}
	for field, value := range newLeaves {
		if _, found := oldLeaves[field]; !found {
			changes = append(changes, FieldChange{kind, name, field, "", value})
		}
	}
	sortChanges(changes)
	return changes
}

// sortChanges orders changes by kind, name and field.
func sortChanges(changes []FieldChange) {
	kinds := Kinds()
	slices.SortFunc(changes, func(a, b FieldChange) int {
		return cmp.Or(
			cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind)),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Field, b.Field),
		)
	})
}

// flatten returns the leaves of a document's JSON representation, keyed by their path.
func flatten(value any) map[string]string {
	leaves := map[string]string{}
	if value == nil {
		return leaves
	}
	text, err := json.Marshal(value)
	if err != nil {
		// Marshal fails only for NaN and infinities, which valid documents do not contain.
		leaves["document"] = strconv.Quote(fmt.Sprint(value))
		return leaves
	}
	var tree any
	if json.Unmarshal(text, &tree) == nil {
		collectLeaves("", tree, leaves)
	}
	return leaves
}

// collectLeaves adds the leaves of a JSON value to leaves. Path is the path of the value itself.
func collectLeaves(path string, tree any, leaves map[string]string) {
	switch node := tree.(type) {
	case map[string]any:
		for key, child := range node {
			childPath := key
			if path != "" {
				childPath = path + "." + key
			}
			collectLeaves(childPath, child, leaves)
		}
	case []any:
		for i, child := range node {
			collectLeaves(fmt.Sprintf("%s[%d]", path, i), child, leaves)
		}
	default:
		text, err := json.Marshal(node)
		if err == nil {
			leaves[path] = string(text)
		}
	}
}
