package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// call is one attempt of a caller and its answer.
type call struct {
	request request
	// ingress is the number of the ingress that it was sent to.
	ingress int
	sentAt  time.Time
	answer  answer
	// cancelsEarly is set if the caller canceled the request unless it was answered within 20 to
	// 420 ms.
	cancelsEarly bool
}

// runCaller sends requests to one ingress, over a connection that is kept alive, until stop is
// closed.
func (s *soak) runCaller(n int) {
	defer s.callers.Done()
	random := rand.New(rand.NewPCG(s.seed, uint64(100+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		q := newRequest([]string{"/order/1", "/read/1", "/text/1", "/review/1", "/advice/1"}[random.IntN(5)])
		if strings.HasPrefix(q.target, "/review") {
			q = newReview()
		}
		q.callerTimeout = 4 * time.Second
		clientTimeout := q.callerTimeout
		cancelsEarly := random.IntN(8) == 0
		if cancelsEarly {
			clientTimeout = time.Duration(20+random.IntN(400)) * time.Millisecond
		}
		sentAt := time.Now()
		a := s.sendOnce(client, s.ingresses[n%len(s.ingresses)], q, clientTimeout)
		s.lock.Lock()
		s.calls = append(s.calls, call{request: q, ingress: n % len(s.ingresses), sentAt: sentAt, answer: a, cancelsEarly: cancelsEarly})
		s.lock.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// sendOnce sends a request whose body net/http cannot rewind, so that the client does not retry it
// by itself.
func (s *soak) sendOnce(client *http.Client, i *ingress, q request, clientTimeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	body := struct{ io.Reader }{bytes.NewReader([]byte(q.body))}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callerAddress.String()+q.target, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.ContentLength = int64(len(q.body))
	r.Header.Set("X-Verbenaroad-Attempt-Id", q.id)
	r.Header.Set("X-Verbenaroad-Deadline-Ms", fmt.Sprint(q.callerTimeout.Milliseconds()))
	r.Header.Set("X-Verbenaroad-Key", q.key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	got, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	text, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(text), err: err}
}

// checkRecovery ends the remaining faults and waits until everything is served again. It then checks that streams go on
// after the loss of all ingresses, that nothing older comes back with a restored store, the rates that servers state, and that they leave or ask for pauses, stops the callers, checks the quarantines, and waits until no result is
// held and no request is running.
func (s *soak) checkRecovery() {
	for _, r := range s.relays {
		r.Drop() // silenced connections never recover
	}
	for _, server := range s.allServers() {
		server.SetFaults()
	}
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" is ready again", i.isReady)
	}
	version := s.putKeys("key-1")
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" has applied the last version", i.hasApplied(version))
		for _, target := range []string{"/order/1", "/text/1", "/review/1", "/advice/1", "/novel/1"} {
			eventually(s.t, i.name+" serves "+target, func() bool {
				q := newRequest(target)
				if strings.HasPrefix(target, "/review") {
					q = newReview()
				}
				a := i.send(context.Background(), q)
				return a.err == nil && a.status == http.StatusOK
			})
		}
		q := newRequest("/order/1")
		q.key = "key-2"
		if a := i.send(context.Background(), q); a.status != http.StatusUnauthorized {
			s.t.Errorf("%s: a request with a removed key was answered with status %d", i.name, a.status)
		}
	}
	s.checkStops()
	s.checkTakeUps()
	s.drainOtherEngines()
	s.checkRestore()
	s.checkRates()
	s.checkClosures()
	close(s.stop)
	s.callers.Wait()
	s.checkQuarantine()
	s.checkCrashingPart()
	eventually(s.t, "all results are released", func() bool { return s.HeldResults() == 0 })
	for _, server := range s.allServers() {
		eventually(s.t, server.ID+" has no running requests", func() bool { return server.Running() == 0 })
	}
}

// checkQuarantine sends a request that crashes its server repeatedly, and checks that it is
// quarantined and that other requests are served.
func (s *soak) checkQuarantine() {
	s.SetPoison(poisonBody, poisonDowntime)
	for n := range 9 {
		q := newRequest("/advice/7")
		q.body = poisonBody
		s.ingresses[n%len(s.ingresses)].send(context.Background(), q)
		time.Sleep(poisonDowntime)
	}
	time.Sleep(quarantineDelay)
	before := s.CountRuns(poisonBody)
	for n, i := range s.ingresses {
		q := newRequest("/advice/7")
		q.body = poisonBody
		if a := i.send(context.Background(), q); a.err == nil && a.status == http.StatusOK {
			s.t.Errorf("%s served a request that crashes servers", i.name)
		}
		q = newRequest("/advice/7")
		q.body = fmt.Sprint("a sound board ", n)
		eventually(s.t, i.name+" serves other requests", func() bool { return i.send(context.Background(), q).status == http.StatusOK })
	}
	if runs := s.CountRuns(poisonBody); runs != before {
		s.t.Errorf("a request that crashes servers was run after its quarantine: %d runs before, %d after", before, runs)
	}
}

