package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/runner"
	"verbenaroad.example/vload/services/tally"
)

// newScenario starts a server and returns a scenario whose single class and phase send it requests.
func newScenario(t testing.TB, handler http.HandlerFunc) *scene.Scenario {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &scene.Scenario{
		Name:        "test",
		Seed:        5,
		Mode:        scene.ModeOpen,
		MaxInFlight: 1000,
		LateWait:    config.Duration(time.Minute),
		Target: scene.Target{
			Kind:      scene.TargetEntry,
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		},
		Phases: []scene.Phase{{
			Name: "only", Duration: config.Duration(500 * time.Millisecond), Rate: 100, Arrivals: scene.ArrivalsUniform,
		}},
		Classes: []scene.Class{{
			Name: "drafts", Weight: 1, Team: "estimators", Token: "t", Pipeline: "draft", Method: http.MethodPost,
			Priority: config.PriorityUrgent, Deadline: config.Duration(time.Minute), Stream: true, Key: scene.KeyNone,
			Prompt: scene.Prompt{Length: scene.DistributionFixed, Words: 10},
		}},
	}
}

// runScenario runs the scenario and returns the figures of the group "all" by metric.
func runScenario(t testing.TB, s *scene.Scenario) map[string]report.Figure {
	counter := tally.NewCounter(s)
	if err := runner.New(s, counter, "nonce").Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	figures := make(map[string]report.Figure)
	for _, row := range counter.Rows() {
		if row.Class == "all" {
			figures[row.Metric] = row.Value
		}
	}
	return figures
}

// requestCounter numbers the requests to a server from 1.
type requestCounter struct {
	mutex sync.Mutex
	count int
}

func (n *requestCounter) next() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.count++
	return n.count
}

// writeTokens writes tokens as events.
func writeTokens(w http.ResponseWriter, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range tokens {
		writef(w, "data: {\"text\":\"word%d \"}\n\n", i)
	}
}

// writeEnd writes the end record of a success.
func writeEnd(w http.ResponseWriter, id int) {
	writef(w, "event: end\ndata: {\"code\":0,\"name\":\"ok\",\"outcome\":\"ran\",\"request-id\":\"r%d\"}\n\n", id)
}

// writef writes part of an answer. Errors are ignored: the client may have closed the connection.
func writef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
