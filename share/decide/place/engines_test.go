package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/rhash"
)

// spreadDomains returns the failure domains of n engines, which are spread evenly over three.
func spreadDomains(n int) []string {
	domains := []string{}
	for i := range n {
		domains = append(domains, []string{"a1", "a2", "b1"}[i%3])
	}
	return domains
}

func newEngines(n int) *place.Engines {
	e := place.NewEngines(regions)
	e.SetServers(newServers(spreadDomains(n)...), site.Engine{Slots: 128, CacheTokens: 260_000})
	return e
}

// newReviewQuery returns the query for a long prompt: a document that sessions share, a part that
// only this session uses, and 2,900 more tokens.
func newReviewQuery(session int) place.Query {
	return place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{
		Parts: []site.PromptPart{
			{ID: fmt.Sprintf("doc%d", session%4), Tokens: 2500},
			{ID: fmt.Sprintf("session%d", session), Tokens: 3800},
		},
		PromptTokens: 9200,
	}}
}

// Guards against a session's requests moving between engines, so that its prompt parts are
// prefilled again.
func TestSessionReturnsToItsEngine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(18)
	first, found := e.Place(now, newReviewQuery(1))
	is.True(found)
	e.MarkSent(now, first.ID)
	e.MarkAnswering(now.Add(300*time.Millisecond), first.ID, 0)
	e.End(now.Add(2*time.Second), first.ID, place.ResultServed)
	again, _ := e.Place(now.Add(3*time.Second), newReviewQuery(1))
	is.Equal(again.Server.ID, first.Server.ID)
	is.True(again.Wait < first.Wait)
}

// Guards against queues of seconds at some engines while others are idle, as with placement by a
// hash of the session. The load is a burst with a hot key: see simulateBurst.
func TestBurstIsSpreadOverTheEngines(t *testing.T) {
	is := is.New(t)
	spec := site.Engine{Slots: 128, CacheTokens: 260_000}
	placed := simulateBurst(t, spec, placeByCost(t))
	names := []string{}
	for i := range 18 {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	lastID := uint64(0)
	hashed := simulateBurst(t, spec, func(_ *place.Engines, _ time.Time, q place.Query) place.Placement {
		lastID++
		return place.Placement{ID: lastID, Server: site.Server{ID: rhash.Pick(q.Generation.Parts[1].ID, names, 1)[0]}}
	})
	t.Logf("late requests: placed %d of %d, hashed %d; prefilled tokens: placed %d, hashed %d",
		placed.late, placed.requests, hashed.late, placed.prefilled, hashed.prefilled)
	is.True(placed.late*4 < hashed.late)
	is.True(placed.late*20 < placed.requests)
	is.True(placed.prefilled*10 < hashed.prefilled*13) // not by prefilling every part at every engine
}

// placeByCost returns a function that chooses an engine with Engines.Place.
func placeByCost(t *testing.T) func(*place.Engines, time.Time, place.Query) place.Placement {
	return func(e *place.Engines, now time.Time, q place.Query) place.Placement {
		p, found := e.Place(now, q)
		if !found {
			t.Fatal("no engine accepts the request")
		}
		return p
	}
}

// burstResult counts requests, those of them whose prompt was prefilled too late, and prefilled
// tokens.
type burstResult struct {
	requests, late, prefilled int
	// recomputed counts the tokens of parts that another engine had prefilled before.
	recomputed int
}

// simulateBurst sends 30 requests per second for six seconds, two and a half times the usual rate.
// They come from about a hundred sessions over four documents, and more than a quarter of them
// belong to one session. Each of the 18 engines prefills one prompt after another at 32 tokens per
// millisecond and keeps every part. This is a burst with a hot key as in both deployments.
func simulateBurst(t *testing.T, spec site.Engine, choose func(*place.Engines, time.Time, place.Query) place.Placement) burstResult {
	t.Helper()
	const hotShare = 0.28
	const rate, tokensPerMs, objective = 30, 32, 500 * time.Millisecond
	source := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // the load must be reproducible
	e := newEngines(18)
	e.SetServers(newServers(spreadDomains(18)...), spec)
	type prefill struct {
		id   uint64
		ends time.Time
	}
	busyUntil := map[string]time.Time{}
	cached := map[string]bool{}
	running := []prefill{}
	b := burstResult{}
	now := time.Unix(0, 0)
	for range rate * 6 {
		now = now.Add(time.Duration(source.ExpFloat64() * float64(time.Second) / rate))
		for len(running) > 0 && !running[0].ends.After(now) {
			e.MarkAnswering(running[0].ends, running[0].id, 0)
			e.End(running[0].ends, running[0].id, place.ResultServed)
			running = running[1:]
		}
		session := source.IntN(102)
		if source.Float64() < hotShare {
			session = 0
		}
		q := newReviewQuery(session)
		p := choose(e, now, q)
		e.MarkSent(now, p.ID)
		tokens := q.Generation.PromptTokens
		for _, part := range q.Generation.Parts {
			if key := p.Server.ID + part.ID; cached[key] || p.FetchFrom != "" && cached[p.FetchFrom+part.ID] {
				tokens -= part.Tokens
				cached[key] = true
			} else {
				cached[key] = true
				if cached[part.ID] {
					b.recomputed += part.Tokens
				}
				cached[part.ID] = true
			}
		}
		begins := busyUntil[p.Server.ID]
		if begins.Before(now) {
			begins = now
		}
		ends := begins.Add(time.Duration(tokens/tokensPerMs) * time.Millisecond)
		busyUntil[p.Server.ID] = ends
		running = append(running, prefill{id: p.ID, ends: ends})
		b.requests++
		b.prefilled += tokens
		if ends.Sub(now) > objective {
			b.late++
		}
	}
	return b
}

// Guards against sessions returning to a crashed engine, which refuses connections, before its
// backoff has passed.
func TestCrashedEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(3)
	first, _ := e.Place(now, newReviewQuery(1))
	e.MarkSent(now, first.ID)
	e.End(now, first.ID, place.ResultUnreachable)
	second, _ := e.Place(now, newReviewQuery(1))
	is.True(second.Server.ID != first.Server.ID)
	q := newReviewQuery(1)
	q.Exclude = []string{"s0", "s1", "s2"}
	_, found := e.Place(now, q)
	is.True(!found)
}

