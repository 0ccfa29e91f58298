package flow_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

type fixedView struct{ view *state.View }

func (v fixedView) View() *state.View { return v.view }

// enginePlacer places requests at the engines of a view.
type enginePlacer struct{ placer *assign.Placer }

func (d enginePlacer) Place(_ context.Context, service string, q place.Query) (*assign.Reservation, time.Duration) {
	return d.placer.Place(service, q)
}

// newLedger returns a ledger that grants some retries, of an ingress that has not run before.
func newLedger() *ledger.Ledger {
	l := ledger.NewLedger(ledger.Options{Retries: budget.Settings{Ratio: 1, Slack: 10, Window: time.Second}})
	l.MarkFirstRun()
	l.SetView(&state.View{Ingresses: make([]site.Ingress, 1), IsComplete: true})
	return l
}

type noMeter struct{}

func (noMeter) CountAnswer(string, string, time.Duration) {}
func (noMeter) CountFirstEvent(string, time.Duration)     {}
func (noMeter) CountRetry(string, string)                 {}
func (noMeter) CountStreamRun(string, string)             {}
func (noMeter) CountLimitedSend(string)                   {}
func (noMeter) SetLimitedServers(int)                     {}
func (noMeter) SetClosedServers(int, int)                 {}

// newLimits returns a registry without rate limits.
func newLimits() *limits.Registry {
	return limits.NewRegistry(limits.Options{Meter: noMeter{}, Log: zap.NewNop()})
}

// stageRunner counts how often results were produced, and how many are not yet released.
type stageRunner struct{ runs, held atomic.Int64 }

func (m *stageRunner) ProduceChain(context.Context, stages.Chain) (*stages.Results, *codes.Result) {
	m.runs.Add(1)
	m.held.Add(1)
	return stages.NewResults([]string{"10.0.0.1:1/a"}, func() { m.held.Add(-1) }), nil
}

// slowEngines simulates two engines. The first fetches results only after 300 ms. The second
// fetches them at once and then prefills the prompt for 300 ms.
type slowEngines struct {
	stageRunner *stageRunner
	sends       atomic.Int64
	// heldAtEvent is the number of results held when the second engine sends its first event.
	heldAtEvent atomic.Int64
}

func (*slowEngines) Preconnect(netip.AddrPort)                                   {}
func (*slowEngines) HasGone(context.Context, netip.AddrPort, time.Duration) bool { return false }

func (b *slowEngines) Send(_ context.Context, r reach.Request) (*reach.Reply, error) {
	time.Sleep(300 * time.Millisecond)
	answer := site.Answer{Status: http.StatusConflict, NotRun: true, AttemptID: r.UpstreamHeaders.AttemptID, Header: http.Header{}}
	body := ""
	if b.sends.Add(1) > 1 {
		b.heldAtEvent.Store(b.stageRunner.held.Load())
		answer = site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.UpstreamHeaders.AttemptID, Header: http.Header{}}
		body = "id: 1\ndata: x\n\n"
	}
	return &reach.Reply{Answer: answer, Body: io.NopCloser(strings.NewReader(body)), Length: -1}, nil
}

// Guards against a request failing because its results were released before a busy engine fetched
// them. The engine states that it did not run the request. The results must be produced again and
// kept until the first event, and the caller must receive a complete answer from another engine.
func TestResultsReleasedTooEarlyAreProducedAgain(t *testing.T) {
	is := is.New(t)
	route := site.Route{
		Name: "reviews", Kind: site.KindStream, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
		Backends: []site.Backend{{Service: "engines", Weight: 1}}, Stages: []site.Stage{{Service: "drawings", ResultBytes: 1_500_000}},
	}
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Routes: []site.Route{route}, Services: []site.Service{
			{Name: "engines", Engine: &site.Engine{Slots: 8, CacheTokens: 1000}},
		}}),
		Servers: map[string][]site.Server{"engines": {
			{ID: "e1", Address: netip.MustParseAddrPort("10.0.0.8:1"), State: site.ServerReady},
			{ID: "e2", Address: netip.MustParseAddrPort("10.0.0.9:1"), State: site.ServerReady},
		}},
	}
	noLimits := newLimits()
	placer := assign.NewPlacer(nil, cold.Settings{}, noLimits)
	placer.SetView(view)
	results := &stageRunner{}
	engines := &slowEngines{stageRunner: results}
	server := flow.NewServer(flow.Options{
		Views: fixedView{view}, Sender: engines, StageRunner: results, EnginePlacer: enginePlacer{placer}, Screen: &fakeScreen{}, Origins: &fakeOrigins{}, Meter: noMeter{}, Log: zap.NewNop(),
		Retries: newLedger(), Limits: noLimits,
	})
	answer := httptest.NewRecorder()
	server.Serve(context.Background(), answer, &flow.Request{
		Memory:  memory.NewBudget(4 << 20).NewAccount(),
		Request: site.Request{AttemptID: "a", CallerTimeout: 5 * time.Second, ItemCounts: []int{2}},
		Method:  http.MethodPost, Target: "/", Arrived: time.Now(), Header: http.Header{},
		Decision: access.Decision{Verdict: access.Granted, Route: &route}, View: view,
	})
	is.Equal(answer.Code, http.StatusOK)
	is.Equal(answer.Body.String(), "id: 1\ndata: x\n\n")
	is.Equal(results.runs.Load(), int64(2))
	is.Equal(engines.heldAtEvent.Load(), int64(1)) // kept until the first event this time
	is.Equal(results.held.Load(), int64(0))
}
