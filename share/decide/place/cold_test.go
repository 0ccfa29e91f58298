package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

const coldLimit = 9

// newColdEngines returns n engines; the first cold of them stay cold for three seconds.
func newColdEngines(now time.Time, n, cold int) *place.Engines {
	e := place.NewEngines(regions)
	domains := make([]string, n)
	for i := range domains {
		domains[i] = "a1"
	}
	servers := newServers(domains...)
	for i := range cold {
		servers[i].ColdUntil = now.Add(3 * time.Second)
	}
	e.SetServers(servers, site.Engine{Slots: 128, CacheTokens: 260_000})
	e.SetColdLimit(coldLimit, true)
	return e
}

// Guards against engines that crash again as soon as they have restarted: all three engines of a
// service return cold during a burst of sixty requests per second, which are sent together
// after they have waited for their stages.
func TestBurstAtColdEnginesKeepsTheirLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newColdEngines(now, 3, 3)
	counts := map[string]int{}
	placed := []place.Placement{}
	refused := 0
	for i := range 60 {
		now = now.Add(time.Second / 60)
		p, found := e.Place(now, newReviewQuery(i))
		if !found {
			refused++
			continue
		}
		counts[p.Server.ID]++
		placed = append(placed, p)
	}
	for _, n := range counts {
		is.True(n <= coldLimit)
	}
	is.Equal(len(placed), 3*coldLimit) // the limit is used in full
	is.Equal(refused, 60-3*coldLimit)
	for _, p := range placed {
		e.MarkSent(now, p.ID)
	}
	_, found := e.Place(now.Add(900*time.Millisecond), newReviewQuery(1))
	is.True(!found) // a sent request counts for one second
	_, found = e.Place(now.Add(1100*time.Millisecond), newReviewQuery(1))
	is.True(found)
	for _, p := range placed[1:] {
		e.End(now, p.ID, place.ResultCanceled)
	}
}

// Guards against requests that are abandoned before they are sent and count against the limit of
// a cold engine forever.
func TestUnsentRequestReleasesItsReservationAtAColdEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newColdEngines(now, 1, 1)
	for range coldLimit {
		p, found := e.Place(now, newReviewQuery(1))
		is.True(found)
		defer e.End(now, p.ID, place.ResultCanceled)
	}
	_, found := e.Place(now, newReviewQuery(1))
	is.True(!found)
	e.End(now, 1, place.ResultCanceled)
	_, found = e.Place(now, newReviewQuery(1))
	is.True(found)
}

// Guards against a cold engine receiving more than its limit because an ingress that cannot reach
// the placer sends requests there in addition to those of the placer.
func TestFallbackAvoidsColdEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newColdEngines(now, 3, 2)
	q := newReviewQuery(1)
	q.IsFallback = true
	for range 10 {
		p, found := e.Place(now, q)
		is.True(found)
		is.Equal(p.Server.ID, "s2")
	}
	p, found := e.Place(now.Add(3*time.Second), q) // all engines are warm by now
	is.True(found)
	is.True(p.Server.ID != "s2")
}

// Guards against an ingress sending more than its share of requests to a cold plain server.
func TestColdServerReceivesNoMoreThanTheShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := place.NewChooser(regions)
	servers := newServers("a1", "b1")
	servers[0].ColdUntil = now.Add(3 * time.Second)
	c.SetServers(servers)
	q := place.Query{Domain: "a1", Region: "a", ColdLimit: func(*site.Server) int { return 2 }}
	chosen := ""
	for range 4 {
		s, found := c.Pick(now, q)
		is.True(found)
		c.Start(now, s.ID)
		chosen += fmt.Sprint(s.ID, " ")
	}
	is.Equal(chosen, "s0 s0 s1 s1 ")
	q.ColdLimit = func(*site.Server) int { return 0 }
	s, _ := c.Pick(now.Add(2*time.Second), q)
	is.Equal(s.ID, "s1")
}
