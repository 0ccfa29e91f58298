package cmds_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vctl/cmds"
)

// findCommands returns the vctl command lines of a documentation page: indented lines, with or
// without a prompt.
func findCommands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	is.New(t).NoErr(err)
	command := regexp.MustCompile(`(?m)^ {4,}(?:\$ )?vctl ([a-z].*)$`)
	var found []string
	for _, match := range command.FindAllStringSubmatch(string(text), -1) {
		// A line with "vctl:" is output of vctl, which the expression does not match.
		found = append(found, match[1])
	}
	return found
}

// splitLine splits a command line into arguments. Of the shell's quoting it knows double quotes
// only.
func splitLine(line string) []string {
	word := regexp.MustCompile(`"[^"]*"|[^\s"]+`)
	args := word.FindAllString(line, -1)
	for i := range args {
		args[i] = strings.Trim(args[i], `"`)
	}
	return args
}

// answerNotFound refuses every request, so that a command fails with the usage code only if its own
// checks of the command line fail.
func answerNotFound(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNotFound)
	_, _ = io.WriteString(w, `{"code":4006,"name":"not-found","outcome":"not-run"}`)
}

// A documentation page shows a vctl command line with a subcommand, flag or argument that does not
// exist. The test runs every command line of the pages; none may end with the usage code.
func TestPagesParse(t *testing.T) {
	for _, page := range []string{"OPERATING.md", "CONFIGURATION.md", "CALLER-API.md", "decisions/drain-command.md"} {
		lines := findCommands(t, "../../docs/"+page)
		if page == "OPERATING.md" && len(lines) < 15 {
			t.Errorf("%s: %d commands found", page, len(lines))
		}
		for _, line := range lines {
			t.Run(page+" "+line, func(t *testing.T) { checkLine(t, line) })
		}
	}
}

func checkLine(t *testing.T, line string) {
	httpServer := httptest.NewServer(http.HandlerFunc(answerNotFound))
	defer httpServer.Close()
	directory := t.TempDir()
	args := splitLine(strings.Split(line, "  ")[0])
	for i, arg := range args {
		switch {
		case strings.HasSuffix(arg, ".toml"):
			args[i] = filepath.Join(directory, "documents.toml")
			is.New(t).NoErr(os.WriteFile(args[i], []byte(operator+team), 0o600))
		case i > 0 && args[i-1] == "--server":
			args[i] = httpServer.Listener.Addr().String()
		case i > 0 && args[i-1] == "--ca-file":
			args[i-1], args[i] = "--timeout", "10s" // the test server speaks plain HTTP
		}
	}
	t.Setenv("VCTL_SERVER", httpServer.Listener.Addr().String())
	r := run(t, args...)
	if r.code == cmds.ExitUsage {
		t.Errorf("vctl %s: %s", line, r.err)
	}
}

// An operator mistypes a subcommand; the error message must contain the mistyped word.
func TestUnknownSubcommandIsNamed(t *testing.T) {
	is := is.New(t)
	r := run(t, "nonsense")
	is.Equal(r.code, cmds.ExitUsage)
	is.True(strings.Contains(r.err, `"nonsense"`))
}
