package scene_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/models/scene"
)

func TestExampleScenarioIsValid(t *testing.T) {
	is := is.New(t)
	s, err := scene.Load("../../example.toml")
	is.NoErr(err)
	is.Equal(s.Mode, scene.ModeOpen)
	is.Equal(s.Phases[1].WeightOf(&s.Classes[0]), 10.0)
	is.Equal(s.Classes[1].Prompt.Length, scene.DistributionFixed)
}

func TestParseReportsEveryFault(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../example.toml")
	is.NoErr(err)
	invalid := strings.NewReplacer(
		"seed = 7", "sead = 7",
		`arrivals = "uniform"`, `arrivals = "bursty"`,
		"mix = { drafts = 10.0 }", "mix = { draft = 10.0 }",
		`priority = "urgent"`, `priority = "high"`,
		"key-repeats = 2", "key-repeats = 1",
		"max = 2000", "max = 2",
	).Replace(string(text))
	_, err = scene.Parse([]byte(invalid))
	is.True(err != nil)
	for _, want := range []string{"sead", "bursty", `no class "draft"`, `"high"`, "key-repeats", "prompt.max"} {
		is.True(strings.Contains(err.Error(), want)) // every fault is reported at once
	}
}
