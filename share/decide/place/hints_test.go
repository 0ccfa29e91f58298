package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/place"
)

// placeAll places reviews of some sessions that run side by side, and returns their engines.
func placeAll(e *place.Engines, hints []*place.Hints, now time.Time, sessions int) map[int]string {
	engines := map[int]string{}
	for i := range sessions {
		q := review(i)
		p, _ := e.Place(now, q)
		hints[i%len(hints)].Note(now, q.Generation.Parts, p.Server.ID)
		engines[i] = p.Server.ID
	}
	return engines
}

// countKept places the sessions once more, one after the other, and counts those that
// return to their engine.
func countKept(e *place.Engines, now time.Time, before map[int]string) int {
	kept := 0
	for session, engine := range before {
		p, _ := e.Place(now, review(session))
		if p.Server.ID == engine {
			kept++
		}
		e.End(now, p.ID, place.ResultServed)
	}
	return kept
}

// The ingress that places is stopped, and another one goes on that has seen only what
// its own callers asked for. Without a word from the others it would spread all
// sessions anew: 3,800 tokens of each are read once more, a quarter of what a review is worth.
func TestNewPlacerLearnsWhereSessionsAre(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	hints := []*place.Hints{}
	for range 6 {
		hints = append(hints, place.NewHints())
	}
	before := placeAll(newEngines(18), hints, now, 36)
	now = now.Add(time.Second)
	taught := newEngines(18)
	for _, t := range hints {
		taught.Learn(t.Recent(now))
	}
	is.Equal(countKept(taught, now, before), 36)
	is.True(countKept(newEngines(18), now, before) < 12)
}

// An ingress tells what it saw a while ago of a session that has moved since. The
// session's present engine stays the one that is known, and nothing that is too old is told.
func TestOldHintsChangeNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	hints := place.NewHints()
	hints.Note(now, review(1).Generation.Parts, "s0")
	is.Equal(len(hints.Recent(now.Add(time.Second))), 2)
	is.Equal(len(hints.Recent(now.Add(time.Minute))), 0)

	e := newEngines(3)
	later := place.NewHints()
	later.Note(now.Add(time.Second), review(1).Generation.Parts, "s1")
	e.Learn(later.Recent(now.Add(time.Second)))
	e.Learn([]place.CacheHint{{Part: "session1", EngineID: "gone", At: now.Add(time.Second)}})
	p, _ := e.Place(now.Add(2*time.Second), review(1))
	is.Equal(p.Server.ID, "s1")
}
