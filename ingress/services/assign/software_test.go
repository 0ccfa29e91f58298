package assign_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/peers"
)

type noMeter struct{}

func (noMeter) CountLimitedSend(string)   {}
func (noMeter) SetLimitedServers(int)     {}
func (noMeter) SetClosedServers(int, int) {}

// forgetfulPlacer answers each request with the same engine, as a placer of an earlier program version
// does that does not know all constraints.
type forgetfulPlacer struct{ engine string }

func (p forgetfulPlacer) ServeSession(_ context.Context, session *link.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		if _, err := wire.NewReader(stream).Next(); err != nil {
			return
		}
		if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Assigned{Assigned: &wire.Assigned{ServerId: p.engine}}}); err != nil {
			return
		}
	}
}

// remoteFirst ranks another ingress first.
type remoteFirst struct{ *mesh.Mesh }

func (remoteFirst) Rank(string) []string { return []string{"other", "self"} }

type fixedView struct{ view *state.View }

func (v fixedView) View() *state.View { return v.view }

func newEngine(id, version string) site.Server {
	return site.Server{ID: id, Service: "engines", Version: version, Domain: "a1", Address: netip.MustParseAddrPort("10.0.0.8:1"), State: site.ServerReady}
}

// Guards against a stream being sent to an engine of another version because the ingress that places it does
// not know the constraint.
func TestEngineThatAnotherIngressChoosesIsChecked(t *testing.T) {
	is := is.New(t)
	options := link.Options{
		Hello: &wire.Hello{Version: wire.Version}, HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: 5 * time.Second,
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{} },
	}
	server, err := peers.NewServer(peers.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Link: options, Handler: forgetfulPlacer{engine: "e2"}, Log: zap.NewNop(),
	})
	is.NoErr(err)
	t.Cleanup(server.Close)
	server.Start(t.Context())
	view := &state.View{
		Table:     access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "engines", Engine: &site.Engine{Slots: 8}}}}),
		Servers:   map[string][]site.Server{"engines": {newEngine("e1", "v1"), newEngine("e2", "v2")}},
		Ingresses: []site.Ingress{{Name: "other", Address: server.Address(), Domain: "a1"}},
	}
	m := mesh.NewMesh(mesh.Options{Self: site.Ingress{Name: "self"}, IsLeaving: func() bool { return false }, Link: options, Log: zap.NewNop()})
	m.SetView(view)
	placer := assign.NewPlacer(map[string]string{"a1": "a"}, cold.Settings{}, limits.NewRegistry(limits.Options{Meter: noMeter{}, Log: zap.NewNop()}))
	placer.SetView(view)
	d := assign.NewDispatcher(remoteFirst{m}, fixedView{view}, placer, zap.NewNop())
	for version, want := range map[string]struct{ engine, placedBy string }{"v1": {"e1", ""}, "v2": {"e2", "other"}} {
		r, _ := d.Place(t.Context(), "engines", place.Query{
			Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 10},
			Constraints: site.Constraints{Software: &site.Software{Service: "engines", Version: version}},
		})
		is.True(r != nil)
		is.Equal(r.Server().ID, want.engine)
		is.Equal(r.PlacedBy, want.placedBy)
		r.End(place.ResultServed)
	}
}
