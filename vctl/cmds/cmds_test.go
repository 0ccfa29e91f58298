package cmds_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vctl/cmds"
)

const team = `[[team]]
name = "kranj"
token-sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
priority = "normal"
weight = 1.0
`

const operator = `[[operator]]
name = "ana"
token-sha256 = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
role = "change"
`

const checked = `{"verdict":"checked","change-id":"c1","revision":7,"changes":[{"kind":"team","name":"kranj","field":"weight","old":"1","new":"2"}]}`

// result is the exit code and output of one command line.
type result struct {
	code     int
	out, err string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	t.Setenv("VCTL_TOKEN", "secret")
	var out, errOut bytes.Buffer
	code := cmds.Run(t.Context(), args, cmds.Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	return result{code: code, out: out.String(), err: errOut.String()}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// cannedAnswer is a predefined answer of the admin API.
type cannedAnswer struct {
	status int
	body   string
	// abort closes the connection without an answer.
	abort bool
}

// fakeServer sends its answers in order and records the requests.
type fakeServer struct {
	answers  []cannedAnswer
	requests []string
	bodies   []string
	tokens   []string
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.requests = append(s.requests, r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery)
	s.bodies = append(s.bodies, string(body))
	s.tokens = append(s.tokens, r.Header.Get("Authorization"))
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.abort {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
}

func startServer(t *testing.T, answers ...cannedAnswer) (*fakeServer, string) {
	t.Helper()
	s := &fakeServer{answers: answers}
	httpServer := httptest.NewServer(s)
	t.Cleanup(httpServer.Close)
	return s, httpServer.Listener.Addr().String()
}

func TestUsage(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
	}{
		{"help", []string{"-h"}, cmds.ExitOK},
		{"no arguments", nil, cmds.ExitUsage},
		{"unknown flag", []string{"get", "--zone", "x"}, cmds.ExitUsage},
		{"unknown kind", []string{"get", "zone"}, cmds.ExitUsage},
		{"server by name", []string{"get", "--server", "localhost:80"}, cmds.ExitUsage},
		{"no files", []string{"apply"}, cmds.ExitUsage},
		{"bad output", []string{"get", "--output", "xml"}, cmds.ExitUsage},
		{"bad label", []string{"label", "team", "kranj", "tier"}, cmds.ExitUsage},
		{"claim without subcommand", []string{"claim"}, cmds.ExitUsage},
		{"claim without outcome", []string{"claim", "resolve", "kranj", "k"}, cmds.ExitUsage},
		{"connection refused", []string{"get", "--server", "127.0.0.1:1"}, cmds.ExitRefused},
		{"completion", []string{"completion"}, cmds.ExitOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(t, tt.args...).code, tt.code)
		})
	}
}

func TestCheckReportsFileAndLine(t *testing.T) {
	is := is.New(t)
	good := writeFile(t, "a.toml", operator)
	bad := writeFile(t, "b.toml", strings.Replace(team, "normal", "high", 1))
	r := run(t, "apply", "--check", good, bad)
	is.Equal(r.code, cmds.ExitRefused)
	is.True(strings.Contains(r.err, bad+":4: team/kranj priority"))
	unknownKey := writeFile(t, "c.toml", strings.Replace(team, "weight", "wait", 1))
	is.True(strings.Contains(run(t, "apply", "--check", good, unknownKey).err, unknownKey+":5: team.wait: unknown key"))
	r = run(t, "apply", "--check", good, writeFile(t, "d.toml", team))
	is.Equal(r.code, cmds.ExitOK)
}

// Another change is accepted between the dry run that printed the difference and the change itself.
// The change must not overwrite it, so it carries the revision of the dry run as its base.
func TestApplyUsesRevisionOfDryRunAsBase(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t,
		cannedAnswer{status: 200, body: checked},
		cannedAnswer{status: 200, body: `{"verdict":"accepted","change-id":"c1","revision":8}`})
	r := run(t, "apply", "--server", address, "--change-id", "c1", writeFile(t, "a.toml", operator), writeFile(t, "b.toml", team))
	is.Equal(r.code, cmds.ExitOK)
	is.Equal(s.requests[0], "PUT /admin/v1/changes/c1?dry-run=true")
	is.Equal(s.requests[1], "PUT /admin/v1/changes/c1?base=7")
	is.Equal(s.bodies[1], operator+team)
	is.Equal(s.tokens[0], "Bearer secret")
	is.True(strings.Contains(r.out, "accepted as revision 8"))
	is.True(strings.Contains(r.out, "weight"))
}

// The connection breaks after the change was sent. The outcome is unknown, and vctl must print a
// command line for the retry with the same change id and base. The retry then reports that the
// change was accepted.
func TestLostAnswerPrintsRetryCommand(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t,
		cannedAnswer{status: 200, body: checked},
		cannedAnswer{abort: true},
		cannedAnswer{status: 200, body: `{"verdict":"accepted","change-id":"c1","revision":8}`})
	name := writeFile(t, "a.toml", team)
	r := run(t, "apply", "--server", address, "--change-id", "c1", name)
	is.Equal(r.code, cmds.ExitUnknown)
	retry := "vctl apply --change-id c1 --base 7 " + name
	is.True(strings.Contains(r.err, retry))
	args := append([]string{"apply", "--server", address}, strings.Fields(retry)[2:]...)
	r = run(t, args...)
	is.Equal(r.code, cmds.ExitOK)
	is.True(strings.Contains(r.out, "accepted before as revision 8"))
	is.Equal(len(s.requests), 3)
}

