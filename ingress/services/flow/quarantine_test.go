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

// fakeScreen counts what is recorded, and quarantines all requests from a given check on.
type fakeScreen struct {
	// quarantinedFrom is the number of the first call of IsQuarantined that returns true; 0: none.
	quarantinedFrom int
	// allowTrial is the result of TakeTrial.
	allowTrial bool

	lock   sync.Mutex
	checks int
	// served and crashes count the recorded requests and attempts.
	served, crashes int
}

func (s *fakeScreen) IsQuarantined(poison.ID) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.checks++
	return s.quarantinedFrom > 0 && s.checks >= s.quarantinedFrom
}

func (s *fakeScreen) TakeTrial(context.Context, poison.ID) bool { return s.allowTrial }

func (s *fakeScreen) RecordCrash(poison.ID, site.Server, time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes++
}

func (s *fakeScreen) RecordServed(poison.ID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.served++
}

// Guards against a quarantined request reaching a server, whether it is quarantined on arrival or
// while the results of its stages are produced.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	for _, from := range []int{1, 2} {
		is := is.New(t)
		route := newRoute()
		s := &deployment{view: newView(1, route, newEngine("n", "n1", "10.0.0.8:1")), screen: fakeScreen{quarantinedFrom: from}}
		answer := s.serve(route)
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.Equal(len(s.sentTo), 0)
	}
}

// Guards against a harmless request being counted as crashing servers although it was served.
func TestServedRequestIsRecorded(t *testing.T) {
	is := is.New(t)
	route := newRoute()
	s := &deployment{view: newView(1, route, newEngine("n", "n1", "10.0.0.8:1"))}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.screen.served, 1)
	is.Equal(s.screen.crashes, 0)
}

// Guards against a quarantine that can never end because trials do not reach a server.
func TestTrialIsSentOnce(t *testing.T) {
	is := is.New(t)
	route := newRoute()
	s := &deployment{view: newView(1, route, newEngine("n", "n1", "10.0.0.8:1")), screen: fakeScreen{quarantinedFrom: 1, allowTrial: true}}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(len(s.sentTo), 1)
	is.Equal(s.screen.served, 1)
}
