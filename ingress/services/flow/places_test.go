package flow_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/flow"
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

// deployment simulates a deployment of two regions whose view may change while the results of the
// stages are produced.
type deployment struct {
	screen  fakeScreen
	origins fakeOrigins
	// resumes and lastEventID are what the caller states of the stream that it takes up; empty: none.
	resumes     string
	lastEventID string
	lock        sync.Mutex
	view        *state.View
	// viewAfterStages replaces view when results are produced; nil: the view does not change.
	viewAfterStages *state.View
	// limits holds what servers state; nil: nothing. answerAfterStages is an answer of the engine n
	// while results are produced; nil: none.
	limits            *limits.Registry
	answerAfterStages *site.Answer
	// placerView is the view of the placer; nil: that of the ingress.
	placerView *state.View
	placer     *assign.Placer
	placements int
	sentTo     []string
	// body replaces the answers of the engines; nil: it does not. parts are those of the prompt.
	body  io.ReadCloser
	parts []site.PromptPart
	// runs are the answers in the order in which the request is sent; nil: the engines answer by themselves.
	runs []runAnswer
	// hasGone is set if the engines are down once they have answered.
	hasGone bool
	// breaksAt is the ID of an engine that breaks off each stream after two events, avoid that of one
	// that is excluded from the first placement.
	breaksAt string
	avoid    string
	// viewAfterSecondStages replaces view when results are produced for the second time; nil: the view
	// does not change. productions counts how often results were produced.
	viewAfterSecondStages *state.View
	productions           int
	// fetchFrom is the ID of the engine from which the placer lets engines fetch. fetchSources are
	// the addresses that were sent to the engines.
	fetchFrom    string
	fetchSources []netip.AddrPort
	// retries counts the retries.
	retries countedRetries
	// preconnected are the addresses to which a connection was opened in advance.
	preconnected []netip.AddrPort
}

// countedRetries grants every retry and counts what becomes of them.
type countedRetries struct{ taken, sent, returned int }

func (*countedRetries) CountRequest(string) {}

func (r *countedRetries) TakeRetry(string) budget.Decision {
	r.taken++
	return budget.Decision{Granted: true}
}

func (r *countedRetries) RecordSent(string)  { r.sent++ }
func (r *countedRetries) ReturnRetry(string) { r.returned++ }

func (s *deployment) Place(_ context.Context, service string, q place.Query) (*assign.Reservation, time.Duration) {
	s.placements++
	if s.placements == 1 && s.avoid != "" {
		q.Exclude = append(q.Exclude, s.avoid)
	}
	reservation, retryAfter := s.placer.Place(service, q)
	if reservation != nil {
		reservation.FetchFrom = s.fetchFrom
	}
	return reservation, retryAfter
}

func (s *deployment) View() *state.View {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.view
}

func (s *deployment) ProduceChain(_ context.Context, chain stages.Chain) (*stages.Results, *codes.Result) {
	s.changeAfterStages()
	chain.OnLastStage()
	return stages.NewResults([]string{"10.0.0.1:1/a"}, func() {}), nil
}

func (s *deployment) changeAfterStages() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.productions++
	if s.productions == 2 && s.viewAfterSecondStages != nil {
		s.view = s.viewAfterSecondStages
		s.placer.SetView(s.view)
	}
	if s.viewAfterStages != nil {
		s.view = s.viewAfterStages
		s.placer.SetView(s.view)
	}
	if s.answerAfterStages != nil {
		s.limits.ObserveAnswer(site.Server{ID: "n", Service: "engines"}, *s.answerAfterStages)
	}
}

func (s *deployment) HasGone(context.Context, netip.AddrPort, time.Duration) bool { return s.hasGone }

func (s *deployment) Preconnect(address netip.AddrPort) {
	s.preconnected = append(s.preconnected, address)
}

func (s *deployment) Send(_ context.Context, r reach.Request) (*reach.Reply, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.sentTo = append(s.sentTo, r.Server.ID)
	s.fetchSources = append(s.fetchSources, r.UpstreamHeaders.FetchFrom)
	if s.runs != nil {
		return s.runs[min(len(s.sentTo), len(s.runs))-1].newReply(r), nil
	}
	answer := site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.UpstreamHeaders.AttemptID, Header: http.Header{}}
	after, _ := strconv.Atoi(r.UpstreamHeaders.LastEventID)
	events := fmt.Sprintf("id: %d\ndata: x\n\n", after+1)
	if r.Server.ID == s.breaksAt {
		events += fmt.Sprintf("id: %d\ndata: x\n\nid: 3\nda", after+2)
	}
	body := s.body
	if body == nil {
		body = io.NopCloser(strings.NewReader(events))
	}
	return &reach.Reply{Answer: answer, Body: body, Length: -1}, nil
}

var regions = map[string]string{"n1": "north", "s1": "south"} //nolint:gochecknoglobals // a constant in all but syntax