func TestRefusals(t *testing.T) {
	const problems = `"problems":[{"file":"body","line":4,"kind":"team","name":"kranj","field":"priority","detail":"bad"}]`
	tests := []struct {
		name   string
		status int
		body   string
		code   int
		text   string
	}{
		{"conflict", 409, `{"code":4001,"name":"config-conflict","outcome":"not-run","revision":9,"changes":[{"kind":"team","name":"kranj","field":"rate"}]}`, cmds.ExitConflict, "revision 9"},
		{"unknown", 503, `{"code":4003,"name":"change-unknown","outcome":"unknown"}`, cmds.ExitUnknown, "change-unknown"},
		{"store unavailable", 503, `{"code":4004,"name":"store-unavailable","outcome":"not-run"}`, cmds.ExitRefused, "store-unavailable"},
		{"invalid", 422, `{"code":4002,"name":"config-invalid","outcome":"not-run",` + problems + `}`, cmds.ExitRefused, "a.toml:4: team/kranj priority: bad"},
		{"no error body", 502, `oops`, cmds.ExitRefused, "status 502"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, address := startServer(t, cannedAnswer{status: tt.status, body: tt.body})
			r := run(t, "diff", "--server", address, writeFile(t, "a.toml", team))
			is.Equal(r.code, tt.code)
			is.True(strings.Contains(r.out+r.err, tt.text))
		})
	}
}

func TestLabelAndClaimRequests(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t,
		cannedAnswer{status: 200, body: `{"verdict":"accepted","change-id":"c1","revision":8}`},
		cannedAnswer{status: 200, body: `{"team":"kranj","key":"a/b","state":"done"}`})
	is.Equal(run(t, "label", "--server", address, "--change-id", "c1", "pipeline", "notes/generate", "class=long", "old-").code, cmds.ExitOK)
	is.Equal(s.bodies[0], `{"change-id":"c1","kind":"pipeline","name":"notes","stage":"generate","set":{"class":"long"},"remove":["old"]}`)
	r := run(t, "claim", "get", "--server", address, "--output", "json", "kranj", "a/b")
	is.Equal(r.code, cmds.ExitOK)
	is.Equal(s.requests[1], "GET /admin/v1/claims/kranj/a%2Fb?")
	is.True(strings.Contains(r.out, `"state": "done"`))
}

// A drain with --wait must not end while the agent is not drained, has an older revision than the
// drain or still runs work, nor when a poll fails. If work still runs at the timeout, the command
// must fail with a message that states this.
func TestDrainWaitsUntilNothingRuns(t *testing.T) {
	is := is.New(t)
	const accepted = `{"verdict":"accepted","change-id":"d1","revision":8}`
	status := func(state string, revision, running int) cannedAnswer {
		return cannedAnswer{status: 200, body: fmt.Sprintf(`{"instances":[{"name":"llm-2","state":%q,"revision":%d,"running":%d}]}`, state, revision, running)}
	}
	s, address := startServer(t, cannedAnswer{status: 200, body: accepted},
		status("connected", 7, 0), status("drained", 7, 0), status("drained", 8, 2), cannedAnswer{status: 503, body: "{}"}, status("drained", 8, 0))
	r := run(t, "drain", "--server", address, "--change-id", "d1", "--wait", "llm-2")
	is.Equal(r.code, cmds.ExitOK)
	is.Equal(s.requests[0], "POST /admin/v1/drains/llm-2?")
	is.Equal(s.bodies[0], `{"change-id":"d1"}`)
	is.Equal(len(s.requests), 6)

	_, address = startServer(t, cannedAnswer{status: 200, body: accepted}, status("drained", 8, 1), status("drained", 8, 1), status("drained", 8, 1))
	r = run(t, "drain", "--server", address, "--wait", "--timeout", "1200ms", "llm-2")
	is.Equal(r.code, cmds.ExitRefused)
	is.True(strings.Contains(r.err, "still runs work"))
}

func TestStatusAndExplainTables(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t,
		cannedAnswer{status: 200, body: `{"instance":"entry-1","revision":3,"confirmed-age":"1s","use":"ready","instances":[{"name":"llm-1","state":"drained","wait":"2ms"}],"pools":[{"name":"gpu","window":"55s","idle":40}],"teams":[{"pool":"gpu","stage":"notes/generate","team":"kranj"}],"stages":[{"stage":"llm/generate","runs":2,"busy":"1s"}],"results":[{"name":"ok","count":2}]}`},
		cannedAnswer{status: 200, body: `{"revision":3,"team":"kranj","stages":[{"pipeline":"notes","stage":"generate","service":"llm","servers":[{"instance":"llm-1","chosen":true,"rank":1,"score":"3ms","rules":[{"rule":"near","effect":"prefer","matched":true},{"rule":"far","effect":"require"}]},{"instance":"llm-2","reason":"forbidden","rules":[{"rule":"x","effect":"forbid","matched":true,"drops":true}]}]}]}`},
		cannedAnswer{status: 200, body: `{"revision":3}`})
	r := run(t, "status", "--server", address)
	for _, want := range []string{"entry-1: revision 3, confirmed 1s ago, ready", "drained", "55s", "notes/generate", "ok      2"} {
		is.True(strings.Contains(r.out, want))
	}
	r = run(t, "explain", "--server", address, "--team", "kranj", "--pipeline", "notes")
	for _, want := range []string{"pipeline notes, stage generate, service llm", "+near(prefer) -far(require)", "forbidden", "!x(forbid)"} {
		is.True(strings.Contains(r.out, want))
	}
	is.Equal(run(t, "explain", "--server", address, "--team", "kranj").code, cmds.ExitUsage)
	r = run(t, "explain", "--server", address, "--team", "kranj", "--service", "orders", "--output", "json")
	is.True(strings.Contains(r.out, `"revision": 3`))
}
