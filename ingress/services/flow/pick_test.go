package flow_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/models/site"
)

// orderDesk simulates two servers of a plain service and the ingress that counts the requests to those
// with a rate limit.
type orderDesk struct {
	limits *limits.Registry
	// refuses holds the servers that are not granted, with the time after which to ask again.
	refuses map[string]time.Duration
	asked   []string
	sentTo  []string
	// onAdmit is called each time that a server is asked for.
	onAdmit func()
	// closed holds the servers to which nothing may be sent.
	closed map[string]bool
}

func (d *orderDesk) Admit(_ context.Context, server site.Server) (bool, time.Duration) {
	d.asked = append(d.asked, server.ID)
	d.onAdmit()
	wait, refused := d.refuses[server.ID]
	return !refused, wait
}

func (d *orderDesk) Send(_ context.Context, r reach.Request) (*reach.Reply, error) {
	if d.closed[r.Server.ID] {
		return nil, errors.Join(reach.ErrNotSent, reach.ErrClosed)
	}
	d.sentTo = append(d.sentTo, r.Server.ID)
	answer := site.Answer{Status: http.StatusOK, Signed: true, AttemptID: r.UpstreamHeaders.AttemptID, Header: http.Header{}}
	return &reach.Reply{Answer: answer, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

func (*orderDesk) Preconnect(netip.AddrPort)                                   {}
func (*orderDesk) HasGone(context.Context, netip.AddrPort, time.Duration) bool { return false }

func newOrderDesk() *orderDesk {
	return &orderDesk{limits: newLimits(), refuses: map[string]time.Duration{}, onAdmit: func() {}, closed: map[string]bool{}}
}

// newOrders returns a function that serves one order.
func (d *orderDesk) newOrders() func(ctx context.Context) *httptest.ResponseRecorder {
	route := site.Route{
		Name: "orders", Kind: site.KindOnce, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 1,
		Backends: []site.Backend{{Service: "desk", Weight: 1}},
	}
	view := &state.View{
		Table:   access.NewTable(&site.Config{Version: 1, Routes: []site.Route{route}, Services: []site.Service{{Name: "desk"}}}),
		Servers: map[string][]site.Server{"desk": {newEngine("a", "n1", "10.0.0.8:1"), newEngine("b", "s1", "10.0.0.9:1")}},
	}
	server := flow.NewServer(flow.Options{
		Views: fixedView{view}, Sender: d, Screen: &fakeScreen{}, Meter: noMeter{}, Log: zap.NewNop(), Domain: "n1", Region: "north", Regions: regions,
		Retries: newLedger(), Limits: d.limits, Admitter: d,
	})
	server.SetView(view)
	return func(ctx context.Context) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		server.Serve(ctx, answer, &flow.Request{
			Memory:  memory.NewBudget(4 << 20).NewAccount(),
			Request: site.Request{AttemptID: "a", CallerTimeout: time.Second}, Method: http.MethodPost, Target: "/", Arrived: time.Now(),
			Header: http.Header{}, Decision: access.Decision{Verdict: access.Granted, Route: &route}, View: view,
		})
		return answer
	}
}

// Guards against a plain server in need receiving a request that the ingress which counts them has not
// granted, and against asking for that server again with each request.
func TestServerThatIsNotGrantedIsDeferred(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a"}) // the closer one
	is.Equal(len(d.asked), 0)         // it has no limit
	d.limits.ObserveAnswer(site.Server{ID: "a"}, newLimitAnswer(1))
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "a"})
	d.refuses["a"] = time.Minute
	for range 3 {
		is.Equal(order(t.Context()).Code, http.StatusOK)
	}
	is.Equal(d.sentTo, []string{"a", "a", "b", "b", "b"})
	is.Equal(d.asked, []string{"a", "a"})
}

// Guards against a request that waits although no server may receive it, and against a refusal that
// does not state when to return.
func TestRequestThatNoServerIsGrantedForIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	for _, id := range []string{"a", "b"} {
		d.limits.ObserveAnswer(site.Server{ID: id}, newLimitAnswer(0.5))
	}
	d.refuses["a"], d.refuses["b"] = 3*time.Second, 2*time.Second
	answer := order(t.Context())
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "2.00")
	is.True(strings.Contains(answer.Body.String(), "2 with a rate limit: a=0.5/s,b=0.5/s"))
	is.Equal(len(d.sentTo), 0)
}

// Guards against a server that is left alone after it has withdrawn its limit.
func TestDeferralEndsWithTheLimit(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	is.Equal(order(t.Context()).Code, http.StatusOK)
	d.limits.ObserveAnswer(site.Server{ID: "a"}, newLimitAnswer(1))
	d.refuses["a"] = time.Minute
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b"})
	d.limits.ObserveAnswer(site.Server{ID: "a"}, site.Answer{Status: http.StatusOK, Signed: true})
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b", "a"})
	is.Equal(d.asked, []string{"a"})
}

// Guards against a server that is left alone after it has raised its limit.
func TestDeferralEndsWithAHigherLimit(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	is.Equal(order(t.Context()).Code, http.StatusOK)
	d.limits.ObserveAnswer(site.Server{ID: "a"}, newLimitAnswer(0))
	d.refuses["a"] = time.Minute
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b"})
	delete(d.refuses, "a")
	d.limits.ObserveAnswer(site.Server{ID: "a"}, newLimitAnswer(2))
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b", "a"})
}

// Guards against a caller that leaves while the ingress asks for a server, and because of whom that
// server is deferred for all others.
func TestCallerThatLeavesDefersNoServer(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	ctx, cancel := context.WithCancel(context.Background())
	d.onAdmit = cancel
	order := d.newOrders()
	is.Equal(order(context.Background()).Code, http.StatusOK)
	d.limits.ObserveAnswer(site.Server{ID: "a"}, newLimitAnswer(1))
	d.refuses["a"] = time.Minute
	order(ctx)
	is.Equal(d.sentTo, []string{"a"})
	delete(d.refuses, "a")
	d.onAdmit = func() {}
	is.Equal(order(context.Background()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "a"})
}

// Guards against a request that fails because its server stopped taking requests after it was chosen,
// and against such a server being taken for one that cannot be reached.
func TestRequestGoesOnFromAClosedServer(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	is.Equal(order(t.Context()).Code, http.StatusOK)
	d.closed["a"] = true
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b"})
	delete(d.closed, "a")
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b", "a"})
	d.closed["a"], d.closed["b"] = true, true
	answer := order(t.Context())
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(answer.Body.String(), `"not-run"`))
}

// Guards against a plain server receiving the next request although it has asked for a pause.
func TestPausedPlainServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	d := newOrderDesk()
	order := d.newOrders()
	is.Equal(order(t.Context()).Code, http.StatusOK)
	d.limits.ObserveAnswer(site.Server{ID: "a", Service: "desk"}, newPauseAnswer(200*time.Millisecond))
	is.Equal(order(t.Context()).Code, http.StatusOK)
	time.Sleep(200 * time.Millisecond)
	is.Equal(order(t.Context()).Code, http.StatusOK)
	is.Equal(d.sentTo, []string{"a", "b", "a"})
}
