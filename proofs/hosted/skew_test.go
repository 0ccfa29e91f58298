package hosted_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// evenRate is the number of requests per second before the skew, skewedRate that during it.
	evenRate, skewedRate = 40, 160
	// skewedShare is one in how many requests goes to another ingress than the first one then.
	skewedShare = 10
	// skewContact is the time from the beginning of the skew until the ingress must have adapted to it.
	skewContact = 4 * time.Second
)

// skewLoad sends orders, each over a connection of its own, and counts those that an ingress has read.
type skewLoad struct {
	deployment *deployment
	callers    sync.WaitGroup

	lock sync.Mutex
	// read and served count the requests of the current phase.
	read, served int
}

// run sends requests at a rate for some time. Pick returns the number of the ingress of a request.
func (l *skewLoad) run(perSecond int, d time.Duration, pick func(n int) int) (share float64) {
	l.lock.Lock()
	l.read, l.served = 0, 0
	l.lock.Unlock()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range int(d.Seconds() * float64(perSecond)) {
		<-ticker.C
		l.callers.Add(1)
		go l.runRequest(pick(n))
	}
	l.callers.Wait()
	return float64(l.served) / float64(max(l.read, 1))
}

// runRequest sends an order, and sends it to the next ingress if its connection was closed.
func (l *skewLoad) runRequest(n int) {
	defer l.callers.Done()
	ingresses := l.deployment.ingresses
	for try := range ingresses {
		a := ingresses[(n+try)%len(ingresses)].send(context.Background(), newRequest("/order/1"))
		if a.err != nil {
			continue
		}
		l.lock.Lock()
		l.read++
		if a.status == http.StatusOK {
			l.served++
		}
		l.lock.Unlock()
		return
	}
}

// Guards against an ingress that serves few of the requests that it reads while the load balancer hands it most new
// connections, and callers open more of them.
func TestMostNewConnectionsAtOneIngress(t *testing.T) {
	d := newDeployment(t, 3)
	l := &skewLoad{deployment: d}
	even := func(n int) int { return n % len(d.ingresses) }
	skewed := func(n int) int {
		if n%skewedShare == 0 {
			return 1 + n/skewedShare%2
		}
		return 0
	}
	before := l.run(evenRate, 2*time.Second, even)
	l.run(skewedRate, skewContact, skewed)
	after := l.run(skewedRate, 3*time.Second, skewed)
	t.Logf("served of those read: %.3f before, %.3f while most connections go to one ingress", before, after)
	if after < before*3/4 {
		t.Errorf("%.3f of the requests that were read are served, %.3f before", after, before)
	}
}
