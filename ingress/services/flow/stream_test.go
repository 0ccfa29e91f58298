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

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

type views struct{ view *state.View }

func (v views) View() *state.View { return v.view }

// desk places at one of the engines of a view.
type desk struct{ placer *assign.Placer }

func (d desk) Place(_ context.Context, service string, q place.Query) *assign.Reservation {
	return d.placer.Place(service, q)
}

type noMeter struct{}

func (noMeter) CountAnswer(string, string, time.Duration) {}
func (noMeter) CountFirstEvent(string, time.Duration)     {}
func (noMeter) CountRepeat(string, string)                {}

// maker counts how often results were made, and how many are held.
type maker struct{ made, held atomic.Int64 }

func (m *maker) ProduceChain(context.Context, pieces.Chain) (*pieces.Results, *codes.Result) {
	m.made.Add(1)
	m.held.Add(1)
	return pieces.NewResults([]string{"10.0.0.1:1/a"}, func() { m.held.Add(-1) }), nil
}

// busy is a first engine that fetches results only after 300 ms, and a second one that
// does so at once and reads the prompt for 300 ms.
type busy struct {
	maker *maker
	sends atomic.Int64
	// heldAtEvent is what was held when the second engine's first event came.
	heldAtEvent atomic.Int64
}

func (*busy) Warm(netip.AddrPort) {}

func (b *busy) Send(_ context.Context, r reach.Request) (*reach.Reply, error) {
	time.Sleep(300 * time.Millisecond)
	answer := site.Answer{Status: http.StatusConflict, NotRun: true, AttemptID: r.Forward.AttemptID, Header: http.Header{}}
	body := ""
	if b.sends.Add(1) > 1 {
		b.heldAtEvent.Store(b.maker.held.Load())
		answer = site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.Forward.AttemptID, Header: http.Header{}}
		body = "id: 1\ndata: x\n\n"
	}
	return &reach.Reply{Answer: answer, Body: io.NopCloser(strings.NewReader(body)), Length: -1}, nil
}

// An engine that is busy fetches a review's drawings later than engines do, when they
// were given up, and says that it did not run the review. The drawings are made again and
// kept, and the caller gets its review from another engine, late but whole.
func TestResultsGivenUpTooEarlyAreMadeAgain(t *testing.T) {
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
	placer := assign.NewPlacer(nil, cold.Settings{})
	placer.SetView(view)
	results := &maker{}
	engines := &busy{maker: results}
	server := flow.NewServer(flow.Options{
		Views: views{view}, Sender: engines, Maker: results, Desk: desk{placer}, Screen: &screen{}, Meter: noMeter{}, Log: zap.NewNop(),
		Repeats: budget.Settings{Ratio: 1, Slack: 10, Window: time.Second},
	})
	answer := httptest.NewRecorder()
	server.Serve(context.Background(), answer, &flow.Request{
		Request: site.Request{AttemptID: "a", CallerTimeout: 5 * time.Second, ItemCounts: []int{2}},
		Method:  http.MethodPost, Target: "/", Arrived: time.Now(), Header: http.Header{},
		Grant: access.Decision{Verdict: access.Granted, Route: &route}, View: view,
	})
	is.Equal(answer.Code, http.StatusOK)
	is.Equal(answer.Body.String(), "id: 1\ndata: x\n\n")
	is.Equal(results.made.Load(), int64(2))
	is.Equal(engines.heldAtEvent.Load(), int64(1)) // kept until the event this time
	is.Equal(results.held.Load(), int64(0))
}