// checkCrashingPart sends requests with a prompt part that crashes engines, all of them different, and checks that
// the part is quarantined and that requests with the parts beside it are served.
func (s *soak) checkCrashingPart() {
	s.SetPoisonPart(crashingPart, poisonDowntime)
	for n := range 12 {
		s.ingresses[n%len(s.ingresses)].send(context.Background(), newPartRequest(crashingPart))
		time.Sleep(poisonDowntime)
	}
	time.Sleep(quarantineDelay)
	before := len(s.PartArrivals())
	for _, i := range s.ingresses {
		if a := i.send(context.Background(), newPartRequest(crashingPart)); a.status != http.StatusServiceUnavailable {
			s.t.Errorf("%s answered a request whose prompt crashes servers with status %d", i.name, a.status)
		}
		eventually(s.t, i.name+" serves other requests", func() bool {
			return i.send(context.Background(), newPartRequest("0dd5")).status == http.StatusOK
		})
	}
	if arrivals := len(s.PartArrivals()); arrivals != before {
		s.t.Errorf("requests with a quarantined part reached servers: %d before, %d after", before, arrivals)
	}
	s.t.Logf("%d servers crashed on a prompt part", len(s.PartCrashes()))
}

// checkCalls compares what callers received with what servers ran. At least a quarter of the
// requests must have been served before checkRates, which lets most of them be refused. Those that could not be
// served do not count.
func (s *soak) checkCalls() {
	s.lock.Lock()
	calls := append([]call{}, s.calls...)
	s.lock.Unlock()
	served, hopeless := 0, 0
	for n, c := range calls {
		switch {
		case n >= s.callsBeforeRates:
		case c.answer.err == nil && c.answer.status == http.StatusOK:
			served++
		case s.couldNotBeServed(c):
			hopeless++
		}
		s.checkCall(c)
	}
	s.checkStreams()
	s.checkBudgets(calls)
	for _, violation := range s.Violations() {
		s.t.Error(violation)
	}
	if served*4 < s.callsBeforeRates-hopeless {
		s.t.Errorf("only %d of %d requests were served, without %d that could not be", served, s.callsBeforeRates, hopeless)
	}
	s.t.Logf("%d requests, %d served, %d could not be; %d while rates were stated", s.callsBeforeRates, served, hopeless, len(calls)-s.callsBeforeRates)
}

func (s *soak) checkCall(c call) {
	q, a := c.request, c.answer
	runs := s.Runs(q.id)
	fail := func(violation string) {
		s.t.Errorf("%s %s: %s; status %d, error %v, runs %d", q.id, q.target, violation, a.status, a.err, len(runs))
	}
	maxRuns := 1
	if strings.HasPrefix(q.target, "/read") || strings.HasPrefix(q.target, "/text") || strings.HasPrefix(q.target, "/review") {
		maxRuns = 2
	}
	if len(runs) > maxRuns {
		fail("it was run more often than its route allows")
	}
	for _, r := range runs {
		if r.Body != q.body || r.Target != q.target || r.Header.Get("X-Verbenaroad-Tenant") != "workshop" {
			fail("it was changed before it reached the server")
		}
	}
	if a.err != nil {
		return
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if len(runs) > 0 && maxRuns == 1 {
			fail("it is reported as not run, but was run")
		}
	case http.StatusOK:
		s.checkAnswer(c, fail)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		fail("the status is unexpected")
	}
}

// checkAnswer checks that an answer with status 200 belongs to its request and is complete.
func (s *soak) checkAnswer(c call, fail func(string)) {
	q, a := c.request, c.answer
	if serviceOf(q) != "models" {
		if !strings.HasSuffix(a.body, " to "+q.id) || !strings.HasPrefix(a.body, "answer of ") {
			fail("the answer belongs to another request: " + a.body)
		}
		return
	}
	if eventIDs(a.body) != "1,2,3,4,5,6" {
		fail("the stream ended without an error but has the events " + eventIDs(a.body))
	}
	if strings.Count(a.body, "data: "+q.id) != 6 {
		fail("the stream has events of another request")
	}
}
