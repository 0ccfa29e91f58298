package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/models/site"
)

// Sighting says that an engine was sent a prompt part, and so holds it.
type Sighting struct {
	Part     string
	EngineID string
	// At is when the part was last sent there.
	At time.Time
}

const (
	// maxSightings bounds what is told at once, 20 KB. An ingress of the deployments of today
	// has 300 of them in sharedWindow at a usual load, one at the size designed for 200.
	maxSightings = 512
	// maxTrail is how many sightings a trail may hold before the old ones are dropped,
	// forgetEvery how often that is done at most: each time all of them are looked at.
	maxTrail    = 4 * maxSightings
	forgetEvery = time.Second
)

// Trail remembers which engines the prompt parts of one ingress's requests were sent
// to; its caller guards it.
//
// Guards against prompt parts that are all read again when another ingress begins to
// place: it has seen no request, takes no part for held anywhere and spreads them
// anew. What each ingress has seen of its own requests adds up to what the one before knew.
type Trail struct {
	// sightings are by part and engine: a document that many sessions share is held by
	// many engines, and a session's part counts as held only behind it.
	sightings map[spot]Sighting
	// forgotAt is when the old ones were last dropped.
	forgotAt time.Time
}

type spot struct{ part, engineID string }

// NewTrail returns an empty trail.
func NewTrail() *Trail { return &Trail{sightings: map[spot]Sighting{}} }

// Note takes the parts of a request that goes to an engine.
func (t *Trail) Note(now time.Time, parts []site.PromptPart, engineID string) {
	for _, p := range parts {
		t.sightings[spot{part: p.ID, engineID: engineID}] = Sighting{Part: p.ID, EngineID: engineID, At: now}
	}
	if len(t.sightings) > maxTrail && now.Sub(t.forgotAt) >= forgetEvery {
		t.forget(now)
	}
}

func (t *Trail) forget(now time.Time) {
	t.forgotAt = now
	for at, s := range t.sightings {
		if now.Sub(s.At) > sharedWindow {
			delete(t.sightings, at)
		}
	}
}

// Recent returns the sightings that are still worth looking for, the youngest first.
func (t *Trail) Recent(now time.Time) []Sighting {
	t.forget(now)
	list := make([]Sighting, 0, len(t.sightings))
	for _, s := range t.sightings {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Sighting) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part, b.Part), cmp.Compare(a.EngineID, b.EngineID))
	})
	return list[:min(len(list), maxSightings)]
}

// Learn takes sightings of other ingresses; older ones than those known change nothing.
func (e *Engines) Learn(sightings []Sighting) {
	for _, s := range sightings {
		c := e.engines[s.EngineID]
		if c == nil {
			continue
		}
		if c.parts[s.Part].Before(s.At) {
			c.parts[s.Part] = s.At
		}
		if e.seen[s.Part].Before(s.At) {
			e.seen[s.Part] = s.At
		}
	}
}
