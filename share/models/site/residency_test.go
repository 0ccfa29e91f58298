package site_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

// Guards against serving a request in a region that only one of its team and its route allows.
func TestResidencyIsIntersectionOfRouteAndTeam(t *testing.T) {
	is := is.New(t)
	unrestricted := site.NewResidency(nil, nil)
	is.True(unrestricted.Allows("north"))
	is.True(unrestricted.Allows("")) // a failure domain without a known region

	team := site.NewResidency(nil, []string{"north"})
	is.True(team.Allows("north"))
	is.True(!team.Allows("south"))
	is.True(!team.Allows(""))

	both := site.NewResidency([]string{"north", "south"}, []string{"south", "west"})
	is.True(both.Allows("south"))
	is.True(!both.Allows("north"))
	is.True(!both.Allows("west"))

	disjoint := site.NewResidency([]string{"north"}, []string{"south"})
	is.True(!disjoint.Allows("north"))
	is.True(!disjoint.Allows("south"))
}

// Guards against requests that modify the configuration's lists of regions.
func TestNewResidencyDoesNotModifyItsArguments(t *testing.T) {
	is := is.New(t)
	route := []string{"north", "south"}
	site.NewResidency(route, []string{"south"})
	is.Equal(route, []string{"north", "south"})
}
