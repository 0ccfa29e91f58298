package assign_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// rankedByKey ranks first an ingress that is named after the key, and after the region unless that is empty. No
// ingress answers.
type rankedByKey struct{ asked []string }

func (*rankedByKey) Rank(key string) []string { return []string{key} }
func (*rankedByKey) Self() string             { return "self" }

func (*rankedByKey) RankIn(region, key string) []string {
	if region != "" {
		key += " in " + region
	}
	return []string{key}
}

var errLost = errors.New("lost")

func (r *rankedByKey) Assign(_ context.Context, name string, _ *wire.Assign) (*link.Assignment, error) {
	r.asked = append(r.asked, name)
	return nil, errLost
}

// newServersOf returns servers of a service, one in each of the failure domains.
func newServersOf(service string, domains ...string) []site.Server {
	servers := []site.Server{}
	for _, d := range domains {
		server := newEngine("i-"+service+"-"+d, "v1")
		server.Service, server.Domain = service, d
		servers = append(servers, server)
	}
	return servers
}

// Guards against two ingresses that each count the requests to a server which states a rate: the one that places or
// asks for requests, and the one that batches the calls of the same server.
func TestOneIngressCountsTheRequestsToAServer(t *testing.T) {
	engine, pool := &site.Engine{Slots: 8}, &site.Pool{Slots: 1, MaxBatch: 8}
	few, many := []string{"a1", "b1"}, []string{"a1", "a1", "a1", "b1", "b1", "b1"}
	for name, c := range map[string]struct {
		service site.Service
		domains []string
		// counter counts the requests to a server in domain a1, placer places streams.
		counter, placer string
	}{
		"plain":                              {site.Service{}, few, "engines/s", "engines/s"},
		"engines":                            {site.Service{Engine: engine}, many, "engines/s", "engines/s"},
		"pool":                               {site.Service{Pool: pool}, few, "s", "s"},
		"pool with a queue for each region":  {site.Service{Pool: pool}, many, "s@a in a", "s"},
		"engines that produce results":       {site.Service{Engine: engine, Pool: pool}, few, "s", "s"},
		"many engines that produce results":  {site.Service{Engine: engine, Pool: pool}, many, "s", "s"},
		"pool of one region, no other known": {site.Service{Pool: pool}, []string{"a1", "a1", "a1"}, "s", "s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.service.Name = "s"
			view := &state.View{
				Table:   access.NewTable(&site.Config{Version: 1, Services: []site.Service{c.service}}),
				Servers: map[string][]site.Server{"s": newServersOf("s", c.domains...)},
			}
			regions := map[string]string{"a1": "a", "b1": "b"}
			placer := assign.NewPlacer(regions, cold.Settings{}, limits.NewRegistry(limits.Options{Meter: noMeter{}, Log: zap.NewNop()}))
			peers := &rankedByKey{}
			d := assign.NewDispatcher(peers, fixedView{view}, placer, zap.NewNop())
			granted, retryAfter := d.Admit(t.Context(), view.Servers["s"][0])
			is.True(!granted)
			is.Equal(retryAfter, 500*time.Millisecond)
			d.Place(t.Context(), "s", place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 10}})
			is.Equal(peers.asked, []string{c.counter, c.placer})
		})
	}
}
