package avail_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/models/site"
)

var start = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func newServer(id string, incarnation int64) *site.Server {
	return &site.Server{ID: id, Incarnation: incarnation, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

// Guards against a server that is used again, while it still leaves, because time has passed, and against
// one that is not used after it has started again.
func TestServerLeavesUntilItsNextStart(t *testing.T) {
	is := is.New(t)
	table := avail.NewTable()
	first, second := newServer("a", 1), newServer("a", 2)
	is.True(table.MarkLeaving(start, first))
	is.True(!table.MarkLeaving(start, first))
	for hour := range 48 {
		table.Retain(start.Add(time.Duration(hour)*time.Hour), map[string]bool{"a": true})
	}
	is.True(table.IsLeaving(first))
	is.True(!table.IsLeaving(second))
	table.Pause(start, second, start.Add(time.Second))
	is.True(!table.MarkLeaving(start, first)) // an answer of the earlier start that arrives late
	is.True(!table.IsLeaving(second))
	is.True(table.MarkLeaving(start, second))
}

// Guards against a server that leaves and is used again because it was out of the view for a while, and
// against servers that are remembered for ever.
func TestServerOutOfTheViewIsRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	table := avail.NewTable()
	server := newServer("a", 1)
	table.MarkLeaving(start, server)
	table.Retain(start.Add(59*time.Minute), map[string]bool{})
	is.True(table.IsLeaving(server))
	table.Retain(start.Add(time.Hour), map[string]bool{})
	is.True(!table.IsLeaving(server))
	leaving, paused := table.Count(start)
	is.Equal(leaving+paused, 0)
}

// Guards against a pause that ends early because a later answer asked for a shorter one, and against one
// that does not end.
func TestPauseLastsAsLongAsTheServerAskedFor(t *testing.T) {
	is := is.New(t)
	table := avail.NewTable()
	server := newServer("a", 1)
	is.True(!table.Pause(start, server, start)) // no pause
	is.True(table.Pause(start, server, start.Add(3*time.Second)))
	is.True(!table.Pause(start.Add(time.Second), server, start.Add(2*time.Second)))
	is.Equal(table.PausedUntil(start.Add(2*time.Second), server), start.Add(3*time.Second))
	is.Equal(table.ListPaused(start.Add(2*time.Second), "orders"), []string{"a"})
	is.Equal(table.ListPaused(start.Add(2*time.Second), "models"), []string{})
	table.Retain(start.Add(2*time.Second), map[string]bool{})
	is.True(!table.PausedUntil(start.Add(2*time.Second), server).IsZero())
	is.True(table.PausedUntil(start.Add(3*time.Second), server).IsZero())
	is.Equal(table.ListPaused(start.Add(3*time.Second), "orders"), []string{})
	is.True(table.PausedUntil(start.Add(time.Second), newServer("a", 2)).IsZero()) // it has started again
}

// Guards against requests to a server of which only the address is known, such as releases of results
// that it made before it left the view.
func TestServerIsFoundByItsAddress(t *testing.T) {
	is := is.New(t)
	table := avail.NewTable()
	table.MarkLeaving(start, newServer("a", 1))
	table.Pause(start, newServer("a", 1), start.Add(time.Second))
	known := &site.Server{Address: netip.MustParseAddrPort("10.0.0.1:80")}
	is.True(table.IsLeaving(known))
	is.Equal(table.PausedUntil(start, known), start.Add(time.Second))
	is.True(!table.IsLeaving(&site.Server{Address: netip.MustParseAddrPort("10.0.0.1:81")}))
}

// Guards against a server that gets requests in its pause because it has been out of the view for longer
// than servers are remembered.
func TestPauseOutlastsTheTimeOutOfTheView(t *testing.T) {
	is := is.New(t)
	table := avail.NewTable()
	server := newServer("a", 1)
	end := start.Add(3 * time.Hour)
	table.Pause(start, server, end)
	table.Retain(end.Add(-time.Second), map[string]bool{})
	is.Equal(table.PausedUntil(end.Add(-time.Second), server), end)
	table.Retain(end, map[string]bool{})
	is.True(table.IsEmpty())
}

// Guards against a request to a server of which only the address is known that is withheld, or sent,
// because of what another server said that had the address earlier.
func TestServerIsFoundByTheAddressOfTheLatest(t *testing.T) {
	for range 20 { // the order of a map varies
		is := is.New(t)
		table := avail.NewTable()
		byAddress := &site.Server{Address: newServer("a", 1).Address}
		table.MarkLeaving(start, newServer("a", 1))
		table.Pause(start.Add(time.Minute), newServer("b", 1), start.Add(2*time.Minute))
		is.True(!table.IsLeaving(byAddress))
		is.Equal(table.PausedUntil(start.Add(time.Minute), byAddress), start.Add(2*time.Minute))
	}
}
