package flow_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
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
	// withheld are the versions at which no stream may begin for the given time.
	withheld []string
	wait     time.Duration
	// isNew is set if the inventory names no version of the service. Changed is closed when it does.
	isNew   bool
	changed chan struct{}
	// lookups counts the calls of FindWithheld. After lastWithheld of them nothing is withheld any more; 0: never.
	lookups, lastWithheld int
}

func (o *fakeOrigins) FindWithheld(_ string, versions []string) origin.Withheld {
	w := origin.Withheld{Wait: o.wait, IsNew: o.isNew, Changed: o.changed}
	if o.lookups++; o.lastWithheld > 0 && o.lookups > o.lastWithheld {
		return w
	}
	select {
	case <-o.changed:
		return w
	default:
	}
	for _, v := range versions {
		if slices.Contains(o.withheld, v) {
			w.Versions = append(w.Versions, v)
		}
	}
	return w
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

// Guards against a stream that is taken up at another service of its route than the one that began it, although nobody
// recalls it: the attempt that brought its first event tells the service.
func TestServiceOfAStreamDependsOnItsFirstAttempt(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute("others", "more")
	services := map[string]int{}
	for n := range 40 {
		first := strconv.Itoa(n)
		found := ""
		for range 3 {
			s := &deployment{view: newView(1, route, newVersionedEngine("n", "v1")), resumes: first, lastEventID: "3", origins: fakeOrigins{}}
			s.serve(route)
			is.True(found == "" || s.origins.services[0] == found)
			found = s.origins.services[0]
		}
		services[found]++
	}
	is.Equal(len(services), 3)
}

// Guards against a stream that begins at a version which ingresses that are out of step may not know, against one that
// waits for it in vain or although another version can serve it, and against a refusal of a stream that has begun there,
// or that nobody takes up.
func TestNoStreamBeginsAtAWithheldVersion(t *testing.T) {
	one, both := []string{"v2"}, []string{"v1", "v2"}
	for name, c := range map[string]struct {
		withheld   []string
		wait       time.Duration
		isNew      bool
		namedAfter time.Duration
		begun      string
		sentTo     []string
		waits      time.Duration
		isRefused  bool
	}{
		"another version":         {one, 4 * time.Second, false, 0, "", []string{"s"}, 0, false},
		"all versions, announced": {both, 4 * time.Second, false, 0, "", nil, 0, true},
		"all versions, soon":      {both, 300 * time.Millisecond, false, 300 * time.Millisecond, "", []string{"n"}, 300 * time.Millisecond, false},
		"not named yet":           {both, 4 * time.Second, true, 250 * time.Millisecond, "", []string{"n"}, 250 * time.Millisecond, false},
		"not named for long":      {both, 4 * time.Second, true, 0, "", nil, time.Second, true},
		"begun there":             {both, 4 * time.Second, false, 0, "v2", []string{"n"}, 0, false},
		"none":                    {nil, 0, false, 0, "", []string{"n"}, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			t.Log(name)
			is := is.New(t)
			route := newResumableRoute()
			changed := make(chan struct{})
			s := &deployment{
				view:    newView(1, route, newVersionedEngine("n", "v2"), newVersionedEngine("s", "v1")),
				origins: fakeOrigins{withheld: c.withheld, wait: c.wait, isNew: c.isNew, changed: changed},
			}
			if c.begun != "" {
				s.resumes, s.lastEventID, s.origins.found = "first", "3", knownOrigin("engines", c.begun)
			}
			if c.namedAfter > 0 {
				time.AfterFunc(c.namedAfter, func() { close(changed) })
			}
			began := time.Now()
			got := s.serve(route)
			is.Equal(s.sentTo, c.sentTo)
			is.Equal(time.Since(began), c.waits)
			retryAfter, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			is.Equal(err == nil, c.isRefused)
			is.True(!c.isRefused || retryAfter >= c.wait.Seconds() && retryAfter <= 1.25*c.wait.Seconds())
		})
	}
	is := is.New(t)
	route := newRoute()
	s := &deployment{view: newView(1, route, newVersionedEngine("n", "v2")), origins: fakeOrigins{withheld: one}}
	is.Equal(s.serve(route).Code, http.StatusOK) // nobody takes it up
	is.Equal(s.sentTo, []string{"n"})
}

// Guards against a refusal of a stream, although one may begin since the notice has ended while the request was being
// placed, maybe at another ingress.
func TestNoticeThatEndsDuringThePlacementIsNoRefusal(t *testing.T) {
	is := is.New(t)
	route := newResumableRoute()
	s := &deployment{
		view:    newView(1, route, newVersionedEngine("n", "v2")),
		origins: fakeOrigins{withheld: []string{"v2"}, wait: time.Millisecond, lastWithheld: 1},
	}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"n"})
}

// Guards against a request that is sent to the engine that was reserved for it, although that has started again meanwhile
// with software at which no stream may begin yet, or that has not begun the stream which the request takes up.
func TestReservedEngineThatWasUpdatedIsNotUsed(t *testing.T) {
	for _, lastEventID := range []string{"", "3"} {
		is := is.New(t)
		route := newResumableRoute()
		s := &deployment{
			view:            newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("s", "v1")),
			viewAfterStages: newView(1, route, newVersionedEngine("n", "v2"), newVersionedEngine("s", "v1")),
			origins:         fakeOrigins{withheld: []string{"v2"}, wait: 4 * time.Second, found: knownOrigin("engines", "v1")},
			resumes:         "first", lastEventID: lastEventID,
		}
		is.Equal(s.serve(route).Code, http.StatusOK)
		is.Equal(s.sentTo, []string{"s"})
	}
}
