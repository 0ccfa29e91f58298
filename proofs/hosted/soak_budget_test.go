package hosted_test

import (
	"slices"
	"strings"
	"sync"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// killIngresses kills all ingresses that no other fault has acquired, up to three times in a row.
func (s *soak) killIngresses() {
	acquired := []int{}
	for n := range s.ingresses {
		s.lock.Lock()
		if !s.inFault[n] {
			s.inFault[n] = true
			acquired = append(acquired, n)
		}
		s.lock.Unlock()
	}
	for range 1 + s.randomInt(3) {
		s.recordf("ingresses %v are killed", acquired)
		since := time.Now()
		killed := sync.WaitGroup{}
		for _, n := range acquired {
			killed.Go(s.ingresses[n].kill)
		}
		killed.Wait()
		time.Sleep(s.randomDelay(10, 500))
		for _, n := range acquired {
			s.ingresses[n].start()
		}
		s.recordf("ingresses %v start", acquired)
		s.lock.Lock()
		for _, n := range acquired {
			s.losses[n] = append(s.losses[n], timeRange{from: since, to: time.Now()})
		}
		s.lock.Unlock()
		time.Sleep(s.randomDelay(300, 2000))
	}
	for _, n := range acquired {
		s.releaseIngress(n)
	}
}

// killWhileRefused kills all ingresses while servers refuse requests.
func (s *soak) killWhileRefused() {
	refused := sync.WaitGroup{}
	refused.Go(s.refuseRequests)
	s.killIngresses()
	refused.Wait()
}

// refuseRequests makes the plain servers or the engines refuse all requests for a while.
func (s *soak) refuseRequests() {
	servers := [][]*hosted.Server{s.plainServers, s.engines}[s.randomInt(2)]
	s.recordf("the servers of %s refuse all requests", servers[0].Service)
	for _, server := range servers {
		server.SetRefusing(true)
	}
	since := time.Now()
	time.Sleep(s.randomDelay(1000, 6000))
	s.lock.Lock()
	s.refusals[servers[0].Service] = append(s.refusals[servers[0].Service], timeRange{from: since, to: time.Now()})
	s.lock.Unlock()
	for _, server := range servers {
		server.SetRefusing(false)
	}
	s.recordf("the servers of %s take requests again", servers[0].Service)
}

// couldNotBeServed reports whether a call was sent while all servers of its service refused requests, or to an
// ingress that did not run since killIngresses had killed it.
func (s *soak) couldNotBeServed(c call) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.ContainsFunc(slices.Concat(s.refusals[serviceOf(c.request)], s.losses[c.ingress]), func(r timeRange) bool {
		return c.sentAt.After(r.from) && c.sentAt.Before(r.to)
	})
}

// serviceOf returns the service of a request.
func serviceOf(q request) string {
	if strings.HasPrefix(q.target, "/order") || strings.HasPrefix(q.target, "/read") {
		return "orders"
	}
	if strings.HasPrefix(q.target, "/text") {
		return "encoders"
	}
	return "models"
}

// checkBudgets checks the repeats at the plain servers and at the engines, in each window.
func (s *soak) checkBudgets(calls []call) {
	plain, streams := []time.Time{}, []time.Time{}
	for _, c := range calls {
		switch serviceOf(c.request) {
		case "orders":
			plain = append(plain, c.sentAt)
		case "models":
			streams = append(streams, c.sentAt)
		}
	}
	s.lock.Lock()
	for _, stream := range s.streams {
		if !stream.isNovel {
			streams = append(streams, stream.sent...)
		}
	}
	s.lock.Unlock()
	checkRetryBudget(s.t, defaultRetryWindow, plain, listRepeats(s.plainServers))
	checkRetryBudget(s.t, defaultRetryWindow, streams, listRepeats(s.engines))
}
