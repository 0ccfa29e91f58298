package cmds_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"verbenaroad.example/ingress/cmds"
	"verbenaroad.example/share/modules/setup"
)

const example = "../example.toml"

func load(path string, more ...string) (*cmds.Settings, error) {
	settings := &cmds.Settings{}
	_, err := setup.Load(settings.Sections(), setup.Options{
		Program: "ingress", Args: append([]string{"--config", path}, more...), Output: io.Discard,
	})
	return settings, err
}

// A setting is added to the code but not to the example file, or a key of the example file is not a
// setting.
func TestExampleListsEveryKey(t *testing.T) {
	is := is.New(t)
	_, err := load(example)
	is.NoErr(err)
	text, err := os.ReadFile(example)
	is.NoErr(err)
	tables := map[string]map[string]any{}
	is.NoErr(toml.Unmarshal(text, &tables))
	setup.NewFlagSet("ingress", (&cmds.Settings{}).Sections()).VisitAll(func(f *flag.Flag) {
		table, key, _ := strings.Cut(f.Name, ".")
		_, found := tables[table][key]
		if !found {
			t.Errorf("%s is not in the example", f.Name)
		}
	})
}

// Loading that stops at the first fault makes an operator fix a settings file one fault at a time.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "ingress.toml")
	is.NoErr(os.WriteFile(file, []byte("[place]\nname = \"a\"\ncores = 0\n[store]\naddress = \"host:1\"\nnew = 1\n"), 0o600))
	_, err := load(file)
	is.True(err != nil)
	for _, want := range []string{
		file + ":3: place.cores", file + ":5: store.address", file + ":6: store.new", "place.domain: must be set",
		"callers.listen: must be set", "peers.listen: must be set", "metrics.listen: must be set",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %q", want, err)
		}
	}
}

// An operator types a stray argument before the flags. Parsing stops there, so without an error all
// flags after it would be ignored.
func TestStrayArgumentIsRejected(t *testing.T) {
	is := is.New(t)
	settings := &cmds.Settings{}
	_, err := setup.Load(settings.Sections(), setup.Options{
		Program: "ingress", Args: []string{"serve", "--config", example}, Output: io.Discard,
	})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"serve"`))
}
