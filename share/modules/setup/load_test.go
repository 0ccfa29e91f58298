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

// load loads the settings from a file with the text and from args.
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

// validText sets the required keys.
const validText = "[platform]\nstore = \"127.0.0.1:1\"\nlist = \"127.0.0.1:2\"\n"

// Guards against faults that are accepted or reported without the line and key in the file.
func TestFaults(t *testing.T) {
	tests := []struct {
		name, text, want string
		args             []string
	}{
		{"valid", validText, "", nil},
		{"a flag overrides the file", validText, "", []string{"--platform.store", "127.0.0.1:3"}},
		{"duplicate key", validText + "list = \"127.0.0.1:3\"\n", "a.toml:4: platform.list: stands already in line 3", nil},
		{"not TOML", validText + "list = \n", "a.toml:4: not TOML", nil},
		{"table in place of a value", validText + "[stop]\ngrace = { s = 3 }\n", `a.toml:5: stop.grace: "": want a duration`, nil},
		{"bad flag", validText, "invalid value", []string{"--platform.store", "kv.local:1"}},
		{"unknown flag", validText, "not defined", []string{"--zone", "a"}},
		{"required keys are not set", "", "platform.store: must be set to ip:port\nplatform.list: must be set to ip:port", nil},
		{"out of range", validText + "store-timeout = \"0s\"\n", "a.toml:4: platform.store-timeout: must be above 0", nil},
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

// Flags must override environment variables, and those must override the file.
func TestPrecedenceOfSources(t *testing.T) {
	is := is.New(t)
	t.Setenv("VERBENA_PLATFORM_STORE", "127.0.0.1:7")
	platform, err := load(t, validText)
	is.NoErr(err)
	is.Equal(platform.Store.Port(), uint16(7))
	platform, err = load(t, validText, "--platform.store", "127.0.0.1:8")
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

// Guards against --version failing because settings are missing or invalid.
func TestVersionNeedsNoSettings(t *testing.T) {
	is := is.New(t)
	section := &invalidSection{}
	result, err := setup.Load([]setup.Section{section}, setup.Options{Program: "p", Args: []string{"--version"}, Output: io.Discard})
	is.NoErr(err)
	is.True(result.VersionOnly)
	is.True(strings.HasPrefix(setup.DescribeVersion("p"), "p development, go"))
}

// invalidSection is a section whose Check always returns a fault.
type invalidSection struct{}

func (*invalidSection) Register(*flag.FlagSet) {}
func (*invalidSection) Check() []error         { return []error{errors.New("section.key: must be set")} }
