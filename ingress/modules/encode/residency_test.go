package encode_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/modules/encode"
	"verbenaroad.example/share/models/site"
)

// Guards against a request that no region may serve being taken for one that all may.
func TestResidencyCrossesALink(t *testing.T) {
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
