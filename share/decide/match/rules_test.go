package match_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
)

func rules() []config.Rule {
	return []config.Rule{
		{Name: "gpu-only", Stage: "kind=generate", Server: "gpu", Effect: config.EffectRequire},
		{Name: "no-spot", Caller: "tier=gold", Server: "spot=true", Effect: config.EffectForbid},
		{Name: "near-store", Server: "region in (osrednja, stajerska)", Effect: config.EffectPrefer, Weight: 10},
		{Name: "large", Stage: "kind=generate", Server: "gpu=large", Effect: config.EffectPrefer, Weight: 5},
	}
}

func servers() []match.Server {
	return []match.Server{
		match.NewServer(member.Instance{Name: "a", Region: "osrednja", Labels: config.Labels{"gpu": "small"}}),
		match.NewServer(member.Instance{Name: "b", Region: "osrednja", Labels: config.Labels{"gpu": "large", "spot": "true"}}),
		match.NewServer(member.Instance{Name: "c", Region: "primorska", Labels: config.Labels{"gpu": "large"}}),
		match.NewServer(member.Instance{Name: "d", Region: "osrednja"}),
	}
}

func TestRankOrdersAndExplains(t *testing.T) {
	generate := match.StageLabels("notes", &config.Stage{Name: "draft", Kind: config.StageGenerate})
	encode := match.StageLabels("notes", &config.Stage{Name: "embed", Kind: config.StageEncode})
	gold := match.CallerLabels(&config.Team{Name: "kranj", Labels: config.Labels{"tier": "gold"}})
	plain := match.CallerLabels(&config.Team{Name: "celje"})
	cases := []struct {
		name          string
		caller, stage config.Labels
		want          string
	}{
		{"all rules", gold, generate, "a+10 c+5 b:no-spot d:gpu-only"},
		{"spot allowed", plain, generate, "b+15 a+10 c+5 d:gpu-only"},
		{"no gpu needed", plain, encode, "a+10 b+10 d+10 c+0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r, err := match.Compile(rules())
			is.NoErr(err)
			is.Equal(formatCandidates(r.Rank(tc.caller, tc.stage, servers())), tc.want)
		})
	}
}

// formatCandidates renders a kept candidate as "server+preference" and a dropped one as
// "server:rule".
func formatCandidates(candidates []match.Candidate) string {
	var words []string
	for _, c := range candidates {
		if c.Verdict == match.VerdictDropped {
			words = append(words, c.Server+":"+c.DroppedBy)
			continue
		}
		words = append(words, fmt.Sprintf("%s+%d", c.Server, c.Preference))
	}
	return strings.Join(words, " ")
}

func TestReservedLabelsOverrideConfiguredOnes(t *testing.T) {
	is := is.New(t)
	l := match.CallerLabels(&config.Team{Name: "celje", Labels: config.Labels{"team": "kranj"}})
	is.Equal(l["team"], "celje")
}

func TestCompileListsEveryError(t *testing.T) {
	is := is.New(t)
	_, err := match.Compile([]config.Rule{
		{Name: "one", Server: "a in (", Effect: config.EffectForbid},
		{Name: "two", Caller: "==", Effect: "allow"},
	})
	is.True(match.ErrMatch.Has(err))
	for _, part := range []string{`"one": server`, `"two": caller`, `"two": effect`} {
		is.True(strings.Contains(fmt.Sprintf("%+v", err), part))
	}
}

func TestCheckReportsTheExcludingRule(t *testing.T) {
	is := is.New(t)
	documents := append(rules(), config.Rule{Name: "forbid-all", Caller: "tier=gold", Server: "region", Effect: config.EffectForbid})
	r, err := match.Compile(documents)
	is.NoErr(err)
	callers := []match.Caller{
		{Name: "celje", Labels: config.Labels{}},
		{Name: "kranj", Labels: config.Labels{"tier": "gold"}},
		{Name: "koper", Labels: config.Labels{"tier": "gold"}},
	}
	stages := []match.Stage{
		{Name: "notes/draft", Labels: config.Labels{"kind": "generate"}, Servers: servers()},
		{Name: "notes/embed", Labels: config.Labels{"kind": "encode"}},
	}
	is.Equal(r.Check(callers, stages), []match.EmptyStage{
		{Stage: "notes/draft", Caller: "kranj", CallerCount: 2, Rule: "forbid-all"},
		{Stage: "notes/embed", Caller: "celje", CallerCount: 1},
		{Stage: "notes/embed", Caller: "kranj", CallerCount: 2},
	})
}

func TestCacheAndRulesAgree(t *testing.T) {
	r, err := match.Compile(rules())
	is.New(t).NoErr(err)
	cache := match.NewCache(r, 3)
	rapid.Check(t, func(t *rapid.T) {
		caller := config.Labels{"tier": rapid.SampledFrom([]string{"gold", "none"}).Draw(t, "tier")}
		stage := config.Labels{"kind": rapid.SampledFrom([]string{"generate", "encode", "rerank"}).Draw(t, "kind")}
		want := r.Rank(caller, stage, servers())
		got := cache.Select(caller, stage).Rank(servers())
		if !reflect.DeepEqual(want, got) || cache.Len() > 3 {
			t.Fatalf("cache returned %v, rules returned %v", got, want)
		}
		for _, c := range want {
			for _, s := range servers() {
				p, ok := cache.Select(caller, stage).Allow(s)
				if s.Name == c.Server && (ok != (c.Verdict == match.VerdictKept) || ok && p != c.Preference) {
					t.Fatalf("Allow and Rank disagree on server %s", s.Name)
				}
			}
		}
	})
}
