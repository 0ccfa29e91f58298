package flow_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
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

// scene is a deployment of two regions whose view changes while results are made.
type scene struct {
	screen screen
	lock   sync.Mutex
	view   *state.View
	// next is the view from when the first results are made; nil: it does not change.
	next   *state.View
	placer *assign.Placer
	placed int
	sent   []string
	// fetchFrom is the engine that the placer names, fetched where requests were told to
	// fetch from.
	fetchFrom string
	fetched   []netip.AddrPort
}

func (s *scene) Place(_ context.Context, service string, q place.Query) *assign.Reservation {
	s.placed++
	seat := s.placer.Place(service, q)
	if seat != nil {
		seat.FetchFrom = s.fetchFrom
	}
	return seat
}

func (s *scene) View() *state.View {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.view
}

func (s *scene) ProduceChain(context.Context, pieces.Chain) (*pieces.Results, *codes.Result) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.next != nil {
		s.view = s.next
		s.placer.SetView(s.view)
	}
	return pieces.NewResults([]string{"10.0.0.1:1/a"}, func() {}), nil
}

func (*scene) Warm(netip.AddrPort) {}

func (s *scene) Send(_ context.Context, r reach.Request) (*reach.Reply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.sent = append(s.sent, r.Server.ID)
	s.fetched = append(s.fetched, r.Forward.FetchFrom)
	answer := site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.Forward.AttemptID, Header: http.Header{}}
	return &reach.Reply{Answer: answer, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Length: -1}, nil
}

var sceneRegions = map[string]string{"n1": "north", "s1": "south"} //nolint:gochecknoglobals // a constant in all but syntax

func sceneRoute(allowed ...string) site.Route {
	return site.Route{
		Name: "reviews", Kind: site.KindStream, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
		Backends: []site.Backend{{Service: "engines", Weight: 1}}, Stages: []site.Stage{{Service: "drawings"}},
		AllowedRegions: allowed,
	}
}

func sceneView(version uint64, route site.Route, servers ...site.Server) *state.View {
	return &state.View{
		Table: access.NewTable(&site.Config{Version: version, Routes: []site.Route{route}, Services: []site.Service{
			{Name: "engines", Engine: &site.Engine{Slots: 8, CacheTokens: 1000}, ColdRate: 9, ColdTime: 3 * time.Second},
		}}),
		Servers: map[string][]site.Server{"engines": servers},
	}
}

func engine(id, domain string, address string) site.Server {
	return site.Server{ID: id, Domain: domain, Address: netip.MustParseAddrPort(address), State: site.ServerReady}
}

func (s *scene) serve(route site.Route) *httptest.ResponseRecorder {
	s.placer = assign.NewPlacer(sceneRegions, cold.Settings{Overage: 1.5, Slack: 5})
	s.placer.SetView(s.view)
	server := flow.NewServer(flow.Options{
		Views: s, Sender: s, Maker: s, Desk: s, Screen: &s.screen, Meter: noMeter{}, Log: zap.NewNop(),
		Domain: "n1", Region: "north", Regions: sceneRegions, Cold: cold.Settings{Overage: 1.5, Slack: 5},
		Repeats: budget.Settings{Ratio: 1, Slack: 10, Window: time.Second},
	})
	grant := access.Decision{Verdict: access.Granted, Route: &route, Residency: site.NewResidency(route.AllowedRegions)}
	answer := httptest.NewRecorder()
	server.Serve(context.Background(), answer, &flow.Request{
		Request: site.Request{AttemptID: "a", CallerTimeout: 5 * time.Second, ItemCounts: []int{2}},
		Method:  http.MethodPost, Target: "/", Arrived: time.Now(), Header: http.Header{}, Grant: grant, View: s.view,
	})
	return answer
}

// Guards against a request that is sent to an evacuated domain since it was placed before.
func TestRequestLeavesADomainThatIsEvacuatedMeanwhile(t *testing.T) {
	is := is.New(t)
	north, south := engine("n", "n1", "10.0.0.8:1"), engine("s", "s1", "10.0.0.9:1")
	route := sceneRoute()
	s := &scene{view: sceneView(1, route, north, south), next: sceneView(1, route, south)}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sent, []string{"s"})
}

// Guards against a request that is sent outside the regions that a newer configuration
// allows since it was placed under an older one.
func TestRequestFollowsANewerResidency(t *testing.T) {
	is := is.New(t)
	north, south := engine("n", "n1", "10.0.0.8:1"), engine("s", "s1", "10.0.0.9:1")
	s := &scene{view: sceneView(1, sceneRoute(), north, south), next: sceneView(2, sceneRoute("south"), north, south)}
	is.Equal(s.serve(sceneRoute()).Code, http.StatusOK)
	is.Equal(s.sent, []string{"s"})
}

// Guards against a request that waits for a region without servers, or goes elsewhere.
func TestRequestWithoutServerInItsRegionsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &scene{view: sceneView(1, sceneRoute("south"), engine("n", "n1", "10.0.0.8:1"))}
	began := time.Now()
	answer := s.serve(sceneRoute("south"))
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.True(answer.Header().Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(len(s.sent), 0)
}

// Guards against requests that were placed at a warm engine and reach it together after it
// turned cold: nobody has counted them against its bound.
func TestRequestIsPlacedAgainAfterItsEngineTurnedCold(t *testing.T) {
	is := is.New(t)
	north, south := engine("n", "n1", "10.0.0.8:1"), engine("s", "s1", "10.0.0.9:1")
	coldNorth := north
	coldNorth.ColdUntil = time.Now().Add(time.Minute)
	route := sceneRoute()
	s := &scene{view: sceneView(1, route, north), next: sceneView(1, route, coldNorth, south)}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.placed, 2)
	is.Equal(len(s.sent), 1)
}

// Guards against an engine that is told to fetch from one that has left, or from outside
// the regions in which the request's data may be held.
func TestEngineFetchesOnlyFromWhereItMay(t *testing.T) {
	north, south := engine("n", "n1", "10.0.0.8:1"), engine("s", "s1", "10.0.0.9:1")
	for name, c := range map[string]struct {
		next *state.View
		want netip.AddrPort
	}{
		"still there":  {sceneView(1, sceneRoute(), north, south), south.Address},
		"left":         {sceneView(1, sceneRoute(), north), netip.AddrPort{}},
		"kept outside": {sceneView(2, sceneRoute("north"), north, south), netip.AddrPort{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scene{view: sceneView(1, sceneRoute(), north, south), next: c.next, fetchFrom: "s"}
			is.Equal(s.serve(sceneRoute()).Code, http.StatusOK)
			is.Equal(s.sent, []string{"n"})
			is.Equal(s.fetched, []netip.AddrPort{c.want})
		})
	}
}
