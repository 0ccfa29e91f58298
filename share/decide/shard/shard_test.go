package shard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"} //nolint:gochecknoglobals // a constant in all but syntax

var pool = &site.Service{Name: "encoders", Pool: &site.Pool{}} //nolint:gochecknoglobals // as above

func newServers(domains ...string) []site.Server {
	servers := []site.Server{}
	for i, domain := range domains {
		servers = append(servers, site.Server{ID: fmt.Sprintf("p%d", i), Domain: domain})
	}
	return servers
}

// Guards against a service name that contains the separator being split at the wrong place.
func TestQueueNameRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, c := range [][2]string{{"encoders", "a"}, {"encoders", ""}, {"en@coders", "a"}} {
		service, region := shard.ParseQueueName(shard.QueueName(c[0], c[1]))
		is.Equal([2]string{service, region}, c)
	}
	is.Equal(shard.QueueName("encoders", ""), "encoders")
}

// Guards against regional queues where a region has too few servers: if its only server is
// slow or gone, its jobs wait while servers in other regions are idle.
func TestTooFewServersPerRegionShareOneQueue(t *testing.T) {
	is := is.New(t)
	is.True(shard.IsSharded(pool, newServers("a1", "a1", "a2", "b1", "b2", "b2"), regions))
	is.True(!shard.IsSharded(pool, newServers("a1", "a2", "a2", "a2", "b1", "b2"), regions))
	is.True(!shard.IsSharded(pool, newServers("a1", "a1", "a2"), regions))
	is.True(!shard.IsSharded(pool, newServers("a1", "a1", "a2", "a2"), map[string]string{"a1": "a", "a2": "a"})) // one region
	is.True(!shard.IsSharded(pool, nil, nil))
	engines := &site.Service{Name: "models", Engine: &site.Engine{}, Pool: &site.Pool{}}
	is.True(!shard.IsSharded(engines, newServers("a1", "a1", "a2", "b1", "b2", "b2"), regions))
	is.Equal(shard.QueueOf(pool, newServers("a1", "a1", "a2", "b1", "b2", "b2"), regions, "b"), "encoders@b")
	is.Equal(shard.QueueOf(pool, newServers("a1", "a2", "a2", "a2", "b1", "b2"), regions, "b"), "encoders")
}

// Guards against two faults: a region without servers being left out, which would hide it
// from IsSharded, and a server in a failure domain without a known region being counted in
// some region.
func TestGroupByRegionListsEveryRegion(t *testing.T) {
	is := is.New(t)
	groups := shard.GroupByRegion(newServers("a1", "elsewhere", "a2"), regions)
	is.Equal(len(groups), 2)
	is.Equal(len(groups["a"]), 2)
	is.Equal(len(groups["b"]), 0)
}
