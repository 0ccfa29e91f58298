package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// limitHeader is the header in which a server states how many requests per second it takes from
	// all ingresses together.
	limitHeader = "Server-Limit"
	// statedRate is the rate that a limited server states, and statedText its text in the header.
	statedRate = 2
	statedText = "2"
	// limitWindow is the span in which a limited server may receive at most limitOverage times the
	// stated rate, plus limitSlack requests.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// maxShownUnserved is how many of the requests that were not served are shown.
	maxShownUnserved = 8
	// limitSettleTime is how long after the first statement the limit must be in force.
	limitSettleTime = 4 * time.Second
)

// load sends requests through all ingresses until it is stopped.
type load struct {
	deployment *deployment
	newRequest func() request
	stop       chan struct{}
	callers    sync.WaitGroup

	lock sync.Mutex
	// answers counts the answers by status; 0 stands for those that are missing or incomplete.
	answers map[int]int
	// slowest is the time of the slowest answer with status 503. unusable counts those that do not state
	// when to return, or whose request has run.
	slowest  time.Duration
	unusable int
	// unserved holds the requests that were not served. They are counted at the end.
	unserved []unserved
	stalls   *stalls
}

// unserved is a request that was not served.
type unserved struct {
	request request
	answer  answer
	endedAt time.Time
}

func (u unserved) String() string {
	return fmt.Sprintf("%s %s at %s after %v: status %d, error %v, %.300s", u.request.id, u.request.target,
		u.endedAt.Format(time.RFC3339Nano), u.answer.took, u.answer.status, u.answer.err, u.answer.body)
}

// startLoad sends requests from n callers at each ingress, each of which sends one after the other.
func (d *deployment) startLoad(n int, newRequest func() request) *load {
	return d.startLoadAt(d.ingresses, n, newRequest)
}

// startLoadAt is startLoad for some of the ingresses.
func (d *deployment) startLoadAt(ingresses []*ingress, n int, newRequest func() request) *load {
	l := &load{deployment: d, newRequest: newRequest, stop: make(chan struct{}), answers: map[int]int{}, stalls: newStalls()}
	for _, i := range ingresses {
		for range n {
			l.callers.Add(1)
			go l.run(i)
		}
	}
	return l
}

func (l *load) run(i *ingress) {
	defer l.callers.Done()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		q := l.newRequest()
		a := i.send(context.Background(), q)
		l.record(q, a)
		if a.status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (l *load) record(q request, a answer) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if a.status == http.StatusOK && a.err == nil {
		l.answers[http.StatusOK]++
		return
	}
	l.unserved = append(l.unserved, unserved{request: q, answer: a, endedAt: time.Now()})
}

// end stops the callers and returns the answers by status. It logs the first requests that were not served.
// Those during which the machine stalled do not count.
func (l *load) end() map[int]int {
	l.deployment.t.Helper()
	close(l.stop)
	l.callers.Wait()
	l.stalls.end()
	stalled, shown := 0, 0
	for _, u := range l.unserved {
		if l.stalls.overlaps(timeRange{from: u.endedAt.Add(-u.answer.took), to: u.endedAt}) {
			stalled++
			continue
		}
		l.countUnserved(u)
		if shown++; shown <= maxShownUnserved {
			l.deployment.t.Logf("not served: %s", u)
		}
	}
	if stalled > 0 {
		l.deployment.t.Logf("%d requests were not served while the machine stalled: %v", stalled, l.stalls.ranges)
	}
	return l.answers
}

func (l *load) countUnserved(u unserved) {
	status := u.answer.status
	if u.answer.err != nil {
		status = 0
	}
	l.answers[status]++
	if status != http.StatusServiceUnavailable {
		return
	}
	l.slowest = max(l.slowest, u.answer.took)
	if u.answer.header.Get("Retry-After") == "" || len(l.deployment.Runs(u.request.id)) > 0 {
		l.unusable++
	}
}

