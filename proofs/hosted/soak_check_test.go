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

// call is one attempt of a caller with its end.
type call struct {
	request request
	answer  answer
	// left is set where the caller gave up.
	left bool
}

// runCaller asks one ingress on a kept connection until the faults are over.
func (s *soak) runCaller(n int) {
	defer s.work.Done()
	source := rand.New(rand.NewPCG(s.seed, uint64(100+n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		q := newRequest([]string{"/order/1", "/read/1", "/review/1", "/advice/1"}[source.IntN(4)])
		if strings.HasPrefix(q.target, "/review") {
			q = newReview()
		}
		q.patience = 4 * time.Second
		patience := q.patience
		leaves := source.IntN(8) == 0
		if leaves {
			patience = time.Duration(20+source.IntN(400)) * time.Millisecond
		}
		a := s.ask(client, s.ingresses[n%len(s.ingresses)], q, patience)
		s.lock.Lock()
		s.calls = append(s.calls, call{request: q, answer: a, left: leaves})
		s.lock.Unlock()
		time.Sleep(time.Duration(source.IntN(40)) * time.Millisecond)
	}
}

// ask sends a request that net/http does not send again by itself.
func (s *soak) ask(client *http.Client, i *ingress, q request, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := struct{ io.Reader }{bytes.NewReader([]byte(q.body))}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+q.target, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.ContentLength = int64(len(q.body))
	r.Header.Set("X-Verbenaroad-Attempt-Id", q.id)
	r.Header.Set("X-Verbenaroad-Deadline-Ms", fmt.Sprint(q.patience.Milliseconds()))
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

// settle ends the faults and waits until everything is served again.
func (s *soak) settle() {
	for _, r := range s.relays {
		r.Drop() // what went silent stays so
	}
	for _, server := range s.all() {
		server.SetFaults()
	}
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" is ready again", i.isReady)
	}
	version := s.PutConfig(routes(), services(), []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-1"}}})
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" has the last version", i.hasVersion(version))
		for _, target := range []string{"/order/1", "/review/1", "/advice/1"} {
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
			s.t.Errorf("%s: a key that was taken away is answered with %d", i.name, a.status)
		}
	}
	close(s.stop)
	s.work.Wait()
	s.settlePoison()
	eventually(s.t, "all results are released", func() bool { return s.Held() == 0 })
	for _, server := range s.all() {
		eventually(s.t, server.ID+" is at rest", func() bool { return server.Running() == 0 })
	}
}

// settlePoison has a request that crashes servers come again and again, and checks that it is
// quarantined and that others are served.
func (s *soak) settlePoison() {
	s.SetPoison(poisonBody, poisonDown)
	for n := range 9 {
		q := newRequest("/advice/7")
		q.body = poisonBody
		s.ingresses[n%len(s.ingresses)].send(context.Background(), q)
		time.Sleep(poisonDown)
	}
	time.Sleep(quarantineTime)
	before := s.CountRuns(poisonBody)
	for n, i := range s.ingresses {
		q := newRequest("/advice/7")
		q.body = poisonBody
		if a := i.send(context.Background(), q); a.err == nil && a.status == http.StatusOK {
			s.t.Errorf("%s served a request that crashes servers", i.name)
		}
		q = newRequest("/advice/7")
		q.body = fmt.Sprint("a sound board ", n)
		eventually(s.t, i.name+" serves others", func() bool { return i.send(context.Background(), q).status == http.StatusOK })
	}
	if runs := s.CountRuns(poisonBody); runs != before {
		s.t.Errorf("a request that crashes servers was run %d times, then %d", before, runs)
	}
}

// check compares what callers saw with what servers ran.
func (s *soak) check() {
	s.lock.Lock()
	calls := append([]call{}, s.calls...)
	s.lock.Unlock()
	served := 0
	for _, c := range calls {
		if c.answer.err == nil && c.answer.status == http.StatusOK {
			served++
		}
		s.checkCall(c)
	}
	for _, note := range s.Notes() {
		s.t.Error(note)
	}
	if served*4 < len(calls) {
		s.t.Errorf("%d of %d requests were served", served, len(calls))
	}
	s.t.Logf("%d requests, %d served", len(calls), served)
}

func (s *soak) checkCall(c call) {
	q, a := c.request, c.answer
	runs := s.Runs(q.id)
	fail := func(what string) {
		s.t.Errorf("%s %s: %s; status %d, error %v, runs %d", q.id, q.target, what, a.status, a.err, len(runs))
	}
	most := 1
	if strings.HasPrefix(q.target, "/read") || strings.HasPrefix(q.target, "/review") {
		most = 2
	}
	if len(runs) > most {
		fail("it ran too often")
	}
	for _, r := range runs {
		if r.Body != q.body || r.Target != q.target || r.Header.Get("X-Verbenaroad-Tenant") != "workshop" {
			fail("it was changed on its way")
		}
	}
	if a.err != nil {
		return
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if len(runs) > 0 && most == 1 {
			fail("it is said not to have run")
		}
	case http.StatusOK:
		s.checkAnswer(c, fail)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		fail("it should be allowed")
	}
}

// checkAnswer tells whether an answer that looks whole is the request's own and whole.
func (s *soak) checkAnswer(c call, fail func(string)) {
	q, a := c.request, c.answer
	if strings.HasPrefix(q.target, "/order") || strings.HasPrefix(q.target, "/read") {
		if !strings.HasSuffix(a.body, " to "+q.id) || !strings.HasPrefix(a.body, "answer of ") {
			fail("the answer is not its own: " + a.body)
		}
		return
	}
	if events(a.body) != "1,2,3,4,5,6" {
		fail("the stream looks complete with " + events(a.body))
	}
	if strings.Count(a.body, "data: "+q.id) != 6 {
		fail("events of another request")
	}
}
