package mesh_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

// Guards against a region's queue that is held by an ingress of another region, or by no ingress
// at all if the region has none left.
func TestRankInReturnsIngressesOfTheRegion(t *testing.T) {
	is := is.New(t)
	self := site.Ingress{Name: "n-1", Domain: "n1", Capacity: 1}
	m := mesh.NewMesh(mesh.Options{
		Self: self, Regions: map[string]string{"n1": "north", "s1": "south", "w1": "west"},
		IsLeaving: func() bool { return false }, Log: zap.NewNop(),
	})
	m.SetView(&state.View{Ingresses: []site.Ingress{
		self, {Name: "s-1", Domain: "s1", Capacity: 1}, {Name: "s-2", Domain: "s1", Capacity: 1},
	}})
	is.Equal(m.RankIn("north", "q"), []string{"n-1"})
	south := m.RankIn("south", "q")
	is.Equal(len(south), 2)
	is.True(south[0] != "n-1" && south[1] != "n-1")
	is.Equal(m.RankIn("west", "q"), m.Rank("q"))
	is.Equal(m.RankIn("", "q"), m.Rank("q"))
}
