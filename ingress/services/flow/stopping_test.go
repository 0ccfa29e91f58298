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
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/drain"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/stops"
)

// lastingEngine sends two events, the second one after lasts. While it is full, no event comes.
type lastingEngine struct {
	lasts time.Duration
	full  atomic.Bool
	sends atomic.Int64
}

func (*lastingEngine) Preconnect(netip.AddrPort)                                   {}
func (*lastingEngine) HasGone(context.Context, netip.AddrPort, time.Duration) bool { return false }

func (e *lastingEngine) Send(ctx context.Context, r reach.Request) (*reach.Reply, error) {
	e.sends.Add(1)
	body, writer := io.Pipe()
	go e.run(ctx, writer)
	return &reach.Reply{Answer: site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.UpstreamHeaders.AttemptID, Header: http.Header{}}, Body: body, Length: -1}, nil
}

func (e *lastingEngine) run(ctx context.Context, body *io.PipeWriter) {
	if e.full.Load() {
		<-ctx.Done()
		_ = body.CloseWithError(ctx.Err())
		return
	}
	_, _ = io.WriteString(body, "id: 1\ndata: x\n\n")
	time.Sleep(e.lasts)
	_, _ = io.WriteString(body, "id: 2\ndata: y\n\n")
	_ = body.Close()
}

// slowStages produces results until its context ends.
type slowStages struct{}

func (slowStages) ProduceChain(ctx context.Context, _ stages.Chain) (*stages.Results, *codes.Result) {
	<-ctx.Done()
	return nil, codes.NewResult(codes.Canceled, "the request was given up").WithOutcome(codes.OutcomeNotRun)
}

// lonePeer is the only ingress, unless others is set.
type lonePeer struct{ others bool }

func (lonePeer) Rank(string) []string { return []string{"self"} }
func (lonePeer) Self() string         { return "self" }
func (p lonePeer) IsAlone() bool      { return !p.others }

// stoppingServer serves one engine and can be stopped.
type stoppingServer struct {
	*flow.Server
	engine  *lastingEngine
	route   site.Route
	view    *state.View
	stopper *stops.Stopper
}

func newStoppingServer(t *testing.T, settings drain.Settings, others bool, stageNames ...string) *stoppingServer {
	t.Helper()
	route := site.Route{
		Name: "reviews", Kind: site.KindStream, Timeout: 20 * time.Second, LatencyTarget: time.Second, MaxAttempts: 1,
		Backends: []site.Backend{{Service: "engines", Weight: 1}},
	}
	for _, name := range stageNames {
		route.Stages = append(route.Stages, site.Stage{Service: name})
	}
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Routes: []site.Route{route}, Services: []site.Service{
			{Name: "engines", Engine: &site.Engine{Slots: 8, CacheTokens: 1000}},
		}}),
		Servers: map[string][]site.Server{"engines": {{ID: "e1", Address: netip.MustParseAddrPort("10.0.0.8:1"), State: site.ServerReady}}},
	}
	noLimits := newLimits()
	placer := assign.NewPlacer(nil, cold.Settings{}, noLimits)
	placer.SetView(view)
	engine := &lastingEngine{lasts: 300 * time.Millisecond}
	stopper := stops.NewStopper(settings)
	return &stoppingServer{
		engine: engine, route: route, view: view, stopper: stopper,
		Server: flow.NewServer(flow.Options{
			Views: fixedView{view}, Sender: engine, StageRunner: slowStages{}, EnginePlacer: enginePlacer{placer}, Screen: &fakeScreen{}, Origins: &fakeOrigins{},
			Meter: noMeter{}, Log: zap.NewNop(), Retries: newLedger(), Limits: noLimits, Stop: stopper, Peers: lonePeer{others: others},
		}),
	}
}

func (s *stoppingServer) serve() (*httptest.ResponseRecorder, time.Duration) {
	answer := httptest.NewRecorder()
	start := time.Now()
	s.stopper.AdmitWork("a")
	defer s.stopper.EndWork("a")
	s.Serve(context.Background(), answer, &flow.Request{
		Memory:  memory.NewBudget(4 << 20).NewAccount(),
		Request: site.Request{AttemptID: "a", CallerTimeout: 20 * time.Second, ItemCounts: []int{1}},
		Method:  http.MethodPost, Target: "/", Arrived: time.Now(), Header: http.Header{},
		Decision: access.Decision{Verdict: access.Granted, Route: &s.route}, View: s.view,
	})
	return answer, time.Since(start)
}

// Guards against beginning a stream that would be cut at the end of the grace period, though another ingress has time for it.
func TestStreamThatWouldBeCutIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newStoppingServer(t, drain.Settings{Grace: 700 * time.Millisecond, Linger: 700 * time.Millisecond, AdmitPeriod: 700 * time.Millisecond}, true)
	for range 5 {
		answer, _ := s.serve()
		is.Equal(answer.Code, http.StatusOK)
	}
	s.stopper.RequestStop(t.Context())
	answer, _ := s.serve()
	is.Equal(answer.Code, http.StatusOK) // it ends in time

	time.Sleep(200 * time.Millisecond)
	sends := s.engine.sends.Load()
	answer, took := s.serve()
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(answer.Body.String(), `"outcome":"not-run"`))
	is.Equal(answer.Header().Get("Retry-After"), "0.05")
	is.True(took < 100*time.Millisecond)
	is.Equal(s.engine.sends.Load(), sends)
}

// Guards against stages that are waited for although the answer could no longer end before the process does.
func TestRequestIsRefusedOnceItsStagesAreTooLate(t *testing.T) {
	is := is.New(t)
	s := newStoppingServer(t, drain.Settings{Grace: time.Second, Linger: time.Second, SendReserve: 100 * time.Millisecond}, false)
	for range 5 {
		s.serve()
	}
	s.route.Stages = []site.Stage{{Service: "drawings"}}
	stop := time.AfterFunc(200*time.Millisecond, func() { s.stopper.RequestStop(t.Context()) })
	defer stop.Stop()
	answer, took := s.serve()
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "2.00")                  // no other ingress takes requests
	is.True(took >= 500*time.Millisecond && took < 1050*time.Millisecond) // less than the grace period by the length of an answer
}

// Guards against closing the connection of a request that waits at its engine when the process exits. The answer does not
// claim that the request has not run.
func TestRequestThatWaitsAtItsEngineIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newStoppingServer(t, drain.Settings{Grace: 500 * time.Millisecond, AnswerReserve: 200 * time.Millisecond}, true)
	s.engine.full.Store(true)
	stop := time.AfterFunc(100*time.Millisecond, func() { s.stopper.RequestStop(t.Context()) })
	defer stop.Stop()
	answer, took := s.serve()
	is.True(took < 600*time.Millisecond) // before the process may exit
	is.Equal(answer.Code, http.StatusBadGateway)
	is.True(strings.Contains(answer.Body.String(), `"name":"draining"`))
	is.True(strings.Contains(answer.Body.String(), `"outcome":"unknown"`))
	is.Equal(answer.Header().Get("Retry-After"), "")
}