// listArrivals returns when requests arrived at a server after the given time.
func listArrivals(server *hosted.Server, since time.Time) []time.Time {
	arrivals := []time.Time{}
	for _, at := range server.Arrivals() {
		if at.After(since) {
			arrivals = append(arrivals, at)
		}
	}
	return arrivals
}

// checkStatedRate checks that a server receives no more than the rate that it states, in any window
// since the given time.
func checkStatedRate(t *testing.T, server *hosted.Server, since time.Time) {
	t.Helper()
	allowed := int(limitOverage*statedRate*limitWindow.Seconds()) + limitSlack
	arrivals := listArrivals(server, since)
	most := 0
	for first := range arrivals {
		last := first
		for last < len(arrivals) && arrivals[last].Sub(arrivals[first]) < limitWindow {
			last++
		}
		most = max(most, last-first)
	}
	t.Logf("%s received %d requests in %v, at most %d within %v", server.ID, len(arrivals), time.Since(since), most, limitWindow)
	if most > allowed {
		t.Errorf("%s stated %v requests per second and received %d within %v; allowed are %d", server.ID, statedRate, most, limitWindow, allowed)
	}
}

// checkRateIsUsed checks that a server that more requests are for than it takes receives at least half
// of the rate that it states.
func checkRateIsUsed(t *testing.T, server *hosted.Server, since time.Time) {
	t.Helper()
	arrivals := len(listArrivals(server, since))
	if least := int(statedRate * time.Since(since).Seconds() / 2); arrivals < least {
		t.Errorf("%s takes %v requests per second and received %d since %v; at least %d expected", server.ID, statedRate, arrivals, time.Since(since), least)
	}
}

// testStatedRate checks that a server that states a rate, one of two of its service, receives no
// more than that from three ingresses, that the other one serves the rest, and that the server is
// used without limit once it states none any more.
func testStatedRate(t *testing.T, d *deployment, server *hosted.Server, newRequest func() request) {
	t.Helper()
	is := is.New(t)
	server.SetHeader(limitHeader, statedText)
	l := d.startLoad(4, newRequest)
	time.Sleep(limitSettleTime)
	since := time.Now()
	time.Sleep(limitWindow + time.Second)
	checkStatedRate(t, server, since)
	checkRateIsUsed(t, server, since)
	server.SetHeader(limitHeader, "")
	withdrawn := time.Now()
	eventually(t, "the server is used without limit", func() bool {
		recent := 0
		for _, at := range server.Arrivals() {
			if at.After(withdrawn) && time.Since(at) < time.Second {
				recent++
			}
		}
		return recent > 4*statedRate
	})
	answers := l.end()
	is.True(answers[http.StatusOK] > 0)
	is.Equal(len(answers), 1) // all requests are served
}

// Guards against an engine in need receiving more requests than it takes from all ingresses together.
func TestStatedRateOfEngineIsKept(t *testing.T) {
	d := newDeployment(t, 3)
	testStatedRate(t, d, d.engines[0], func() request { return newRequest("/advice/1") })
}

// Guards against a plain server in need receiving more requests than it takes from all ingresses
// together.
func TestStatedRateOfPlainServerIsKept(t *testing.T) {
	d := newDeployment(t, 3)
	testStatedRate(t, d, d.plainServers[0], func() request { return newRequest("/order/1") })
}

// Guards against a pool server in need receiving more calls than it takes from all ingresses
// together.
func TestStatedRateOfPoolServerIsKept(t *testing.T) {
	d := newDeployment(t, 3)
	testStatedRate(t, d, d.poolServers[0], newReview)
}

