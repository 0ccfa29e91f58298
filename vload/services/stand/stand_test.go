package stand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/vload/services/stand"
)

// registered is the part of a registration that a dialer needs.
type registered struct {
	Service struct {
		ID      string
		Address string
		Port    uint16
	}
}

// newList answers registrations and hands them on.
func newList(t *testing.T) (address netip.AddrPort, names chan registered) {
	t.Helper()
	names = make(chan registered, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body registered
		_ = json.NewDecoder(r.Body).Decode(&body)
		names <- body
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), names
}

func TestAgentRepeatsTheRevisionItWasTold(t *testing.T) {
	is := is.New(t)
	list, names := newList(t)
	stands := stand.NewStands(stand.Options{List: list, Agents: 1, Services: 1, BeatEvery: 10 * time.Millisecond})
	is.NoErr(stands.Start(t.Context()))
	agent := (<-names).Service
	is.Equal(agent.ID, "stand-agent-0000")
	heard := make(chan uint64, 100)
	session, err := link.Dial(t.Context(), netip.AddrPortFrom(netip.MustParseAddr(agent.Address), agent.Port), link.Options{
		Hello:             &wire.Hello{Version: wire.Version, Name: "entry-1", Role: "entry"},
		HeartbeatInterval: 10 * time.Millisecond,
		NewHeartbeat:      func() *wire.Beat { return &wire.Beat{Revision: 41} },
		OnHeartbeat: func(_ *link.Session, beat *wire.Beat, _ time.Time) {
			if beat.GetLoad().GetSlots() > 0 {
				heard <- beat.GetRevision()
			}
		},
	})
	is.NoErr(err)
	defer func() { _ = session.Close() }()
	for revision := range heard {
		if revision == 41 {
			return
		}
	}
}

func TestListedOnlyStandOnTheList(t *testing.T) {
	is := is.New(t)
	list, names := newList(t)
	is.NoErr(stand.NewStands(stand.Options{List: list, Listed: 2}).Start(t.Context()))
	is.Equal((<-names).Service.ID, "listed-0000")
	is.Equal((<-names).Service.ID, "listed-0001")
}
