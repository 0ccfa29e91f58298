package alive_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/alive"
	"verbenaroad.example/share/models/site"
)

func newServer(id string, state site.ServerState) site.Server {
	return site.Server{ID: id, Service: "orders", State: state}
}

func countReady(s *alive.Set) int { return len(s.List()["orders"]) }

// The store is unavailable for six seconds, in which all registrations expire. When it recovers
// its listing is empty, and every request would be refused although the servers are healthy.
// They must be kept until they have had time to register again.
func TestExpiredServersAreKeptUntilReregisterTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServer("a", site.ServerReady))
	s.Put(newServer("b", site.ServerReady))
	s.MarkStoreUnavailable(now)
	now = now.Add(6 * time.Second)
	s.MarkStoreAvailable(now)
	is.True(s.Remove("a", now))
	is.True(s.Remove("b", now))
	is.Equal(countReady(s), 2)

	s.Put(newServer("a", site.ServerReady)) // registers again
	now = now.Add(alive.ReregisterTime)
	is.Equal(s.DropExpired(now), []string{"b"})
	is.Equal(countReady(s), 1)
}

// A server starts to drain, then the store becomes unavailable and the registration ends. The
// server must get no new work, although an outage normally keeps servers.
func TestDrainingServersAreNotKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServer("a", site.ServerDraining))
	is.Equal(countReady(s), 0)
	s.MarkStoreUnavailable(now)
	now = now.Add(5 * time.Second)
	is.True(!s.Remove("a", now))
}

// A server that is removed while the store is available must be dropped at once. A single failed
// call to the store is not an outage.
func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServer("a", site.ServerReady))
	s.MarkStoreUnavailable(now)
	now = now.Add(100 * time.Millisecond)
	s.MarkStoreAvailable(now)
	is.True(!s.Remove("a", now))
	is.Equal(countReady(s), 0)
}

// Only this process loses its connection to the store and reconnects. A second later a server
// shuts down without draining first, and its record is removed. If the server were kept as one
// that may register again, it would get new work after it has exited.
func TestRemovalAfterExpiryWindowIsImmediate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServer("a", site.ServerReady))
	s.Put(newServer("b", site.ServerReady))
	s.MarkStoreUnavailable(now)
	now = now.Add(6 * time.Second)
	s.MarkStoreAvailable(now)
	is.True(s.Remove("b", now.Add(alive.ExpiryWindow/2)))
	is.True(!s.Remove("a", now.Add(alive.ExpiryWindow)))
	is.Equal(countReady(s), 1)
}

func newServerIn(id, domain string) site.Server {
	s := newServer(id, site.ServerReady)
	s.Domain = domain
	return s
}

func threeSeconds(string) time.Duration { return 3 * time.Second }

// Guards against new work for the servers of an evacuated failure domain, including servers
// that register during the evacuation.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServerIn("a", "north"))
	s.Put(newServerIn("b", "south"))
	s.Evacuate("north")
	s.Put(newServerIn("c", "north"))
	is.Equal(countReady(s), 1)
	is.Equal(s.Evacuated(), []string{"north"})
	s.EndEvacuation("north", now, threeSeconds)
	is.Equal(countReady(s), 3)
	is.Equal(len(s.Evacuated()), 0)
}

// Guards against sending servers their full share of requests right after the evacuation of
// their domain ends: they are cold, and report it a heartbeat later.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := alive.NewSet()
	s.Put(newServerIn("a", "north"))
	s.Put(newServerIn("b", "south"))
	s.Evacuate("north")
	s.EndEvacuation("north", now, threeSeconds)
	s.EndEvacuation("south", now, threeSeconds) // not evacuated
	for _, server := range s.List()["orders"] {
		is.Equal(server.IsCold(now.Add(2900*time.Millisecond)), server.ID == "a")
	}
	longer := newServerIn("a", "north")
	longer.ColdUntil = now.Add(5 * time.Second)
	s.Put(longer)
	s.Evacuate("north")
	s.EndEvacuation("north", now, threeSeconds)
	for _, server := range s.List()["orders"] {
		is.Equal(server.IsCold(now.Add(4900*time.Millisecond)), server.ID == "a")
	}
}