// Guards against a server that produces results of stages, answers plain requests as well, and receives the rate that
// it states once for each; and against one of the two that gets nothing of it.
func TestStatedRateOfServerOfBothKindsIsKept(t *testing.T) {
	d := newDeployment(t, 3)
	d.addTextRoute()
	sent := atomic.Uint64{}
	server := d.poolServers[0]
	began := time.Now()
	testStatedRate(t, d, server, func() request {
		if sent.Add(1)%2 == 0 {
			return newReview()
		}
		return newRequest("/text/1")
	})
	plain := 0
	for _, a := range server.Attempts() {
		if a.At.After(began.Add(limitSettleTime)) && a.At.Before(began.Add(limitSettleTime+limitWindow)) {
			plain++
		}
	}
	if least := int(statedRate * limitWindow.Seconds() / 4); plain < least {
		t.Errorf("%s received %d plain requests within %v; at least %d expected", server.ID, plain, limitWindow, least)
	}
}

// Guards against an ingress that sends requests to a server in need because it has not received an
// answer of that server itself, and against one that keeps a limit which the server has withdrawn.
func TestIngressesTellEachOtherTheStatedRates(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	server := d.engines[0]
	server.SetHeader(limitHeader, statedText)
	sendUntil := func(condition string, check func() bool) {
		eventually(t, condition, func() bool {
			is.Equal(d.ingresses[0].send(context.Background(), newRequest("/advice/1")).status, http.StatusOK)
			return check()
		})
	}
	sendUntil("an answer states the limit", func() bool {
		return len(d.ingresses[0].output.lines("event=server-limit", server.ID, "per-second=2", "source=answer")) > 0
	})
	for _, i := range d.ingresses[1:] {
		eventually(t, i.name+" knows the limit", func() bool {
			return len(i.output.lines("event=server-limit", server.ID, "per-second=2", "source=ingress-")) > 0
		})
	}
	server.SetHeader(limitHeader, "")
	sendUntil("an answer withdraws the limit", func() bool {
		return len(d.ingresses[0].output.lines("event=server-limit", server.ID, "per-second=none", "source=answer")) > 0
	})
	for _, i := range d.ingresses[1:] {
		eventually(t, i.name+" knows that the limit is withdrawn", func() bool {
			return len(i.output.lines("event=server-limit", server.ID, "per-second=none", "source=ingress-")) > 0
		})
	}
}

// Guards against callers that wait although all servers of a service have received what they take, and
// against refusals that do not state when to return or whose requests run later.
func TestRequestsBeyondAllStatedRatesAreRefusedAtOnce(t *testing.T) {
	for target, pick := range map[string]func(*deployment) []*hosted.Server{
		"/order/1":  func(d *deployment) []*hosted.Server { return d.plainServers },
		"/advice/1": func(d *deployment) []*hosted.Server { return d.engines },
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 3)
			servers := pick(d)
			for _, s := range servers {
				s.SetHeader(limitHeader, statedText)
			}
			l := d.startLoad(4, func() request { return newRequest(target) })
			time.Sleep(limitSettleTime)
			since := time.Now()
			time.Sleep(limitWindow + time.Second)
			for _, s := range servers {
				checkStatedRate(t, s, since)
				checkRateIsUsed(t, s, since)
			}
			answers := l.end()
			is.True(answers[http.StatusOK] > 0)
			is.True(answers[http.StatusServiceUnavailable] > 0)
			is.Equal(len(answers), 2)
			is.Equal(l.unusable, 0)
			is.True(l.slowest < time.Second)
		})
	}
}

// Guards against a server that states a higher rate than before and gets few requests for seconds.
func TestRateStatedAfterALowerOneIsUsed(t *testing.T) {
	d := newDeployment(t, 3)
	server := d.plainServers[0]
	d.plainServers[1].Register("draining")
	l := d.startLoad(3, func() request { return newRequest("/order/1") })
	server.SetHeader(limitHeader, "0")
	time.Sleep(1500 * time.Millisecond)
	server.SetHeader(limitHeader, "")
	time.Sleep(1000 * time.Millisecond)
	server.SetHeader(limitHeader, statedText)
	time.Sleep(limitSettleTime)
	since := time.Now()
	time.Sleep(limitWindow + time.Second)
	checkStatedRate(t, server, since)
	checkRateIsUsed(t, server, since)
	l.end()
}
