package access_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/models/site"
)

func newTable() *access.Table {
	urgent := 0
	return access.NewTable(&site.Config{
		Version: 3,
		Routes: []site.Route{
			{Name: "all", Host: "kits.example", Prefix: "/", Priority: 4},
			{Name: "orders", Host: "kits.example", Prefix: "/orders/", Priority: 2},
			{Name: "spruce", Host: "kits.example", Prefix: "/orders/spruce/", Priority: 2},
			{Name: "open", Host: "open.example", Prefix: "/", Public: true},
		},
		Teams: []site.Team{
			{Name: "workshop", Keys: []string{"k1", "k2"}},
			{Name: "press", Keys: []string{"k3"}, Priority: &urgent},
		},
	})
}

// Guards against a request being matched to the wrong route or team, ranked wrongly, or
// admitted without a valid key on a route that requires one.
func TestCheckFindsRouteTeamAndRank(t *testing.T) {
	for _, c := range []struct {
		name, host, path, key string
		verdict               access.Verdict
		route, team           string
		rank                  site.Rank
	}{
		{"longest prefix", "kits.example", "/orders/spruce/1", "k1", access.Granted, "spruce", "workshop", site.NewRank(nil, 2)},
		{"prefix must match up to its final slash", "kits.example", "/orders/spruc", "k2", access.Granted, "orders", "workshop", site.NewRank(nil, 2)},
		{"host with port and capitals", "KITS.example:8080", "/x", "k1", access.Granted, "all", "workshop", site.NewRank(nil, 4)},
		{"team priority outranks route priority", "kits.example", "/orders/1", "k3", access.Granted, "orders", "press", site.NewRank(new(int), 2)},
		{"unknown key", "kits.example", "/x", "k9", access.UnknownKey, "all", "", site.NewRank(nil, 4)},
		{"no key", "kits.example", "/x", "", access.UnknownKey, "all", "", site.NewRank(nil, 4)},
		{"public", "open.example", "/x", "k9", access.Granted, "open", "", site.NewRank(nil, 0)},
		{"unknown host", "other.example", "/x", "k1", access.NoRoute, "", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newTable().Check(c.host, c.path, c.key)
			is.Equal(d.Verdict, c.verdict)
			is.Equal(d.Team, c.team)
			is.Equal(d.Rank, c.rank)
			if c.route != "" {
				is.Equal(d.Route.Name, c.route)
			}
		})
	}
}

// Guards against traffic being split in other proportions than the weights of the services.
func TestPickServiceByWeight(t *testing.T) {
	is := is.New(t)
	r := &site.Route{Backends: []site.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	is.Equal(access.PickService(r, 0), "a")
	is.Equal(access.PickService(r, 0.899), "a")
	is.Equal(access.PickService(r, 0.9), "b")
	is.Equal(access.PickService(r, 0.999), "b")
	is.Equal(access.PickService(&site.Route{}, 0.5), "")
}

// Guards against a request being served in a region that the operator has disallowed since
// the request was checked.
func TestResidencyFollowsTheNewestConfiguration(t *testing.T) {
	is := is.New(t)
	newVersion := func(version uint64, route, team []string) *access.Table {
		return access.NewTable(&site.Config{
			Version: version,
			Routes:  []site.Route{{Name: "orders", Host: "h", Prefix: "/", AllowedRegions: route}},
			Teams:   []site.Team{{Name: "workshop", Keys: []string{"k"}, AllowedRegions: team}},
		})
	}
	before := newVersion(1, []string{"north", "south"}, nil)
	d := before.Check("h", "/x", "k")
	is.True(d.Residency.Allows("north"))
	after := newVersion(2, []string{"north", "south"}, []string{"south"})
	is.True(!after.FindResidency(d).Allows("north"))
	is.True(after.FindResidency(d).Allows("south"))
	gone := access.NewTable(&site.Config{Version: 3})
	is.True(!gone.FindResidency(d).Allows("west")) // falls back to the residency from the check
	is.True(gone.FindResidency(d).Allows("north"))
}
