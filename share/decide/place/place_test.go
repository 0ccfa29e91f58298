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

// Guards against requests crossing failure domains or regions while a closer server is idle.
func TestCloserServersArePreferred(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("b1", "a2", "a1")
	is.Equal(pick(t, c, now), "s2")
	is.Equal(pick(t, c, now, "s2"), "s1")
	is.Equal(pick(t, c, now, "s2", "s1"), "s0")
	is.Equal(pick(t, c, now, "s0", "s1", "s2"), "")
}

// Guards against long queues at the only server of a region, which has six slots, during a burst:
// requests must spill over to other regions before that.
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

// Guards against requests being sent to a crashed server, which refuses connections, and against
// a server that is never used again. It must be avoided, tried again after its backoff and used
// as before once it answers.
func TestCrashedServerIsAvoidedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a2")
	c.Start(now, "s0")
	c.End(now, "s0", place.ResultUnreachable, 0, nil)
	is.Equal(pick(t, c, now), "s1")
	is.Equal(pick(t, c, now, "s1"), "s0") // the only server that is left
	now = now.Add(300 * time.Millisecond)
	for range 30 {
		c.Start(now, "s0")
		c.End(now, "s0", place.ResultServed, 50*time.Millisecond, nil)
	}
	is.Equal(pick(t, c, now), "s0")
}

// Guards against a server attracting traffic because it fails fast: it answers every second
// request with an error within milliseconds while its health check succeeds.
func TestFailingServerDoesNotAttractTraffic(t *testing.T) {
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

// Guards against a growing queue at a server that has become five times slower but is otherwise
// healthy: it must get fewer requests than the others.
func TestSlowServerGetsFewerRequests(t *testing.T) {
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

// Guards against sending to a server that other ingresses have filled, which only its own load
// report shows, and against avoiding it because of a stale report.
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

// Guards against a restarted server with the same ID and address being judged by the failures of
// its previous start.
func TestRestartedServerStartsWithoutHistory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	servers := newServers("a1", "a2")
	c := place.NewChooser(regions)
	c.SetServers(servers)
	c.Start(now, "s0")
	c.End(now, "s0", place.ResultUnreachable, 0, nil)
	is.Equal(pick(t, c, now), "s1")
	servers[0].Incarnation = 7
	c.SetServers(servers)
	is.Equal(pick(t, c, now), "s0")
}

// Guards against requests queueing at a server whose machine is busy at the moment, and against leaving
// it alone after that.
func TestStatedPaceCountsWhileFresh(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newChooser("a1", "a1")
	serve := func(id string, took time.Duration, stated float64) {
		c.Start(now, id)
		c.End(now, id, place.ResultServed, took, &site.Load{Slots: 6, Pace: stated})
	}
	for range 10 {
		serve("s0", 20*time.Millisecond, 1)
		serve("s1", 30*time.Millisecond, 1)
	}
	is.Equal(pick(t, c, now), "s0")
	for range 3 {
		serve("s0", 50*time.Millisecond, 2.5)
	}
	is.Equal(pick(t, c, now), "s1")
	now = now.Add(1500 * time.Millisecond)
	is.Equal(pick(t, c, now), "s0") // nothing was learned from its slow answers but the pace
}

// Guards against a server without history that gets no requests for as long as the others of its service
// answer sooner than a fixed time, and against one that gets all requests because they answer later.
func TestServerWithoutHistoryIsAssumedAsFastAsTheOthers(t *testing.T) {
	for _, latency := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			c := newChooser("a1", "a1", "a1")
			for _, id := range []string{"s0", "s1"} {
				c.Start(now, id)
				c.End(now, id, place.ResultServed, latency, nil)
			}
			counts := map[string]int{}
			for range 6 {
				id := pick(t, c, now)
				c.Start(now, id)
				counts[id]++
			}
			is.Equal(counts, map[string]int{"s0": 2, "s1": 2, "s2": 2})
		})
	}
}

// Guards against a server that is never tried again, because it was slow or failed for a while, as long as
// the others of its service have room: its latency and its failure rate change by its own answers only.
func TestServerThatWasSlowOrFailedIsTriedAgain(t *testing.T) {
	for name, result := range map[string]place.Result{"slow": place.ResultServed, "failed": place.ResultFailed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			c := newChooser("a1", "a1")
			serve := func(id string, result place.Result, took time.Duration) {
				c.Start(now, id)
				now = now.Add(took)
				c.End(now, id, result, took, nil)
			}
			serve("s1", place.ResultServed, 20*time.Millisecond)
			for range 5 {
				serve("s0", result, time.Second)
			}
			tried := false
			for end := now.Add(time.Minute); now.Before(end) && !tried; {
				id := pick(t, c, now)
				tried = id == "s0"
				serve(id, place.ResultServed, 20*time.Millisecond)
			}
			is.True(tried)
		})
	}
}
