package place_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

// linkedSpec describes engines that transfer cached tokens, 128 KB each, over links of 550 Gbit/s.
var linkedSpec = site.Engine{ //nolint:gochecknoglobals // a constant in all but syntax
	Slots: 128, CacheTokens: 260_000, TokenBytes: 131_072, LinkRate: 68.75e9,
}

func newLinkedEngines(domains ...string) *place.Engines {
	e := place.NewEngines(regions)
	e.SetServers(newServers(domains...), linkedSpec)
	return e
}

// serve places a request and has its engine prefill the prompt and answer.
func serve(t *testing.T, e *place.Engines, now time.Time, q place.Query) place.Placement {
	t.Helper()
	p, found := e.Place(now, q)
	if !found {
		t.Fatal("no engine accepts the request")
	}
	e.MarkSent(now, p.ID)
	e.MarkAnswering(now, p.ID, 0)
	e.End(now, p.ID, place.ResultServed)
	return p
}

// excluding returns the query with the given servers excluded.
func excluding(q place.Query, ids ...string) place.Query {
	q.Exclude = ids
	return q
}

// allExcept returns the IDs of three engines except one.
func allExcept(id string) []string {
	return slices.DeleteFunc([]string{"s0", "s1", "s2"}, func(other string) bool { return other == id })
}

// Guards against a session's cached parts being prefilled again after it moves. The session's
// engine has 60,000 prompt tokens queued, so the session moves to the idle engine, which fetches
// the parts.
func TestPartsAreFetchedFromABusyEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newLinkedEngines("a1", "a1")
	first := serve(t, e, now, newReviewQuery(1))
	large := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 60_000}}
	p, _ := e.Place(now, excluding(large, allExcept(first.Server.ID)...))
	e.MarkSent(now, p.ID)
	second, _ := e.Place(now, newReviewQuery(1))
	is.True(second.Server.ID != first.Server.ID)
	is.Equal(second.FetchFrom, first.Server.ID)
	is.True(second.Wait < 200*time.Millisecond) // 2,900 tokens prefilled, 6,300 fetched

	unlinked := newEngines(2)
	first = serve(t, unlinked, now, newReviewQuery(1))
	second, _ = unlinked.Place(now, excluding(newReviewQuery(1), first.Server.ID))
	is.Equal(second.FetchFrom, "")
}

// Guards against fetching parts that the source has not prefilled yet or never will. The fetch is
// useless, since the prompt has to be prefilled anyway.
func TestOnlyPrefilledPartsAreFetched(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newLinkedEngines("a1", "a1", "a1")
	first, _ := e.Place(now, newReviewQuery(1))
	second, _ := e.Place(now, excluding(newReviewQuery(1), first.Server.ID))
	is.Equal(second.FetchFrom, "")
	e.End(now, second.ID, place.ResultCanceled)
	e.MarkSent(now, first.ID)
	e.MarkAnswering(now, first.ID, 0)
	third, _ := e.Place(now, excluding(newReviewQuery(1), first.Server.ID))
	is.Equal(third.FetchFrom, "") // an excluded engine, where the request was already sent, is not a source
	e.End(now, third.ID, place.ResultCanceled)
	large := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 60_000}}
	for range 3 {
		p, _ := e.Place(now, excluding(large, allExcept(first.Server.ID)...))
		e.MarkSent(now, p.ID)
	}
	fourth, _ := e.Place(now, newReviewQuery(1))
	is.True(fourth.Server.ID != first.Server.ID)
	is.Equal(fourth.FetchFrom, first.Server.ID)
}

// Guards against parts that count as cached because a request was placed at the engine, although
// the request was abandoned before it was sent.
func TestUnsentRequestLeavesNoCachedParts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newLinkedEngines("a1")
	first, _ := e.Place(now, newReviewQuery(1))
	e.End(now, first.ID, place.ResultCanceled)
	again, _ := e.Place(now, newReviewQuery(1))
	is.Equal(again.Wait, first.Wait)
	e.MarkSent(now, again.ID)
	e.MarkAnswering(now, again.ID, 0)
	e.End(now, again.ID, place.ResultServed)
	third, _ := e.Place(now, newReviewQuery(1))
	is.True(third.Wait < first.Wait)
	e.End(now, third.ID, place.ResultCanceled) // parts that were prefilled before stay cached
	fourth, _ := e.Place(now, newReviewQuery(1))
	is.Equal(fourth.Wait, third.Wait)
}

// Guards against prompt parts of a request with restricted regions being fetched from an engine
// outside them.
func TestPartsAreFetchedOnlyFromAllowedRegions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newLinkedEngines("b1", "a1", "a2")
	first := serve(t, e, now, excluding(newReviewQuery(1), "s1", "s2"))
	is.Equal(first.Server.ID, "s0")
	unrestricted, _ := e.Place(now, excluding(newReviewQuery(1), "s1"))
	e.End(now, unrestricted.ID, place.ResultCanceled)
	q := newReviewQuery(1)
	q.Constraints.Residency = site.NewResidency([]string{"a"})
	restricted, found := e.Place(now, q)
	is.True(found)
	is.Equal(restricted.FetchFrom, "")
}

// Guards against fetching that brings no gain in a burst with a hot key (see simulateBurst): far
// fewer tokens must be recomputed than without it, and no more requests may be late.
func TestFetchingReducesRecomputationInABurst(t *testing.T) {
	is := is.New(t)
	withoutFetch := simulateBurst(t, site.Engine{Slots: 128, CacheTokens: 260_000}, placeByCost(t))
	withFetch := simulateBurst(t, linkedSpec, placeByCost(t))
	t.Logf("recomputed tokens: without fetching %d (late requests %d), with fetching %d (late requests %d)",
		withoutFetch.recomputed, withoutFetch.late, withFetch.recomputed, withFetch.late)
	is.True(withFetch.recomputed*3 < withoutFetch.recomputed*2)
	is.True(withFetch.late <= withoutFetch.late)
}
