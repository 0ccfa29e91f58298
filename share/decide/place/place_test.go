package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"} //nolint:gochecknoglobals // a constant in all but syntax

func newServers(domains ...string) []site.Server {
	servers := []site.Server{}
	for i, domain := range domains {
		servers = append(servers, site.Server{ID: fmt.Sprintf("s%d", i), Domain: domain, Slots: 6, State: site.ServerReady})
	}
	return servers
}

func newChooser(domains ...string) *place.Chooser {
	c := place.NewChooser(regions)
	c.SetServers(newServers(domains...))
	return c
}

func pick(t *testing.T, c *place.Chooser, now time.Time, exclude ...string) string {
	t.Helper()
	s, found := c.Pick(now, place.Query{Domain: "a1", Region: "a", Exclude: exclude})
	if !found {
		return ""
	}
	return s.ID
}

func TestNearServersComeFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("b1", "a2", "a1")
	is.Equal(pick(t, c, now), "s2")
	is.Equal(pick(t, c, now, "s2"), "s1")
	is.Equal(pick(t, c, now, "s2", "s1"), "s0")
	is.Equal(pick(t, c, now, "s0", "s1", "s2"), "")
}

// Orders burst at one region's only server. Work must spill to the other regions
// before its six slots have long queues.
func TestBurstSpillsToOtherRegions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "b1")
	counts := map[string]int{}
	for range 24 {
		id := pick(t, c, now)
		c.Start(now, id)
		counts[id]++
	}
	is.True(counts["s0"] > counts["s1"])
	is.True(counts["s1"] >= 8)
}

// One of three servers crashes: connections to it are refused. It must be left
// alone, tried again after a while, and used as before once it answers.
func TestCrashedServerIsLeftAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a2")
	c.Start(now, "s0")
	c.End(now, "s0", place.ResultUnreached, 0, nil)
	is.Equal(pick(t, c, now), "s1")
	is.Equal(pick(t, c, now, "s1"), "s0") // better than nothing
	now = now.Add(300 * time.Millisecond)
	for range 30 {
		c.Start(now, "s0")
		c.End(now, "s0", place.ResultServed, 50*time.Millisecond, nil)
	}
	is.Equal(pick(t, c, now), "s0")
}

// A server answers every second request with an error within milliseconds while
// its health check is good. The fastest server must not draw the traffic.
func TestFailingServerDrawsLittle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a1")
	for i := range 20 {
		c.Start(now, "s0")
		result := place.ResultServed
		if i%2 == 0 {
			result = place.ResultFailed
		}
		c.End(now, "s0", result, 5*time.Millisecond, nil)
		c.Start(now, "s1")
		c.End(now, "s1", place.ResultServed, 20*time.Millisecond, nil)
	}
	is.Equal(pick(t, c, now), "s1")
}

// A server turns five times slower while it stays well. Its queue must not grow
// with an equal share of the requests.
func TestSlowServerGetsLess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a1")
	for range 10 {
		c.Start(now, "s0")
		c.End(now, "s0", place.ResultServed, 300*time.Millisecond, nil)
		c.Start(now, "s1")
		c.End(now, "s1", place.ResultServed, 60*time.Millisecond, nil)
	}
	counts := map[string]int{}
	for range 18 {
		id := pick(t, c, now)
		c.Start(now, id)
		counts[id]++
	}
	is.True(counts["s1"] >= 15)
}

// Another caller fills a server that this ingress sends nothing to; the server's
// own report tells so, and is believed only while it is fresh.
func TestReportedLoadCountsWhileFresh(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a1")
	c.Start(now, "s0")
	c.End(now, "s0", place.ResultRefused, 0, &site.Load{Running: 6, Waiting: 24, Slots: 6})
	is.Equal(pick(t, c, now), "s1")
	c.Start(now, "s1")
	is.Equal(pick(t, c, now.Add(time.Second)), "s0")
}

// A server starts again under its old name and address; what was known of the
// one before does not count.
func TestNewStartIsANewServer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	servers := newServers("a1", "a2")
	c := place.NewChooser(regions)
	c.SetServers(servers)
	c.Start(now, "s0")
	c.End(now, "s0", place.ResultUnreached, 0, nil)
	is.Equal(pick(t, c, now), "s1")
	servers[0].Incarnation = 7
	c.SetServers(servers)
	is.Equal(pick(t, c, now), "s0")
}
