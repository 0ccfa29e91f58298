package limits_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

func newLeavingView(servers ...site.Server) *state.View { return &state.View{Leaving: servers} }

// Guards against an ingress that goes on using a server although another ingress knows that it leaves,
// against news of an earlier start of the server, and against the same news each heartbeat.
func TestLeavingServersReachAnotherIngress(t *testing.T) {
	is := is.New(t)
	server := site.Server{ID: "i-0", Incarnation: 7, Service: "engines", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	changes := 0
	core, logged := observer.New(zap.InfoLevel)
	newRegistry := func() *limits.Registry {
		r := limits.NewRegistry(limits.Options{Meter: &sendCounter{}, Log: zap.New(core), OnLeaving: func() { changes++ }})
		r.SetView(&state.View{Servers: map[string][]site.Server{"engines": {server}}})
		return r
	}
	first, second := newRegistry(), newRegistry()
	leaving := site.Answer{Status: http.StatusOK, Signed: true, Leaving: true}
	is.True(first.MaySend(server, "a"))
	first.ObserveAnswer(server, leaving)
	first.ObserveAnswer(server, leaving)
	is.Equal(changes, 1)
	is.True(!first.MaySend(server, "a"))
	is.Equal(len(first.LeavingServers()), 0) // until the view has changed
	first.SetView(newLeavingView(server))
	second.MergeLeaving("first", first.LeavingServers())
	second.MergeLeaving("first", first.LeavingServers())
	is.Equal(changes, 2)
	is.True(second.IsLeaving(&server))
	is.True(!second.MaySend(site.Server{Address: server.Address}, "")) // a release of results
	is.Equal(logged.FilterMessage("server-leaving").Len(), 2)

	restarted := server
	restarted.Incarnation = 8
	second.SetView(&state.View{Servers: map[string][]site.Server{"engines": {restarted}}})
	second.MergeLeaving("first", first.LeavingServers())
	is.True(second.MaySend(restarted, "a"))

	stranger := limits.NewRegistry(limits.Options{Meter: &sendCounter{}, Log: zap.NewNop()})
	stranger.MergeLeaving("first", first.LeavingServers())
	is.True(!stranger.IsLeaving(&server)) // it does not know the server
}

// Guards against a server that is taken for one that leaves because of the answer of another server that
// now has its address.
func TestMisdirectedAnswerSaysNothingOfTheServer(t *testing.T) {
	is := is.New(t)
	r := newRegistryWith(1)
	server := site.Server{ID: "i-0"}
	r.ObserveAnswer(server, site.Answer{Status: http.StatusMisdirectedRequest, NotRun: true, Leaving: true})
	is.True(r.MaySend(server, "a"))
}

// Guards against a request, a call or a release that is sent to a server during its pause, and against a
// pause that another ingress was asked for.
func TestNothingIsSentDuringAPause(t *testing.T) {
	is := is.New(t)
	server := site.Server{ID: "i-0", Service: "engines", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	first, second := newRegistryWith(1), newRegistryWith(1)
	first.ObserveAnswer(server, site.Answer{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 200 * time.Millisecond})
	is.True(!first.MaySend(server, "a"))
	is.True(!first.MaySend(site.Server{Address: server.Address}, ""))
	is.Equal(first.ListPaused(time.Now(), "engines"), []string{"i-0"})
	second.MergeLeaving("first", first.LeavingServers())
	is.True(second.MaySend(server, "a"))
	time.Sleep(200 * time.Millisecond)
	is.True(first.MaySend(server, "a"))
}

// Guards against an ingress with many peers that is busy counting while servers leave, since each heartbeat
// and each answer of such a server repeats what is known.
func TestKnownClosuresAreNotCountedAgain(t *testing.T) {
	is := is.New(t)
	server := site.Server{ID: "i-0", Incarnation: 7, Service: "engines", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	meter := &sendCounter{}
	r := limits.NewRegistry(limits.Options{Meter: meter, Log: zap.NewNop()})
	r.SetView(newLeavingView(server))
	reported := []*wire.LeavingServer{{ServerId: server.ID, Incarnation: server.Incarnation}}
	r.MergeLeaving("a", reported)
	counted := meter.closedCounts
	for range 100 {
		r.MergeLeaving("a", reported)
		r.ObserveAnswer(server, site.Answer{Status: http.StatusOK, Signed: true, Leaving: true})
	}
	is.Equal(meter.closedCounts, counted)
}
