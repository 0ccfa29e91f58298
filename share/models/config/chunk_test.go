package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/models/config"
)

// newLargeSet returns the set of validTOML with the given number of teams added.
func newLargeSet(teams int) config.Set {
	set, _ := config.ParseTOML("valid.toml", []byte(validTOML))
	for i := range teams {
		set.Teams = append(set.Teams, newTeam(i))
	}
	set.Sort()
	return set
}

func newTeam(i int) config.Team {
	return config.Team{
		Name:        fmt.Sprintf("team-%05d", i),
		TokenSHA256: []string{config.DigestToken(fmt.Sprint(i))},
		Priority:    config.PriorityNormal,
		Weight:      1,
		Rate:        10,
		Burst:       20,
		Labels:      config.Labels{"tier": "workshop", "region": "osrednja"},
	}
}

// Guards against a plan that differs from a full encoding of the changed set. A plan encodes only
// the changed buckets and updates the teams' indexes, so it could miss a bucket or keep a stale
// entry.
func TestPlanEqualsFullEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		base := newLargeSet(40)
		loaded, err := config.LoadSet(config.Version{Revision: 1}, base)
		is.NoErr(err)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			patch := drawPatch(t, loaded)
			plan, problems := config.NewPlan(loaded, patch)
			is.Equal(len(problems), 0)
			want := config.Merge(loaded.Snapshot.Set, patch.Set, patch.Remove)
			manifest, _ := config.EncodeSet(want)
			is.Equal(string(manifest.Encode()), string(plan.ManifestData))
			is.Equal(plan.Next.Snapshot.Set, want)
			is.Equal(plan.Changes, config.Diff(loaded.Snapshot.Set, want))
			for i := range want.Teams {
				is.Equal(plan.Next.Snapshot.GetTeamByName(want.Teams[i].Name), &want.Teams[i])
			}
			loaded = plan.Next
		}
	})
}

func drawPatch(t *rapid.T, l *config.Loaded) config.Patch {
	var patch config.Patch
	sent := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(t, "teams") {
		team := newTeam(rapid.IntRange(0, 60).Draw(t, "team"))
		team.Weight = rapid.Float64Range(1, 5).Draw(t, "weight")
		if sent[team.Name] {
			continue
		}
		sent[team.Name] = true
		if l.Snapshot.GetTeamByName(team.Name) != nil && rapid.Bool().Draw(t, "remove") {
			patch.Remove = append(patch.Remove, config.Reference{Kind: config.KindTeam, Name: team.Name})
			continue
		}
		patch.Teams = append(patch.Teams, team)
	}
	return patch
}

// Guards against loading a configuration with a corrupt or missing chunk.
func TestLoadRejectsCorruptAndMissingChunks(t *testing.T) {
	is := is.New(t)
	manifest, chunks := config.EncodeSet(parseValid(t))
	chunks[0].Data = append([]byte(" "), chunks[0].Data...)
	_, err := config.Load(nil, config.Version{Revision: 1}, manifest, chunks)
	is.True(err != nil)
	_, err = config.Load(nil, config.Version{Revision: 1}, manifest, chunks[1:])
	is.True(err != nil)
}

// Guards against a head record that grows without limit, or that drops changes too early.
func TestHeadKeepsLimitedHistory(t *testing.T) {
	is := is.New(t)
	var head config.Head
	at := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	for i := range config.MaxHistory + 10 {
		head = head.Next(config.HashBytes([]byte{byte(i)}), "", fmt.Sprint("change-", i), "ana", at)
	}
	is.Equal(len(head.History), config.MaxHistory)
	is.Equal(head.FindChange("change-9"), nil)
	is.Equal(head.FindChange("change-10").Revision, uint64(11))
	is.Equal(head.Parent.Revision, head.Revision-1)
	decoded, err := config.DecodeHead(head.Encode())
	is.NoErr(err)
	is.Equal(decoded, head)
}

// Guards against a change of one team that rewrites more than one chunk and the manifest, and
// against either of them reaching 64 KB at 19,000 teams. The design page states the sizes that the
// test logs.
func TestSizesOfNineteenThousandTeams(t *testing.T) {
	is := is.New(t)
	const teams = 19000
	const maxBytes = 64 << 10
	loaded, err := config.LoadSet(config.Version{Revision: 1}, newLargeSet(teams))
	is.NoErr(err)
	team := newTeam(7)
	team.Weight = 3
	plan, problems := config.NewPlan(loaded, config.Patch{Set: config.Set{Teams: []config.Team{team}}})
	is.Equal(len(problems), 0)
	is.Equal(len(plan.Chunks), 1)
	is.True(len(plan.Chunks[0].Data) < maxBytes)
	is.True(len(plan.ManifestData) < maxBytes)
	t.Logf("chunk %d bytes, manifest %d bytes", len(plan.Chunks[0].Data), len(plan.ManifestData))
}

func BenchmarkApplyOneTeamOf19000(b *testing.B) {
	loaded, err := config.LoadSet(config.Version{Revision: 1}, newLargeSet(19000))
	if err != nil {
		b.Fatal(err)
	}
	team := newTeam(7)
	team.Weight = 3
	plan, _ := config.NewPlan(loaded, config.Patch{Set: config.Set{Teams: []config.Team{team}}})
	b.ReportAllocs()
	for b.Loop() {
		_, err = config.Load(loaded, config.Version{Revision: 2}, plan.Manifest, plan.Chunks)
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlanOneTeamOf19000(b *testing.B) {
	loaded, err := config.LoadSet(config.Version{Revision: 1}, newLargeSet(19000))
	if err != nil {
		b.Fatal(err)
	}
	team := newTeam(7)
	team.Weight = 3
	b.ReportAllocs()
	for b.Loop() {
		config.NewPlan(loaded, config.Patch{Set: config.Set{Teams: []config.Team{team}}})
	}
}

func BenchmarkLoad19000(b *testing.B) {
	manifest, chunks := config.EncodeSet(newLargeSet(19000))
	b.ReportAllocs()
	for b.Loop() {
		_, err := config.Load(nil, config.Version{Revision: 2}, manifest, chunks)
		if err != nil {
			b.Fatal(err)
		}
	}
}