func newRoute(allowed ...string) site.Route {
	return site.Route{
		Name: "reviews", Kind: site.KindStream, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2,
		Backends: []site.Backend{{Service: "engines", Weight: 1}}, Stages: []site.Stage{{Service: "drawings"}},
		AllowedRegions: allowed,
	}
}

func newView(version uint64, route site.Route, servers ...site.Server) *state.View {
	versions := map[string][]string{}
	for _, s := range servers {
		versions["engines"] = append(versions["engines"], s.Version)
	}
	return &state.View{
		Versions: versions,
		Table: access.NewTable(&site.Config{Version: version, Routes: []site.Route{route}, Services: []site.Service{
			{Name: "engines", Engine: &site.Engine{Slots: 8, CacheTokens: 1000}, ColdRate: 9, ColdTime: 3 * time.Second},
		}}),
		Servers: map[string][]site.Server{"engines": servers},
	}
}

func newEngine(id, domain string, address string) site.Server {
	return site.Server{ID: id, Domain: domain, Address: netip.MustParseAddrPort(address), State: site.ServerReady}
}

func (s *deployment) serve(route site.Route) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	s.serveTo(answer, route)
	return answer
}

// serveTo serves a request. It panics if the answer is cut off.
func (s *deployment) serveTo(answer http.ResponseWriter, route site.Route) {
	if s.limits == nil {
		s.limits = newLimits()
	}
	s.placer = assign.NewPlacer(regions, cold.Settings{Overage: 1.5, Slack: 5}, s.limits)
	s.placer.SetView(s.view)
	if s.placerView != nil {
		s.placer.SetView(s.placerView)
	}
	server := flow.NewServer(flow.Options{
		Views: s, Sender: s, StageRunner: s, EnginePlacer: s, Screen: &s.screen, Origins: &s.origins, Meter: noMeter{}, Log: zap.NewNop(),
		Domain: "n1", Region: "north", Regions: regions, Cold: cold.Settings{Overage: 1.5, Slack: 5},
		Retries: &s.retries, Limits: s.limits,
	})
	decision := access.Decision{Verdict: access.Granted, Route: &route, Residency: site.NewResidency(route.AllowedRegions)}
	server.Serve(context.Background(), answer, &flow.Request{
		Memory:  memory.NewBudget(4 << 20).NewAccount(),
		Request: site.Request{AttemptID: "a", CallerTimeout: 5 * time.Second, ItemCounts: []int{2}, Parts: s.parts, Resumes: s.resumes, LastEventID: s.lastEventID},
		Method:  http.MethodPost, Target: "/", Arrived: time.Now(), Header: http.Header{}, Decision: decision, View: s.view,
	})
}

// isCut serves a request and reports whether its answer was cut off.
func (s *deployment) isCut(route site.Route) bool {
	_, isCut := s.serveCut(route)
	return isCut
}

// serveCut serves a request. It returns what its caller got, and whether that was cut off.
func (s *deployment) serveCut(route site.Route) (answer *httptest.ResponseRecorder, isCut bool) {
	answer = httptest.NewRecorder()
	defer func() { isCut = recover() != nil }()
	s.serveTo(answer, route)
	return answer, false
}

// Guards against a request being sent to an evacuated failure domain because it was placed there
// before the evacuation.
func TestRequestIsPlacedAgainIfItsDomainIsEvacuated(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	route := newRoute()
	s := &deployment{view: newView(1, route, north, south), viewAfterStages: newView(1, route, south)}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"s"})
}

// Guards against a request being sent outside the regions that the newest configuration allows
// because it was placed under an older one.
func TestRequestIsPlacedAgainIfResidencyChanges(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	s := &deployment{view: newView(1, newRoute(), north, south), viewAfterStages: newView(2, newRoute("south"), north, south)}
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"s"})
}

// Guards against a request that waits although its regions have no servers, or that is sent to
// another region.
func TestRequestWithoutServerInAllowedRegionsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &deployment{view: newView(1, newRoute("south"), newEngine("n", "n1", "10.0.0.8:1"))}
	began := time.Now()
	answer := s.serve(newRoute("south"))
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.True(answer.Header().Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(len(s.sentTo), 0)
}

// Guards against requests that were placed at a warm engine reaching it all at once after it became
// cold, because they were not counted against its rate limit.
func TestRequestIsPlacedAgainIfItsEngineBecomesCold(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	coldNorth := north
	coldNorth.ColdUntil = time.Now().Add(time.Minute)
	route := newRoute()
	s := &deployment{view: newView(1, route, north), viewAfterStages: newView(1, route, coldNorth, south)}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.placements, 2)
	is.Equal(len(s.sentTo), 1)
}

func newLimitAnswer(perSecond float64) site.Answer {
	return site.Answer{Status: http.StatusOK, Signed: true, RateLimit: site.RateLimit{State: site.RateLimited, PerSecond: perSecond}}
}

// Guards against requests that were placed at an engine reaching it all at once after it stated a
// rate limit, because they were not counted against it.
func TestRequestIsPlacedAgainIfItsEngineStatesARateLimit(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	stated := newLimitAnswer(1)
	s := &deployment{view: newView(1, newRoute(), north, south), limits: newLimits(), answerAfterStages: &stated}
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.placements, 2)
	is.Equal(s.sentTo, []string{"s"})
}

