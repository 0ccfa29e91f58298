package flow_test

import (
	"context"
	"fmt"
	"io"
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
	// quarantinedFrom is the number of the first call of FindQuarantine that returns true; 0: none.
	quarantinedFrom int
	// allowTrial is the result of TakeTrial.
	allowTrial bool

	lock   sync.Mutex
	checks int
	// served and crashes count the recorded requests and attempts. answered are the requests that were
	// answered, answeredCrashes counts the crashes whose attempt had been.
	served, crashes, answeredCrashes int
	answered                         []poison.Identity
}

func (s *fakeScreen) FindQuarantine(i poison.Identity) (poison.ID, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.checks++
	return i.Request, s.quarantinedFrom > 0 && s.checks >= s.quarantinedFrom
}

func (s *fakeScreen) TakeTrial(context.Context, poison.ID) bool { return s.allowTrial }

func (s *fakeScreen) RecordCrash(_ poison.Identity, _ site.Server, _ time.Time, isAnswered bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes++
	if isAnswered {
		s.answeredCrashes++
	}
}

func (s *fakeScreen) RecordAnswered(i poison.Identity, _ site.Software) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answered = append(s.answered, i)
}

func (s *fakeScreen) RecordServed(poison.ID, string) {
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

// slowBody is an answer that breaks off after some events, with a pause before each.
type slowBody struct {
	events int
	pause  time.Duration
	lastID int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.events == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.events--
	b.lastID++
	time.Sleep(b.pause)
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.lastID)), nil
}

func (*slowBody) Close() error { return nil }

// Guards against a prompt part being taken for the cause of a crash although a request with it was being answered,
// and against one being taken for harmless because its server sent an event before it crashed.
func TestAttemptCountsAsAnsweredAfterAWhile(t *testing.T) {
	for _, c := range []struct {
		body     *slowBody
		answered bool
	}{
		{&slowBody{events: 1}, false},
		{&slowBody{events: 3}, false},
		{&slowBody{events: 3, pause: 200 * time.Millisecond}, true},
	} {
		is := is.New(t)
		route := newRoute()
		s := &deployment{
			view: newView(1, route, newEngine("n", "n1", "10.0.0.8:1")), body: c.body,
			parts: []site.PromptPart{{ID: "a", Tokens: 4}, {ID: "b", Tokens: 3}, {ID: "own", Tokens: 2}},
		}
		is.True(s.isCut(route))
		is.Equal(s.screen.crashes, 1)
		is.Equal(s.screen.answeredCrashes == 1, c.answered)
		is.Equal(len(s.screen.answered) == 1, c.answered)
		if c.answered {
			is.Equal(s.screen.answered[0].Parts, []poison.ID{poison.NewPartID("engines", "a"), poison.NewPartID("engines", "b")})
		}
	}
}
