package cmds_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/cmds"
)

// scenario offers load to an engine for 100 ms. Its verbs take the addresses of the target and of
// the expvar page.
const scenario = `
name = "short"
[target]
addresses = ["%s"]
[metrics]
addresses = ["%s"]
[[metrics.key]]
name = "retries"
path = "retries"
unit = "requests"
[[phase]]
name = "only"
duration = "100ms"
rate = 100.0
arrivals = "uniform"
[[class]]
name = "drafts"
team = "estimators"
token = "t"
pipeline = "draft"
deadline = "1m"
stream = true
`

// serveEngine starts a server that streams two tokens for each request and returns its address.
func serveEngine(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestDirectThenCompare(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	address := serveEngine(t)
	file := filepath.Join(dir, "scenario.toml")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, scenario, address, address), 0o600))
	for run := range 3 {
		number := strconv.Itoa(run + 1)
		args := []string{"direct", "--scenario", file, "--addresses", address, "--out", filepath.Join(dir, number), "--run", number}
		is.NoErr(cmds.Run(t.Context(), args, io.Discard))
	}
	result, err := os.ReadFile(filepath.Join(dir, "1", "result.csv"))
	is.NoErr(err)
	is.True(strings.Contains(string(result), "short,direct-engine,0,1,all,attainment,1,ratio\n"))
	is.True(strings.Contains(string(result), "short,direct-engine,0,1,team:estimators,offered,9,requests\n"))
	is.True(strings.Contains(string(result), "short,direct-engine,0,1,all,retries,not-available,requests\n"))

	var out strings.Builder
	is.NoErr(cmds.Run(t.Context(), []string{"compare", "--dir", dir}, &out))
	is.True(strings.Contains(out.String(), "| all | attainment | direct-engine | 1 | 1..1 | ratio | 3 |"))
	plot, err := os.ReadFile(filepath.Join(dir, "short-attainment.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(plot), "attainment [ratio]"))
	is.True(strings.Contains(string(plot), "direct-engine"))
}

func TestFitWritesLineAndPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file, plot := filepath.Join(dir, "points.csv"), filepath.Join(dir, "line.svg")
	is.NoErr(os.WriteFile(file, []byte("peers,memory\n10,23\n30,63\n100,203\n"), 0o600))
	var out strings.Builder
	is.NoErr(cmds.Run(t.Context(), []string{"fit", "--csv", file, "--x", "peers", "--y", "memory", "--plot", plot}, &out))
	is.True(strings.HasPrefix(out.String(), "x,y,slope,slope-error,intercept,intercept-error,r-squared,points\npeers,memory,2,"))
	_, err := os.Stat(plot)
	is.NoErr(err)
}

func TestInvalidCommandLinesFail(t *testing.T) {
	tests := map[string][]string{
		"run without scenario": {"run"},
		"compare nothing":      {"compare", "--dir", t.TempDir()},
		"bad address":          {"sample", "--expvar", "localhost"},
		"bad key":              {"sample", "--keys", "reads"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(cmds.Run(t.Context(), args, io.Discard) != nil)
		})
	}
}
