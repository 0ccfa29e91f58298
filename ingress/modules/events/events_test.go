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
		r := events.NewReader("")
		passed := ""
		for from := 0; from < len(text); from += step {
			complete, err := r.Add([]byte(text[from:min(from+step, len(text))]))
			is.NoErr(err)
			passed += string(complete)
			is.Equal(len(passed)+r.Pending(), min(from+step, len(text)))
		}
		is.Equal(passed, text)
		is.Equal(r.Count(), 4)
		is.Equal(r.FirstID(), "1")
		is.Equal(r.LastID(), "3")
	}
}

// Guards against a stream whose events are held back to its end, and which then counts as broken, because its lines end with a
// carriage return and a line feed, and against blank lines at its end that count as the start of an event.
func TestEventsEndWithAnyBlankLine(t *testing.T) {
	for _, text := range []string{
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n", "\n\r\nid: 1\n\n\n\nid: 2\n\n\n", "id: 1\n\nid: 2\n\n\r\n",
	} {
		for step := 1; step <= len(text); step++ {
			is := is.New(t)
			r := events.NewReader("")
			passed := ""
			for from := 0; from < len(text); from += step {
				complete, err := r.Add([]byte(text[from:min(from+step, len(text))]))
				is.NoErr(err)
				passed += string(complete)
			}
			is.True(!r.IsInside())
			is.Equal(passed+string(r.Rest()), text)
			is.Equal(r.FirstID()+r.LastID(), "12")
		}
	}
}
