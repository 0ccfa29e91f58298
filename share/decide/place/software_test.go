package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

// newMixedServers returns three servers of the service engines, the second of which runs version v2 and
// the others v1.
func newMixedServers() []site.Server {
	servers := newServers("a1", "a1", "b1")
	for i := range servers {
		servers[i].Service, servers[i].Version = "engines", "v1"
	}
	servers[1].Version = "v2"
	return servers
}

// Guards against a request that continues a stream being placed at an engine or a plain server of other
// software, however busy or far away those of its own are.
func TestOnlyServersOfTheRequiredSoftwareAreChosen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e, c := place.NewEngines(regions), place.NewChooser(regions)
	e.SetServers(newMixedServers(), linkedSpec)
	c.SetServers(newMixedServers())
	q := newReviewQuery(1)
	q.Constraints.Software = &site.Software{Service: "engines", Version: "v1"}
	q.Exclude = []string{"s0"}
	for range 20 {
		p, found := e.Place(now, q)
		is.True(found)
		is.Equal(p.Server.ID, "s2")
	}
	s, found := c.Pick(now, q)
	is.True(found)
	is.Equal(s.ID, "s2")
	q.Exclude = []string{"s0", "s2"}
	_, found = e.Place(now, q)
	is.True(!found)
	_, found = c.Pick(now, q)
	is.True(!found)
	is.Equal(len(e.ListAllowed(q)), 0)
}

// Guards against an engine fetching cached prompt parts that another software version has written.
func TestNothingIsFetchedFromOtherSoftware(t *testing.T) {
	for version, want := range map[string]string{"v1": "s1", "v2": ""} {
		is := is.New(t)
		now := time.Unix(0, 0)
		e := place.NewEngines(regions)
		servers := newMixedServers()
		servers[1].Version = version
		e.SetServers(servers, linkedSpec)
		serve(t, e, now, excluding(newReviewQuery(1), allExcept("s1")...))
		large := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 60_000}}
		p, _ := e.Place(now, excluding(large, allExcept("s1")...))
		e.MarkSent(now, p.ID)
		p, found := e.Place(now, excluding(newReviewQuery(1), "s2"))
		is.True(found)
		is.Equal(p.Server.ID, "s0")
		is.Equal(p.FetchFrom, want)
	}
}

// Guards against prompt parts being expected in an engine that registered again, without stating its
// start, with other software.
func TestUpdatedEngineStartsWithoutHistory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := place.NewEngines(regions)
	servers := newMixedServers()
	e.SetServers(servers, linkedSpec)
	serve(t, e, now, excluding(newReviewQuery(1), "s1", "s2"))
	before, _ := e.Place(now, excluding(newReviewQuery(1), "s1", "s2"))
	servers[0].Version = "v3"
	e.SetServers(servers, linkedSpec)
	after, _ := e.Place(now, excluding(newReviewQuery(1), "s1", "s2"))
	is.True(after.Wait > before.Wait)
}
