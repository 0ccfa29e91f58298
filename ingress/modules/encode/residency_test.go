package encode_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/modules/encode"
	"verbenaroad.example/share/models/site"
)

// A residency that allows no region must not be decoded as one that allows all: both have an empty
// list of regions.
func TestResidencyRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, r := range []site.Residency{
		{}, {Restricted: true, Regions: []string{"north", "south"}}, site.NewResidency([]string{"north"}, []string{"south"}),
	} {
		got := encode.ReadResidency(encode.Residency(r))
		is.Equal(got.Restricted, r.Restricted)
		is.Equal(got.Allows("north"), r.Allows("north"))
		is.Equal(got.Allows("west"), r.Allows("west"))
	}
}