func newPauseAnswer(pause time.Duration) site.Answer {
	return site.Answer{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: pause}
}

// Guards against a request being sent to an engine that asked for a pause because it was placed there
// before, and against one that is placed there again.
func TestRequestIsPlacedAgainIfItsEngineAsksForAPause(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	paused := newPauseAnswer(3 * time.Second)
	s := &deployment{view: newView(1, newRoute(), north, south), limits: newLimits(), answerAfterStages: &paused}
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.placements, 2)
	is.Equal(s.sentTo, []string{"s"})
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"s", "s"})
}

// Guards against a request being placed at an engine that leaves because the placer does not know that
// yet.
func TestPlacerIsToldWhichEnginesLeave(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	north.Service = "engines"
	view := newView(1, newRoute(), south)
	view.Leaving = []site.Server{north}
	s := &deployment{view: view, placerView: newView(1, newRoute(), north, south)}
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.placements, 1)
	is.Equal(s.sentTo, []string{"s"})
}

// Guards against a request that waits although all engines have asked for a pause, and against a refusal
// that tells its caller to return before the first of them takes requests, or long after.
func TestRequestDuringAllPausesIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	s := &deployment{view: newView(1, newRoute(), north, south), limits: newLimits()}
	for id, pause := range map[string]time.Duration{"n": 4 * time.Second, "s": time.Minute} {
		s.limits.ObserveAnswer(site.Server{ID: id, Service: "engines"}, newPauseAnswer(pause))
	}
	answer := s.serve(newRoute())
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 3.5)
	is.True(seconds <= 5)
	is.True(strings.Contains(answer.Body.String(), "2 asked for a pause: n,s"))
	is.Equal(len(s.sentTo), 0)
}

// Guards against a request that waits although the rate limits of all engines are used up, and
// against a refusal that does not state when to return.
func TestRequestBeyondAllRateLimitsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	north := newEngine("n", "n1", "10.0.0.8:1")
	s := &deployment{view: newView(1, newRoute(), north), limits: newLimits()}
	s.limits.ObserveAnswer(north, newLimitAnswer(0.5))
	began := time.Now()
	answer := s.serve(newRoute())
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "2.00")
	is.True(strings.Contains(answer.Body.String(), "1 with a rate limit: n=0.5/s"))
	is.True(time.Since(began) < time.Second)
	is.Equal(len(s.sentTo), 0)
}

// Guards against an engine being instructed to fetch from an engine that has asked for a pause since the
// placement.
func TestEngineDoesNotFetchFromAPausedEngine(t *testing.T) {
	is := is.New(t)
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	s := &deployment{view: newView(1, newRoute(), north, south), limits: newLimits(), fetchFrom: "s"}
	s.limits.ObserveAnswer(site.Server{ID: "s", Service: "engines"}, newPauseAnswer(3*time.Second))
	is.Equal(s.serve(newRoute()).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"n"})
	is.Equal(s.fetchSources, []netip.AddrPort{{}})
}

// Guards against a connection being opened in advance to an engine that takes no requests any more.
func TestNoConnectionIsOpenedToAnEngineThatTakesNoRequests(t *testing.T) {
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	paused := newPauseAnswer(3 * time.Second)
	for name, c := range map[string]struct {
		next   *state.View
		answer *site.Answer
		want   []netip.AddrPort
	}{
		"as before":         {nil, nil, []netip.AddrPort{north.Address}},
		"it asked to pause": {nil, &paused, nil},
		"it left":           {newView(1, newRoute(), south), nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &deployment{view: newView(1, newRoute(), north, south), viewAfterStages: c.next, limits: newLimits(), answerAfterStages: c.answer}
			is.Equal(s.serve(newRoute()).Code, http.StatusOK)
			is.Equal(slices.DeleteFunc(s.preconnected, func(a netip.AddrPort) bool { return a != north.Address }), c.want)
		})
	}
}

// Guards against an engine being instructed to fetch from an engine that has left, or from one
// outside the regions in which the request's data may be held.
func TestEngineFetchesOnlyFromAvailableEnginesInAllowedRegions(t *testing.T) {
	north, south := newEngine("n", "n1", "10.0.0.8:1"), newEngine("s", "s1", "10.0.0.9:1")
	for name, c := range map[string]struct {
		next *state.View
		want netip.AddrPort
	}{
		"present":                     {newView(1, newRoute(), north, south), south.Address},
		"left":                        {newView(1, newRoute(), north), netip.AddrPort{}},
		"outside the allowed regions": {newView(2, newRoute("north"), north, south), netip.AddrPort{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &deployment{view: newView(1, newRoute(), north, south), viewAfterStages: c.next, fetchFrom: "s"}
			is.Equal(s.serve(newRoute()).Code, http.StatusOK)
			is.Equal(s.sentTo, []string{"n"})
			is.Equal(s.fetchSources, []netip.AddrPort{c.want})
		})
	}
}
