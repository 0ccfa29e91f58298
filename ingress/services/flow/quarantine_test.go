package flow_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
)

// screen quarantines every request from the given question on; 0: none.
type screen struct {
	from int
	// tried is set where a quarantined request is to be sent once.
	tried bool

	lock  sync.Mutex
	asked int
	// served and broken count what it was told.
	served, broken int
}

func (s *screen) IsQuarantined(poison.ID) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.asked++
	return s.from > 0 && s.asked >= s.from
}

func (s *screen) TakeTrial(context.Context, poison.ID) bool { return s.tried }

func (s *screen) NoteBroken(poison.ID, site.Server, time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.broken++
}

func (s *screen) NoteServed(poison.ID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.served++
}

// Guards against a quarantined request that reaches a server: one that arrives, and one whose
// results were being made when it was quarantined.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	for _, from := range []int{1, 2} {
		is := is.New(t)
		route := sceneRoute()
		s := &scene{view: sceneView(1, route, engine("n", "n1", "10.0.0.8:1")), screen: screen{from: from}}
		answer := s.serve(route)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.Equal(len(s.sent), 0)
	}
}

// Guards against a bystander that is held to have crashed servers though it was served.
func TestServedRequestIsNoted(t *testing.T) {
	is := is.New(t)
	route := sceneRoute()
	s := &scene{view: sceneView(1, route, engine("n", "n1", "10.0.0.8:1"))}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.screen.served, 1)
	is.Equal(s.screen.broken, 0)
}

// Guards against a quarantine that nothing can end: a trial reaches one server.
func TestTrialIsSentOnce(t *testing.T) {
	is := is.New(t)
	route := sceneRoute()
	s := &scene{view: sceneView(1, route, engine("n", "n1", "10.0.0.8:1")), screen: screen{from: 1, tried: true}}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(len(s.sent), 1)
	is.Equal(s.screen.served, 1)
}
