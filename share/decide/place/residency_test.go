package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

// Guards against a request with restricted regions being served outside them because servers there
// are closer or idle.
func TestServersOutsideTheAllowedRegionsAreNotChosen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	onlyB := site.NewResidency([]string{"b"})
	c := newChooser("a1", "a2", "b1")
	for range 20 {
		s, found := c.Pick(now, place.Query{Domain: "a1", Region: "a", Constraints: site.Constraints{Residency: onlyB}})
		is.True(found)
		is.Equal(s.ID, "s2")
		c.Start(now, s.ID)
	}
	_, found := c.Pick(now, place.Query{Domain: "a1", Region: "a", Constraints: site.Constraints{Residency: onlyB}, Exclude: []string{"s2"}})
	is.True(!found) // not placed at all rather than outside its region

	e := newEngines(9)
	q := newReviewQuery(1)
	q.Constraints.Residency = onlyB
	for range 20 {
		p, placed := e.Place(now, q)
		is.True(placed)
		is.Equal(p.Server.Domain, "b1")
	}
	q.Constraints.Residency = site.NewResidency([]string{"elsewhere"})
	_, placed := e.Place(now, q)
	is.True(!placed)
}
