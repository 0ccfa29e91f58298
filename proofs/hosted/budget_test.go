package hosted_test

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// retryRatio and retrySlack are the retry budget of all deployments, defaultRetryWindow its window, and
	// retryWindow the window of the deployments of newRetryDeployment.
	retryRatio         = 0.2
	retrySlack         = 60
	defaultRetryWindow = 10 * time.Second
	retryWindow        = 4 * time.Second
	// retryCallers is the number of callers at each ingress.
	retryCallers = 4
	// returnPause is how long a caller waits after an attempt.
	returnPause = 300 * time.Millisecond
)

// retryLoad sends orders through all ingresses, also while these are down, and records when.
type retryLoad struct {
	stop    chan struct{}
	callers sync.WaitGroup

	lock sync.Mutex
	sent []time.Time
}

// newRetryDeployment returns a deployment whose plain servers refuse all orders, so that the ingresses
// repeat them at other servers.
func newRetryDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, 3)
	d.plainServers = append(d.plainServers, d.add(&hosted.Server{Service: "orders", Zone: "a1", WorkTime: 20 * time.Millisecond}))
	for _, i := range d.ingresses {
		i.setRetryBudget()
	}
	for _, s := range d.plainServers {
		s.SetRefusing(true)
	}
	return d
}

// setRetryBudget restarts an ingress with the retry budget of this file.
func (i *ingress) setRetryBudget() {
	i.t.Helper()
	text, err := os.ReadFile(i.configFile)
	if err != nil {
		i.t.Fatal(err)
	}
	changed := strings.Replace(string(text), "slack = 60\n", "slack = 60\nwindow = \"4s\"\n", 1)
	if err := os.WriteFile(i.configFile, []byte(changed), 0o600); err != nil {
		i.t.Fatal(err)
	}
	i.kill()
	i.start()
	eventually(i.t, i.name+" is ready", i.isReady)
}

func (d *deployment) startRetryLoad() *retryLoad {
	l := &retryLoad{stop: make(chan struct{})}
	for _, i := range d.ingresses {
		for range retryCallers {
			l.callers.Add(1)
			go l.run(i)
		}
	}
	return l
}

func (l *retryLoad) run(i *ingress) {
	defer l.callers.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(returnPause):
		}
		l.lock.Lock()
		l.sent = append(l.sent, time.Now())
		l.lock.Unlock()
		i.send(context.Background(), newRequest("/order/1"))
	}
}

// end stops the callers and returns when they sent requests.
func (l *retryLoad) end() []time.Time {
	close(l.stop)
	l.callers.Wait()
	return l.sent
}

// listRepeats returns when attempts arrived at one of the servers that had arrived at one before, in order.
func listRepeats(servers []*hosted.Server) []time.Time {
	all := []hosted.Attempt{}
	for _, s := range servers {
		all = append(all, s.Attempts()...)
	}
	slices.SortFunc(all, func(a, b hosted.Attempt) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	seen := map[string]bool{}
	repeats := []time.Time{}
	for _, a := range all {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	return repeats
}

// checkRetryBudget checks the repeats in each window that begins with one. The requests are those of the
// window, of the one before it or of the one half a window before it, whichever are most.
func checkRetryBudget(t *testing.T, window time.Duration, sent, repeats []time.Time) {
	t.Helper()
	most := 0
	for _, from := range repeats {
		requests := 0
		for _, before := range []time.Duration{0, window / 2, window} {
			requests = max(requests, countFrom(sent, from.Add(-before), window))
		}
		count := countFrom(repeats, from, window)
		most = max(most, count)
		if allowed := retryRatio*float64(requests) + retrySlack; float64(count) > allowed {
			t.Errorf("%d repeats within %v, allowed are %.0f for %d requests", count, window, allowed, requests)
			return
		}
	}
	t.Logf("%d repeats, at most %d within %v", len(repeats), most, window)
}

// countFrom returns how many of the times are in the window that begins at a time.
func countFrom(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// restart stops ingresses at the same time and starts them again.
func restart(ingresses []*ingress, stop func(*ingress)) {
	stopped := sync.WaitGroup{}
	for _, i := range ingresses {
		stopped.Go(func() { stop(i) })
	}
	stopped.Wait()
	for _, i := range ingresses {
		i.start()
	}
}

// terminate stops an ingress with SIGTERM and waits for its end.
func (i *ingress) terminate() {
	i.signal(syscall.SIGTERM)
	<-i.exited
}

// Guards against more retries than the budget of all ingresses allows because each start of an ingress
// may use a whole part of it.
func TestRetriesStayWithinBudgetAcrossRestarts(t *testing.T) {
	for _, c := range []struct {
		name      string
		restarted int
		stop      func(*ingress)
		storeAway bool
	}{
		{"all", 3, (*ingress).kill, false},
		{"one", 1, (*ingress).kill, false},
		{"all without the store", 3, (*ingress).kill, true},
		{"all by a signal", 3, (*ingress).terminate, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newRetryDeployment(t)
			time.Sleep(retryWindow) // the ingresses have been started long enough
			load := d.startRetryLoad()
			time.Sleep(time.Second)
			if c.storeAway {
				d.Store.SetFault(2, hosted.StoreSilent)
			}
			for range 3 {
				restart(d.ingresses[3-c.restarted:], c.stop)
				time.Sleep(retryWindow / 4)
			}
			time.Sleep(retryWindow / 2)
			sent, repeats := load.end(), listRepeats(d.plainServers)
			is.True(len(repeats) > 0) // the servers refused orders that were then repeated
			checkRetryBudget(t, retryWindow, sent, repeats)
		})
	}
}

// Guards against an ingress that repeats no requests for a while after it was restarted, on a calm day, although
// the others know that it has spent few of its retries.
func TestRestartedIngressRepeatsRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	i := d.ingresses[0]
	time.Sleep(time.Second) // the others keep what it has spent
	i.kill()
	i.start()
	eventually(t, "the ingress is ready", i.isReady)
	eventually(t, "the ingress knows of its earlier run", func() bool { return len(i.output.lines("event=repeats-recalled")) == 1 })
	for range 5 {
		d.plainServers[0].SetFaults(hosted.RefuseNotRun)
		q := newRequest("/order/1")
		is.Equal(i.send(context.Background(), q).status, http.StatusOK)
		is.Equal(d.Runs(q.id)[0].Server, d.plainServers[1].ID)
	}
}
