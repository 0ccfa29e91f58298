package flow_test

import (
	"cmp"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/models/site"
)

// runAnswer is the answer of one run of a stream.
type runAnswer struct {
	body string
	// isCut is set if the connection breaks after the body.
	isCut bool
	// status is 200 if it is 0, mediaType that of a stream of events if it is empty.
	status    int
	mediaType string
	framing   reach.Framing
	isLeaving bool
}

func (a runAnswer) newReply(r reach.Request) *reach.Reply {
	body := io.Reader(strings.NewReader(a.body))
	if a.isCut {
		body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	answer := site.Answer{
		Status: cmp.Or(a.status, http.StatusOK), Signed: true, Leaving: a.isLeaving, AttemptID: r.UpstreamHeaders.AttemptID,
		Header: http.Header{"Content-Type": {cmp.Or(a.mediaType, "text/event-stream")}},
	}
	return &reach.Reply{Answer: answer, Body: io.NopCloser(body), Length: -1, Framing: cmp.Or(a.framing, reach.FramingChunks)}
}

// newEvents returns events with these IDs.
func newEvents(ids string) string {
	text := ""
	for id := range strings.SplitSeq(ids, "") {
		text += "id: " + id + "\ndata: x\n\n"
	}
	return text
}

// checkRuns serves a stream whose runs bring these answers, and checks what its caller gets.
func checkRuns(t *testing.T, lastEventID string, runs []runAnswer, want string, wantsEnd bool) {
	t.Helper()
	is := is.New(t)
	route := newRoute()
	route.Resumable = true
	route.MaxAttempts = 3
	s := &deployment{
		view: newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("m", "v1"), newVersionedEngine("o", "v1")),
		runs: runs, lastEventID: lastEventID, origins: fakeOrigins{found: knownOrigin("engines", "v1")},
	}
	answer, isCut := s.serveCut(route)
	passed := ""
	for line := range strings.SplitSeq(answer.Body.String(), "\n") {
		if id, found := strings.CutPrefix(strings.TrimSuffix(line, "\r"), "id: "); found {
			passed += id
		}
	}
	is.Equal(passed, want)
	is.Equal(!isCut && answer.Code == http.StatusOK, wantsEnd)
}

// Guards against a stream in which an event comes twice, or whose IDs go back, because an engine does not go on after the last
// event that the caller has, or repeats events within its answer.
func TestEventsOutOfOrderAreNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		lastEventID string
		runs        []runAnswer
		want        string
		wantsEnd    bool
	}{
		"goes on":                      {"", []runAnswer{{body: newEvents("12"), isCut: true}, {body: newEvents("34")}}, "1234", true},
		"gaps":                         {"", []runAnswer{{body: newEvents("13"), isCut: true}, {body: newEvents("58")}}, "1358", true},
		"had ended":                    {"", []runAnswer{{body: newEvents("12"), isCut: true}, {}}, "12", true},
		"starts anew":                  {"", []runAnswer{{body: newEvents("12"), isCut: true}, {body: newEvents("1234")}}, "12", false},
		"goes on at the event":         {"", []runAnswer{{body: newEvents("12"), isCut: true}, {body: newEvents("234")}}, "12", false},
		"starts anew, then another":    {"", []runAnswer{{body: newEvents("12"), isCut: true}, {body: newEvents("1234")}, {body: newEvents("34")}}, "1234", true},
		"goes back":                    {"", []runAnswer{{body: newEvents("1232")}}, "123", false},
		"goes back, then another":      {"", []runAnswer{{body: newEvents("1214")}, {body: newEvents("34")}}, "1234", true},
		"twice":                        {"", []runAnswer{{body: newEvents("1223")}}, "12", false},
		"empty ID":                     {"", []runAnswer{{body: newEvents("12") + "id:\ndata: x\n\n", isCut: true}, {body: newEvents("34")}}, "12", false},
		"no ID, then a break":          {"", []runAnswer{{body: newEvents("12") + "data: x\n\n", isCut: true}, {body: newEvents("34")}}, "12", false},
		"comment, then a break":        {"", []runAnswer{{body: newEvents("12") + ": x\n\n", isCut: true}, {body: newEvents("34")}}, "1234", true},
		"no ID, then one":              {"", []runAnswer{{body: "data: x\n\n" + newEvents("12"), isCut: true}, {body: newEvents("34")}}, "1234", true},
		"taken up":                     {"5", []runAnswer{{body: newEvents("67")}}, "67", true},
		"taken up, starts anew":        {"5", []runAnswer{{body: newEvents("1234567")}}, "", false},
		"taken up after what it sent":  {"9", []runAnswer{{}}, "", true},
		"taken up after no event's ID": {"none", []runAnswer{{body: newEvents("12")}}, "12", true},
	} {
		t.Run(name, func(t *testing.T) { checkRuns(t, c.lastEventID, c.runs, c.want, c.wantsEnd) })
	}
}

// Guards against a stream that ends as complete because another run of it brings an answer without events that is not the rest
// of the stream.
func TestAnswerOfAnotherKindDoesNotEndAStream(t *testing.T) {
	first := runAnswer{body: newEvents("12"), isCut: true}
	for name, second := range map[string]runAnswer{"status": {status: http.StatusNoContent}, "media type": {mediaType: "application/json"}} {
		t.Run(name, func(t *testing.T) {
			checkRuns(t, "", []runAnswer{first, second}, "12", false)
			checkRuns(t, "", []runAnswer{first, second, {body: newEvents("34")}}, "1234", true)
		})
	}
}

// Guards against a stream without any event that is taken for complete, because its answer ends with its connection and stops
// after its head.
func TestStreamThatStopsAfterItsHeadIsNotComplete(t *testing.T) {
	stopped := runAnswer{framing: reach.FramingConnection}
	checkRuns(t, "", []runAnswer{stopped}, "", false)
	checkRuns(t, "", []runAnswer{stopped, {body: newEvents("12")}}, "12", true)
	checkRuns(t, "2", []runAnswer{stopped}, "", true) // it may have been complete
}

// Guards against a whole answer being cut because its server is down at its end: one that leaves may refuse connections while it
// ends its answers, and one that states where its answer ends has sent all.
func TestWholeAnswerOfAServerThatIsDown(t *testing.T) {
	for a, isCut := range map[runAnswer]bool{
		{framing: reach.FramingConnection}: true, {framing: reach.FramingConnection, isLeaving: true}: false,
		{framing: reach.FramingChunks}: false, {framing: reach.FramingLength}: false,
	} {
		a.body = newEvents("12")
		is := is.New(t)
		s := &deployment{view: newView(1, newRoute(), newVersionedEngine("n", "v1")), runs: []runAnswer{a}, hasGone: true}
		is.Equal(s.isCut(newRoute()), isCut)
	}
}
