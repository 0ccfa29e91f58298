package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
)

const validTOML = `
[[team]]
name = "kranj"
token-sha256 = ["` + digestA + `"]
priority = "normal"
weight = 1.0
[team.labels]
tier = "workshop"

[[pool]]
name = "gpu"
committed = 10.0
price = 1.0
beyond-price = 2.0
beyond-priority = "urgent"

[[service]]
name = "llm"
kind = "engine"
deadline = "10s"
pool = "gpu"

[[pipeline]]
name = "notes"
deadline = "4s"
[[pipeline.stage]]
name = "generate"
kind = "generate"
service = "llm"

[[rule]]
name = "near"
server = "region=osrednja"
effect = "prefer"
weight = 10

[[operator]]
name = "ana"
token-sha256 = "` + digestB + `"
role = "change"

[[limits]]
name = "deployment"
stale-after = "0s"
claim-retention = "24h"
`

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func parseValid(t *testing.T) config.Set {
	t.Helper()
	is := is.New(t)
	set, problems := config.ParseTOML("valid.toml", []byte(validTOML))
	is.Equal(len(problems), 0)
	is.Equal(len(config.Validate(set)), 0)
	return set
}

// Guards against a parser that stops at the first error, so that an operator has to fix a text and
// submit it again for each error.
func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validTOML, `"10s"`, `"10 parsecs"`, 1)
	text = strings.Replace(text, `"4s"`, `"soon"`, 1)
	text = strings.Replace(text, "weight = 10\n", "wait = 10\n", 1)
	text = strings.Replace(text, "price = 1.0", `price = "one"`, 1)
	_, problems := config.ParseTOML("bad.toml", []byte(text))
	is.Equal(len(problems), 4)
	fields := map[string]bool{}
	for _, p := range problems {
		is.Equal(p.File, "bad.toml")
		is.True(p.Line > 1)
		is.True(strings.Contains(strings.Split(text, "\n")[p.Line-1], p.Field[strings.LastIndex(p.Field, ".")+1:]))
		fields[p.Field[strings.LastIndex(p.Field, ".")+1:]] = true
	}
	is.True(fields["deadline"] && fields["wait"] && fields["price"])
}

// Guards against errors that are not reported, or with the wrong field or line. Each case
// introduces one error into a valid text.
func TestValidate(t *testing.T) {
	tests := []struct {
		name, old, new, field string
	}{
		{"missing service", `service = "llm"`, `service = "gone"`, "stage[0].service"},
		{"service of the wrong kind", `kind = "engine"`, `kind = "pool"`, "stage[0].service"},
		{"missing pool", `pool = "gpu"`, `pool = "tpu"`, "pool"},
		{"bad selector", `"region=osrednja"`, `"region in osrednja"`, "server"},
		{"rule weight out of range", "weight = 10\n", "weight = 101\n", "weight"},
		{"team weight not a number", "weight = 1.0", "weight = nan", "weight"},
		{"bad name", `name = "kranj"`, `name = "Kranj!"`, "name"},
		{"bad digest", digestA, "abc", "token-sha256"},
		{"no operator with the role change", `role = "change"`, `role = "read"`, "role"},
		{"claim retention too short", `"24h"`, `"1s"`, "claim-retention"},
		{"bad label value", `tier = "workshop"`, `tier = "a b"`, "labels.tier"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validTOML, tt.old, tt.new, 1)
			is.True(text != validTOML)
			set, problems := config.ParseTOML("a.toml", []byte(text))
			is.Equal(len(problems), 0)
			problems = config.NewSourceMap("a.toml", []byte(text)).Locate(config.Validate(set))
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Field, tt.field)
			if problems[0].Name == "" {
				return
			}
			line := strings.Split(text, "\n")[problems[0].Line-1]
			is.True(strings.Contains(line, tt.new) || strings.Contains(tt.new, strings.TrimSpace(line)) || strings.Contains(line, "service ="))
		})
	}
}

// Guards against two teams with the same token. A caller with that token could be taken for either
// team.
func TestValidateRejectsTokenOfTwoTeams(t *testing.T) {
	is := is.New(t)
	set := parseValid(t)
	duplicate := set.Teams[0]
	duplicate.Name = "celje"
	set.Teams = append(set.Teams, duplicate)
	problems := config.Validate(set)
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Field, "token-sha256")
}

// Guards against a merge that modifies its base, and against a diff that misses a changed field or
// a removed document.
func TestDiffAndMerge(t *testing.T) {
	is := is.New(t)
	base := parseValid(t)
	team := base.Teams[0]
	team.Weight = 2
	patch := config.Set{Teams: []config.Team{team}}
	next := config.Merge(base, patch, []config.Reference{{Kind: config.KindRule, Name: "near"}})
	is.Equal(base.Teams[0].Weight, 1.0)
	is.Equal(len(next.Rules), 0)
	changes := config.Diff(base, next)
	is.Equal(changes[0], config.FieldChange{Kind: config.KindTeam, Name: "kranj", Field: "weight", Old: "1", New: "2"})
	is.Equal(len(changes), 5) // the weight and the rule's four fields
	is.Equal(len(config.Diff(next, next)), 0)
}
