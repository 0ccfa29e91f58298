package setup_test

import (
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/setup"
)

func load(t *testing.T, text string, args ...string) (*setup.Platform, error) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a.toml")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	platform, stop := &setup.Platform{}, &setup.Stop{}
	_, err := setup.Load([]setup.Section{platform, stop}, setup.Options{
		Program: "program",
		Args:    append([]string{"--config", path}, args...),
		Output:  io.Discard,
	})
	if err != nil {
		err = errors.New(strings.ReplaceAll(err.Error(), path, "a.toml"))
	}
	return platform, err
}

const sound = "[platform]\nstore = \"127.0.0.1:1\"\nlist = \"127.0.0.1:2\"\n"

func TestFaults(t *testing.T) {
	tests := []struct {
		name, text, want string
		args             []string
	}{
		{"sound", sound, "", nil},
		{"a flag goes before the file", sound, "", []string{"--platform.store", "127.0.0.1:3"}},
		{"key twice", sound + "list = \"127.0.0.1:3\"\n", "a.toml:4: platform.list: stands already in line 3", nil},
		{"no TOML", sound + "list = \n", "a.toml:4: not TOML", nil},
		{"table in place of a value", sound + "[stop]\ngrace = { s = 3 }\n", `a.toml:5: stop.grace: "": want a duration`, nil},
		{"bad flag", sound, "invalid value", []string{"--platform.store", "kv.local:1"}},
		{"unknown flag", sound, "not defined", []string{"--zone", "a"}},
		{"must be set", "", "platform.store: must be set to ip:port\nplatform.list: must be set to ip:port", nil},
		{"out of range", sound + "store-timeout = \"0s\"\n", "a.toml:4: platform.store-timeout: must be above 0", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, tt.text, tt.args...)
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatal(err)
			}
		})
	}
}

func TestOrderOfSources(t *testing.T) {
	is := is.New(t)
	t.Setenv("VERBENA_PLATFORM_STORE", "127.0.0.1:7")
	platform, err := load(t, sound)
	is.NoErr(err)
	is.Equal(platform.Store.Port(), uint16(7))
	platform, err = load(t, sound, "--platform.store", "127.0.0.1:8")
	is.NoErr(err)
	is.Equal(platform.Store.Port(), uint16(8))
}

func TestMissingFileAndHelp(t *testing.T) {
	is := is.New(t)
	_, err := setup.Load(nil, setup.Options{Program: "program", Args: []string{"--config", "/none.toml"}, Output: io.Discard})
	is.True(err != nil)
	_, err = setup.Load(nil, setup.Options{Program: "program", Args: []string{"-h"}, Output: io.Discard})
	is.True(errors.Is(err, flag.ErrHelp))
}

// An operator asks which build runs, with no settings at hand.
func TestVersionNeedsNoSettings(t *testing.T) {
	is := is.New(t)
	needed := &strict{}
	result, err := setup.Load([]setup.Section{needed}, setup.Options{Program: "p", Args: []string{"--version"}, Output: io.Discard})
	is.NoErr(err)
	is.True(result.VersionOnly)
	is.True(strings.HasPrefix(setup.DescribeVersion("p"), "p development, go"))
}

// strict is a section that is never sound.
type strict struct{}

func (*strict) Register(*flag.FlagSet) {}
func (*strict) Check() []error         { return []error{errors.New("strict.key: must be set")} }
