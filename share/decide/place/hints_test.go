package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
)

// placeAll places one request of each session at the same time and returns their engines. The
// requests are distributed over the ingresses, which are represented by their hints.
func placeAll(e *place.Engines, hints []*place.Hints, now time.Time, sessions int) map[int]string {
	engines := map[int]string{}
	for i := range sessions {
		q := newReviewQuery(i)
		p, _ := e.Place(now, q)
		hints[i%len(hints)].Record(now, q.Generation.Parts, p.Server.ID)
		engines[i] = p.Server.ID
	}
	return engines
}

// countReturning places one more request of each session, one after another, and counts the
// sessions that return to their engine.
func countReturning(e *place.Engines, now time.Time, before map[int]string) int {
	returning := 0
	for session, engine := range before {
		p, _ := e.Place(now, newReviewQuery(session))
		if p.Server.ID == engine {
			returning++
		}
		e.End(now, p.ID, place.ResultServed)
	}
	return returning
}

// Guards against a new placer distributing all sessions anew after the old one has stopped. It has
// observed only requests of its own callers. Without the hints of the other ingresses, 3,800
// tokens of each session are prefilled again, a quarter of what a request is worth.
func TestNewPlacerKeepsSessionsAtTheirEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	hints := []*place.Hints{}
	for range 6 {
		hints = append(hints, place.NewHints())
	}
	before := placeAll(newEngines(18), hints, now, 36)
	now = now.Add(time.Second)
	informed := newEngines(18)
	for _, h := range hints {
		informed.MergeHints(h.Recent(now))
	}
	is.Equal(countReturning(informed, now, before), 36)
	is.True(countReturning(newEngines(18), now, before) < 12)
}

// Guards against an old hint moving a session back to an engine that it has left since, and
// against hints being reported after the reuse window.
func TestOldHintsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	hints := place.NewHints()
	hints.Record(now, newReviewQuery(1).Generation.Parts, "s0")
	is.Equal(len(hints.Recent(now.Add(time.Second))), 2)
	is.Equal(len(hints.Recent(now.Add(time.Minute))), 0)

	e := newEngines(3)
	later := place.NewHints()
	later.Record(now.Add(time.Second), newReviewQuery(1).Generation.Parts, "s1")
	e.MergeHints(later.Recent(now.Add(time.Second)))
	e.MergeHints([]place.CacheHint{{Part: "session1", EngineID: "gone", LastUsed: now.Add(time.Second)}})
	p, _ := e.Place(now.Add(2*time.Second), newReviewQuery(1))
	is.Equal(p.Server.ID, "s1")
}
