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

// registration is the part of a registration that a test needs to dial the instance.
type registration struct {
	Service struct {
		ID      string
		Address string
		Port    uint16
	}
}

// newList starts an instance list that sends each registration it receives to a channel.
func newList(t *testing.T) (address netip.AddrPort, registrations chan registration) {
	t.Helper()
	registrations = make(chan registration, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body registration
		_ = json.NewDecoder(r.Body).Decode(&body)
		registrations <- body
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), registrations
}

func TestAgentHeartbeatsReportTheRevisionReceived(t *testing.T) {
	is := is.New(t)
	list, registrations := newList(t)
	group := stand.NewGroup(stand.Options{List: list, Agents: 1, Services: 1, HeartbeatInterval: 10 * time.Millisecond})
	is.NoErr(group.Start(t.Context()))
	agent := (<-registrations).Service
	is.Equal(agent.ID, "stand-agent-0000")
	revisions := make(chan uint64, 100)
	session, err := link.Dial(t.Context(), netip.AddrPortFrom(netip.MustParseAddr(agent.Address), agent.Port), link.Options{
		Hello:             &wire.Hello{Version: wire.Version, Name: "entry-1", Role: "entry"},
		HeartbeatInterval: 10 * time.Millisecond,
		NewHeartbeat:      func() *wire.Beat { return &wire.Beat{Revision: 41} },
		OnHeartbeat: func(_ *link.Session, beat *wire.Beat, _ time.Time) {
			if beat.GetLoad().GetSlots() > 0 {
				revisions <- beat.GetRevision()
			}
		},
	})
	is.NoErr(err)
	defer func() { _ = session.Close() }()
	for revision := range revisions {
		if revision == 41 {
			return
		}
	}
}

func TestListedEntriesAreRegistered(t *testing.T) {
	is := is.New(t)
	list, registrations := newList(t)
	is.NoErr(stand.NewGroup(stand.Options{List: list, Listed: 2}).Start(t.Context()))
	is.Equal((<-registrations).Service.ID, "listed-0000")
	is.Equal((<-registrations).Service.ID, "listed-0001")
}
