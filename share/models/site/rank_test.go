package site_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

func TestRankComparesTeamsFirst(t *testing.T) {
	is := is.New(t)
	first, second := 0, 1
	is.True(site.NewRank(&first, 9) < site.NewRank(&second, 0))
	is.True(site.NewRank(&second, 0) < site.NewRank(&second, 1)) // equal team priorities: the route decides
	is.True(site.NewRank(nil, 0) < site.NewRank(nil, 2))
	is.Equal(site.NewRank(nil, 1), site.NewRank(&second, 1))
	is.Equal(site.NewRank(nil, -3), site.Rank(0)) // a valid configuration has no negative priority
	is.True(site.NewRank(&first, 99) < site.NewRank(&second, 0))
}
