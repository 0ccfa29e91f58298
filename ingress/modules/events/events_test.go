package events_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/modules/events"
)

// Guards against an event that is passed on in part, or not at all, because it arrives in several reads.
func TestEventsAreCompleteHoweverTheyArrive(t *testing.T) {
	const text = "id: 1\ndata: a\n\n: comment\n\nid: 2\nid: 3\ndata: b\n\ndata: c\n\n"
	for step := 1; step <= len(text); step++ {
		is := is.New(t)
		r := events.NewReader()
		passed := ""
		for from := 0; from < len(text); from += step {
			passed += string(r.Add([]byte(text[from:min(from+step, len(text))])))
			is.Equal(len(passed)+r.Pending(), min(from+step, len(text)))
		}
		is.Equal(passed, text)
		is.Equal(r.Count(), 4)
		is.Equal(r.FirstID(), "1")
		is.Equal(r.LastID(), "3")
	}
}
