package config_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
)

// TestPageNamesEveryField checks that docs/CONFIGURATION.md names every field of the documents in
// the section of their kind.
func TestPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	is.NoErr(err)
	sections := map[string]string{}
	for _, section := range strings.Split(string(page), "\n### ")[1:] {
		title, body, _ := strings.Cut(section, "\n")
		sections[title], _, _ = strings.Cut(body, "\n## ")
	}
	documents := map[config.Kind][]any{
		config.KindTeam:     {config.Team{}},
		config.KindPipeline: {config.Pipeline{}, config.Stage{}},
		config.KindService:  {config.Service{}, config.ServiceRoute{}},
		config.KindRule:     {config.Rule{}},
		config.KindPool:     {config.Pool{}},
		config.KindOperator: {config.Operator{}},
		config.KindLimits:   {config.Limits{}},
	}
	is.Equal(len(documents), len(config.Kinds()))
	for kind, values := range documents {
		for _, value := range values {
			fields := reflect.TypeOf(value)
			for i := range fields.NumField() {
				name := fields.Field(i).Tag.Get("toml")
				if !strings.Contains(sections[string(kind)], "`"+name+"`") {
					t.Errorf("section %s does not name %s", kind, name)
				}
			}
		}
	}
}
