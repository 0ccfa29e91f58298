package hosted_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// leavingHeader is the header in which a server states that it leaves.
	leavingHeader = "Server-Leaving"
	// drainTime is how long after an answer with that header its server may still receive requests.
	drainTime = 2500 * time.Millisecond
	// pauseTime is the pause that a server asks for, and pauseText its text in the Retry-After.
	pauseTime = 3 * time.Second
	pauseText = "3"
	// pauseGrace is how long after it asked for a pause a server may still receive requests, and
	// pauseSlack how many it may receive later in the pause from one ingress.
	pauseGrace = 500 * time.Millisecond
	pauseSlack = 2
	// requestTime is how long after it was sent a request of these tests reaches its last server.
	requestTime = 500 * time.Millisecond
)

// newMixedRequests returns a function that returns orders, reads, streams and streams with stages by
// turns.
func newMixedRequests() func() request {
	count := atomic.Int64{}
	return func() request {
		switch count.Add(1) % 4 {
		case 0:
			return newRequest("/order/1")
		case 1:
			return newRequest("/read/1")
		case 2:
			return newRequest("/advice/1")
		default:
			return newReview()
		}
	}
}

// firstServers returns one of the two servers of each service.
func (d *deployment) firstServers() []*hosted.Server {
	return []*hosted.Server{d.plainServers[0], d.engines[0], d.poolServers[0]}
}

// waitForUse waits until each of the servers has received a request since the given time.
func waitForUse(t *testing.T, servers []*hosted.Server, since time.Time) {
	t.Helper()
	for _, s := range servers {
		eventually(t, s.ID+" is used", func() bool { return len(listArrivals(s, since)) > 0 })
	}
}

// checkUnused checks that a server has received nothing since the given time.
func checkUnused(t *testing.T, server *hosted.Server, since time.Time) {
	t.Helper()
	if arrivals := listArrivals(server, since); len(arrivals) > 0 {
		t.Errorf("%s leaves and received %d requests later than %v after it had said so", server.ID, len(arrivals), drainTime)
	}
}

// checkPauses checks that a server receives no more than is allowed in each pause that it has asked for
// since the given time, while n ingresses send requests.
func checkPauses(t *testing.T, server *hosted.Server, n int, since time.Time) {
	t.Helper()
	most := 0
	for _, p := range server.Pauses() {
		if p.At.Before(since) {
			continue
		}
		arrivals := 0
		for _, at := range listArrivals(server, p.At.Add(pauseGrace)) {
			if at.Before(p.At.Add(p.For)) {
				arrivals++
			}
		}
		most = max(most, arrivals)
	}
	t.Logf("%s asked %d times for a pause and received at most %d requests in one", server.ID, len(server.Pauses()), most)
	if allowed := pauseSlack * n; most > allowed {
		t.Errorf("%s asked for a pause and received %d requests in it; allowed are %d", server.ID, most, allowed)
	}
}

// Guards against requests, calls to pools and releases of results that are sent to a server long after
// it has said that it leaves, because its registration does not say so yet.
func TestLeavingServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	l := d.startLoad(4, newMixedRequests())
	waitForUse(t, d.firstServers(), time.Now())
	for _, s := range d.firstServers() {
		s.SetHeader(leavingHeader, "1")
	}
	waitForUse(t, d.firstServers(), time.Now())
	time.Sleep(drainTime + requestTime)
	since := time.Now()
	time.Sleep(2 * time.Second)
	for _, s := range d.firstServers() {
		checkUnused(t, s, since)
	}
	answers := l.end()
	is.True(answers[http.StatusOK] > 0)
	is.Equal(len(answers), 1) // all requests are served
	for _, s := range d.firstServers() {
		s.SetHeader(leavingHeader, "")
		s.Crash()
		is.NoErr(s.Restart())
	}
	restarted := time.Now()
	l = d.startLoad(4, newMixedRequests())
	waitForUse(t, d.firstServers(), restarted)
	l.end()
}

// Guards against requests that wait, or are sent, although every server of their service leaves, and
// against refusals that do not state when to return or whose requests run.
func TestRequestsAreRefusedAtOnceWhenAllServersLeave(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	servers := slices.Concat(d.plainServers, d.engines)
	said := time.Now()
	for _, s := range servers {
		s.SetHeader(leavingHeader, "1")
	}
	first := d.startLoad(2, newMixedRequests())
	waitForUse(t, servers, said)
	time.Sleep(drainTime + requestTime)
	first.end()
	since := time.Now()
	l := d.startLoad(2, newMixedRequests())
	time.Sleep(time.Second)
	answers := l.end()
	for _, s := range servers {
		checkUnused(t, s, since)
	}
	is.True(answers[http.StatusServiceUnavailable] > 0)
	is.Equal(len(answers), 1)
	is.Equal(l.unusable, 0)
	is.True(l.slowest < time.Second)
}

// Guards against requests and calls to pools that are sent on to a server that has turned one away and
// has asked the ingress for a pause.
func TestPausedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	l := d.startLoadAt(d.ingresses[:1], 8, newMixedRequests())
	waitForUse(t, d.firstServers(), time.Now())
	paused := time.Now()
	for _, s := range d.firstServers() {
		s.SetPause(pauseText)
	}
	waitForUse(t, d.firstServers(), paused)
	time.Sleep(pauseTime + time.Second)
	for _, s := range d.firstServers() {
		checkPauses(t, s, 1, paused)
		s.SetPause("")
	}
	waitForUse(t, d.firstServers(), time.Now())
	answers := l.end()
	is.True(answers[http.StatusOK] > 0)
	is.Equal(len(answers), 1) // all requests are served
}
