package cmds_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"verbenaroad.example/agent/cmds"
	"verbenaroad.example/share/modules/setup"
)

const example = "../example.toml"

func load(path string, flags ...string) (setup.Result, error) {
	settings := &cmds.Settings{}
	return setup.Load(settings.Sections(), setup.Options{
		Program: "agent",
		Args:    append([]string{"--config", path}, flags...),
		Output:  io.Discard,
	})
}

// Guards against a setting that is missing in the example file, an example value that differs from
// the default, and a key of the example file that is not a setting.
func TestExampleListsEveryKey(t *testing.T) {
	is := is.New(t)
	result, err := load(example, "--check-config")
	is.NoErr(err) // no unknown key; every value is valid and in range
	is.True(result.CheckOnly)
	text, err := os.ReadFile(example)
	is.NoErr(err)
	tables := map[string]map[string]any{}
	is.NoErr(toml.Unmarshal(text, &tables))
	settings := &cmds.Settings{}
	flags := setup.NewFlagSet("agent", settings.Sections())
	flags.VisitAll(func(f *flag.Flag) {
		table, key, _ := strings.Cut(f.Name, ".")
		value, found := tables[table][key]
		if !found {
			t.Errorf("%s is not in the example", f.Name)
			return
		}
		if f.DefValue == "" || f.DefValue == "invalid AddrPort" {
			return // there is no default; the example shows a value for a setting that must be set
		}
		parsed := *f
		is.NoErr(parsed.Value.Set(toText(value)))
		is.Equal(f.Name+"="+parsed.Value.String(), f.Name+"="+f.DefValue)
	})
}

// toText returns a value as in a TOML file, without quotes.
func toText(value any) string {
	text, _ := toml.Marshal(map[string]any{"v": value})
	return strings.Trim(strings.TrimPrefix(strings.TrimSpace(string(text)), "v = "), "'\"")
}

// Guards against an operator having to fix a settings file one fault at a time. All faults are
// reported at once, one per line, each with its key, and with file and line if the file has the
// key.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(example)
	is.NoErr(err)
	faulty := strings.NewReplacer(
		`store = "127.0.0.1:8500"`, `store = "kv.local:8500"`,
		`list-every = "5s"`, `list-every = "2"`,
		`grace = "30s"`, `grace = "-1s"`,
		`level = "info"`, `level = "loud"`,
		`region = "osrednja"`, `zone = "osrednja"`,
		`share = 1.0`, `share = 7.5`,
	).Replace(string(text))
	path := filepath.Join(t.TempDir(), "faulty.toml")
	is.NoErr(os.WriteFile(path, []byte(faulty), 0o600))
	_, err = load(path)
	is.True(err != nil)
	lines := strings.Split(faulty, "\n")
	position := func(prefix string) string {
		for i, line := range lines {
			if strings.HasPrefix(line, prefix) {
				return path + ":" + strconv.Itoa(i+1) + ": "
			}
		}
		return "no line with the prefix " + prefix
	}
	want := []string{
		position("zone") + "instance.zone: unknown key",
		position("store = ") + `platform.store: "kv.local:8500": want ip:port with an IP number; host names are refused`,
		position("list-every") + `platform.list-every: "2": want a duration with its unit, such as 250ms or 2s`,
		position("level") + `log.level: "loud" is none of debug, info, warn, error`,
		position("share") + "trace.share: 7.5 is not from 0 to 1",
		"instance.region: must be set",
		position("grace") + "stop.grace: must not be negative",
	}
	is.Equal(err.Error(), strings.Join(want, "\n"))
}

// Guards against sessions without TLS on an address that other machines can reach.
func TestListenBeyondLoopbackRequiresTLS(t *testing.T) {
	is := is.New(t)
	_, err := load(example, "--peers.listen", "10.1.2.3:7000")
	is.True(err != nil)
	is.True(strings.HasSuffix(err.Error(), "peers.listen: 10.1.2.3:7000 needs [tls]; plain is for loopback only"))
	_, err = load(example, "--peers.listen", "10.1.2.3:7000", "--tls.cert", "a", "--tls.key", "b", "--tls.authority", "c")
	is.NoErr(err)
}

// Guards against settings of an example deployment in deploy/ that the agent rejects.
func TestDeployments(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../deploy/*/settings/agent*.toml")
	is.NoErr(err)
	is.True(len(files) >= 2)
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			_, err := load(file)
			is := is.New(t)
			is.NoErr(err)
		})
	}
}
