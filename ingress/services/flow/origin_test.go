package flow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/share/models/site"
)

// fakeOrigins answers each lookup with the same origin, and holds what was recorded.
type fakeOrigins struct {
	found    origin.Origin
	attempts []string
	services []string
	begun    map[string]site.Software
	complete []string
	// notRecorded is the error with which no stream may begin. While awaited is not nil, it is called in place
	// of a wait.
	notRecorded error
	awaited     func()
}

func (o *fakeOrigins) AwaitRecorded(context.Context, site.Software) (bool, error) {
	if o.awaited == nil {
		return false, o.notRecorded
	}
	o.awaited()
	o.awaited = nil
	return true, o.notRecorded
}

func (o *fakeOrigins) RecordBegun(attempt string, software site.Software, _ time.Time) {
	if o.begun == nil {
		o.begun = map[string]site.Software{}
	}
	o.begun[attempt] = software
}

func (o *fakeOrigins) RecordComplete(attempt string) { o.complete = append(o.complete, attempt) }

func (o *fakeOrigins) Find(_ context.Context, attempt string, services []string) origin.Origin {
	o.attempts = append(o.attempts, attempt)
	o.services = services
	return o.found
}

func newResumableRoute(services ...string) site.Route {
	route := newRoute()
	route.Resumable = true
	for _, s := range services {
		route.Backends = append(route.Backends, site.Backend{Service: s, Weight: 1})
	}
	return route
}

func knownOrigin(service, version string) origin.Origin {
	return origin.Origin{Software: site.Software{Service: service, Version: version}, Source: origin.SourceMemo}
}

// Guards against a stream that its caller takes up and that is sent to another version, although that is
// nearer, and against a record under an attempt that the caller will not name.
func TestResumedStreamIsSentToItsVersion(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute()
	s := &deployment{
		view:    newView(1, route, newVersionedEngine("n", "v2"), newVersionedEngine("s", "v1")),
		resumes: "first", lastEventID: "3", origins: fakeOrigins{found: knownOrigin("engines", "v1")},
	}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"s"})
	is.Equal(s.origins.attempts, []string{"first"})
	is.Equal(s.origins.begun, map[string]site.Software{"first": {Service: "engines", Version: "v1"}})
	is.Equal(s.origins.complete, []string{"first"})
}

// Guards against a new stream that is not recorded under the attempt that brings its first event, or whose
// origin is looked up.
func TestNewStreamIsRecorded(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute()
	s := &deployment{view: newView(1, route, newVersionedEngine("n", "v2")), resumes: "first"}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(len(s.origins.attempts), 0)
	is.Equal(s.origins.begun, map[string]site.Software{"a": {Service: "engines", Version: "v2"}})
}

// Guards against a stream of unknown origin that is sent on a guess or waits, and against a refusal that
// does not state whether to return.
func TestStreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	for mayBeHeld, retryAfter := range map[bool]string{false: "", true: "0.50"} {
		is := is.New(t)
		route := newResumableRoute()
		s := &deployment{
			view:    newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("s", "v2")),
			resumes: "first", lastEventID: "3", origins: fakeOrigins{found: origin.Origin{MayBeHeld: mayBeHeld}},
		}
		began := time.Now()
		answer := s.serve(route)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.Equal(answer.Header().Get("Retry-After"), retryAfter)
		is.Equal(s.placements, 0)
		is.Equal(len(s.sentTo), 0)
		is.True(time.Since(began) < time.Second)
	}
}

// Guards against a stream that began at one service of its route and goes on at another one, or at a
// service that its route no longer uses.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	for service, code := range map[string]int{"engines": http.StatusOK, "gone": http.StatusServiceUnavailable} {
		is := is.New(t)
		route := newResumableRoute("others", "more")
		for range 20 {
			s := &deployment{
				view:    newView(1, route, newVersionedEngine("n", "v1")),
				resumes: "first", lastEventID: "3", origins: fakeOrigins{found: knownOrigin(service, "v1")},
			}
			is.Equal(s.serve(route).Code, code)
			is.Equal(len(s.origins.services), 3)
		}
	}
}

// Guards against a stream that begins at a software version which is not recorded, although nothing would tell
// of it after the loss of all ingresses.
func TestNewStreamBeginsOnlyAtARecordedVersion(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute()
	s := &deployment{view: newView(1, route, newVersionedEngine("n", "v2")), origins: fakeOrigins{notRecorded: origin.ErrNotRecorded}}
	got := s.serve(route)
	is.Equal(got.Code, http.StatusServiceUnavailable)
	is.True(got.Header().Get("Retry-After") != "")
	is.Equal(len(s.sentTo), 0)
	route.Resumable = false
	s.view = newView(1, route, newVersionedEngine("n", "v2"))
	is.Equal(s.serve(route).Code, http.StatusOK) // nobody takes it up
}

// Guards against a request that is sent to the engine that was reserved for it, although that has left, or has
// started again with other software, while its version was being recorded.
func TestEngineIsChosenAgainAfterTheWaitForTheRecord(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute()
	s := &deployment{
		view: newView(1, route, newVersionedEngine("n", "v2")), resumes: "first", lastEventID: "3",
		origins: fakeOrigins{found: knownOrigin("engines", "v2")},
	}
	s.origins.awaited = func() {
		s.view = newView(1, route, newVersionedEngine("n", "v3"), newVersionedEngine("s", "v2"))
		s.placer.SetView(s.view)
	}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"s"})
}