// Guards against a request being placed at an engine whose memory is full, where it would preempt
// a running stream, only because that engine has the parts of the prompt cached.
func TestEngineWithFullMemoryIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(2)
	q := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{
		Parts: []site.PromptPart{{ID: "doc", Tokens: 50_000}}, PromptTokens: 100_000,
	}}
	counts := map[string]int{}
	for range 4 {
		p, _ := e.Place(now, q)
		e.MarkSent(now, p.ID)
		e.MarkAnswering(now, p.ID, 0)
		counts[p.Server.ID]++
	}
	is.Equal(counts["s0"], 2)
	is.Equal(counts["s1"], 2)
}

// Guards against staged requests being distributed by the engines alone. Both failure domains
// have the same number of engines, but one has only half the pool servers, so it must get about
// half as many staged requests as the other.
func TestStagedRequestsFollowThePoolServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := place.NewEngines(map[string]string{"a1": "a", "a2": "a"})
	e.SetServers(newServers("a1", "a2", "a1", "a2", "a1", "a2"), site.Engine{Slots: 128, CacheTokens: 260_000})
	e.SetPoolServers(map[string]int{"a1": 6, "a2": 3})
	counts := map[string]int{}
	for i := range 60 {
		q := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{
			Parts: []site.PromptPart{{ID: fmt.Sprint(i), Tokens: 10}}, PromptTokens: 100, Staged: true,
		}}
		p, _ := e.Place(now, q)
		counts[p.Server.Domain]++
	}
	is.True(counts["a2"] >= 15 && counts["a2"] <= 25)
}

// Guards against a reservation being released more than once if reports about a request arrive
// after its end, as when the ingress that sent the request is lost.
func TestReservationIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(1)
	p, _ := e.Place(now, newReviewQuery(1))
	e.MarkSent(now, p.ID)
	e.End(now, p.ID, place.ResultCanceled)
	e.End(now, p.ID, place.ResultServed)
	e.MarkAnswering(now, p.ID, 0)
	q, _ := e.Place(now, newReviewQuery(1))
	is.True(q.Wait <= p.Wait)
}

// Guards against an engine that hangs while its connections stay open and keeps attracting
// requests because it appears to be idle. Callers abandon their requests after two seconds
// without a first event; the next requests must be placed elsewhere.
func TestStalledEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(18)
	first, _ := e.Place(now, newReviewQuery(1))
	e.MarkSent(now, first.ID)
	e.End(now.Add(2*time.Second), first.ID, place.ResultCanceled)
	again, _ := e.Place(now.Add(2*time.Second), newReviewQuery(2))
	is.True(again.Server.ID != first.Server.ID)

	// A request that is abandoned early does not count against the engine.
	e = newEngines(18)
	first, _ = e.Place(now, newReviewQuery(1))
	e.MarkSent(now, first.ID)
	e.End(now.Add(100*time.Millisecond), first.ID, place.ResultCanceled)
	again, _ = e.Place(now.Add(2*time.Second), newReviewQuery(1))
	is.Equal(again.Server.ID, first.Server.ID)
}

// Guards against placing prompts at an engine whose machine is busy at the moment, and against leaving
// it alone after that.
func TestStatedPaceOfEngineCountsWhileFresh(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(2)
	q := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{PromptTokens: 6000}}
	first, _ := e.Place(now, q)
	e.MarkSent(now, first.ID)
	e.MarkAnswering(now.Add(200*time.Millisecond), first.ID, 2.5)
	e.End(now.Add(200*time.Millisecond), first.ID, place.ResultServed)
	second, _ := e.Place(now.Add(250*time.Millisecond), q)
	is.True(second.Server.ID != first.Server.ID)
	e.End(now.Add(250*time.Millisecond), second.ID, place.ResultCanceled)
	third, _ := e.Place(now.Add(3*time.Second), q)
	is.Equal(third.Server.ID, first.Server.ID)
}

// Guards against an engine that is never tried again, because it failed for a while, as long as the others
// have room: its failure rate changes by its own answers only.
func TestEngineThatFailedIsTriedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	e := newEngines(3)
	session := 0
	serve := func(result place.Result, exclude ...string) string {
		session++
		q := newReviewQuery(session)
		q.Exclude = exclude
		placed, found := e.Place(now, q)
		is.True(found)
		e.MarkSent(now, placed.ID)
		if result == place.ResultServed {
			e.MarkAnswering(now.Add(300*time.Millisecond), placed.ID, 0)
		}
		now = now.Add(time.Second)
		e.End(now, placed.ID, result)
		return placed.Server.ID
	}
	for range 8 {
		serve(place.ResultFailed, "s1", "s2")
	}
	tried := false
	for end := now.Add(time.Minute); now.Before(end) && !tried; {
		tried = serve(place.ResultServed) == "s0"
	}
	is.True(tried)
}
