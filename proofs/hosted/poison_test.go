package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// poisonBody is the body of a request that crashes every server that runs it.
	poisonBody = "a board that splits the saw"
	// poisonDowntime is how long a server that such a request crashed stays down.
	poisonDowntime = 300 * time.Millisecond
	// quarantineDelay is the time within which all ingresses know of a quarantine.
	quarantineDelay = 2 * time.Second
)

// newPoisonDeployment returns a deployment in which requests with poisonBody crash their server. It
// has enough servers that some are still up after a few crashes.
func newPoisonDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, 3)
	for n := range 6 {
		zone := []string{"a1", "b1"}[n%2]
		d.plainServers = append(d.plainServers, d.add(&hosted.Server{Service: "orders", Zone: zone, WorkTime: 20 * time.Millisecond}))
		d.engines = append(d.engines, d.add(&hosted.Server{Service: "models", Zone: zone, Events: 6, EventInterval: 30 * time.Millisecond}))
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" has seen all backend servers", func() bool { return len(i.output.lines("event=server-seen")) >= 18 })
	}
	d.SetPoison(poisonBody, poisonDowntime)
	return d
}

// sendPoison sends a request with poisonBody repeatedly, each time to the next ingress.
func (d *deployment) sendPoison(is *is.I, target string, times int) {
	is.Helper()
	for n := range times {
		q := newRequest(target)
		q.body = poisonBody
		a := d.ingresses[n%len(d.ingresses)].send(context.Background(), q)
		is.True(a.status != http.StatusOK || a.err != nil)
		time.Sleep(100 * time.Millisecond)
	}
}

// A request that crashes its server arrives at different ingresses. Unless all of them recognize
// it, it crashes one server after the other. Its quarantine must outlast a restart of all
// ingresses.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, target := range []string{"/order/7", "/read/7", "/advice/7"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			d := newPoisonDeployment(t)
			d.sendPoison(is, target, 5)
			time.Sleep(quarantineDelay)
			before := d.CountRuns(poisonBody)
			is.True(before >= 3)
			d.sendPoison(is, target, 6)
			is.Equal(d.CountRuns(poisonBody), before)

			for n, i := range d.ingresses { // another request of the team on the same path
				q := newRequest(target)
				q.body = fmt.Sprint("a sound board ", n)
				eventually(t, "other requests are served", func() bool { return i.send(context.Background(), q).status == http.StatusOK })
			}
			for _, i := range d.ingresses {
				i.kill()
			}
			for _, i := range d.ingresses {
				i.start()
			}
			for _, i := range d.ingresses {
				eventually(t, i.name+" is ready", i.isReady)
			}
			d.sendPoison(is, target, 3)
			is.Equal(d.CountRuns(poisonBody), before)
		})
	}
}

// Many callers send the same request, and servers that are running it crash repeatedly for another
// reason. The request must not be quarantined.
func TestBystandersAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for range 4 {
		var group sync.WaitGroup
		for _, i := range d.ingresses {
			group.Go(func() { i.send(context.Background(), newRequest("/read/1")) })
		}
		time.Sleep(d.plainServers[0].WorkTime / 2)
		for _, s := range d.plainServers {
			s.Crash()
		}
		group.Wait()
		for _, s := range d.plainServers {
			is.NoErr(s.Restart())
		}
		for _, i := range d.ingresses {
			eventually(t, "reads are served", func() bool {
				return i.send(context.Background(), newRequest("/read/1")).status == http.StatusOK
			})
		}
	}
	for _, i := range d.ingresses {
		is.Equal(len(i.output.lines("event=quarantine-seen")), 0)
	}
}

// The items of one request crash every pool server that produces results for them. This request
// must be quarantined, but not the other requests that are in flight at the same time.
func TestRequestWhoseItemsCrashServersIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for n := range 6 {
		d.poolServers = append(d.poolServers, d.add(&hosted.Server{
			Service: "encoders", Zone: []string{"a1", "b1"}[n%2], WorkTime: 20 * time.Millisecond, MaxBatch: 8, MaxResults: 50,
		}))
	}
	const poisonKey = "00dead00beef"
	d.SetPoisonKey(poisonKey, poisonDowntime)
	sendPoisonItems := func(n int) {
		q := newReview()
		q.body = poisonBody
		q.header["X-Verbenaroad-Segment-Key"] = poisonKey
		is.True(d.ingresses[n%len(d.ingresses)].send(context.Background(), q).status != http.StatusOK)
	}
	var group sync.WaitGroup
	for n := range 6 {
		for _, i := range d.ingresses {
			group.Go(func() {
				q := newReview()
				q.body = fmt.Sprint("a sound board ", n)
				i.send(context.Background(), q)
			})
		}
		sendPoisonItems(n)
		group.Wait()
		time.Sleep(poisonDowntime + 100*time.Millisecond) // the servers have restarted
	}
	time.Sleep(quarantineDelay)
	before := d.countPoolCrashes()
	is.True(before >= 3)
	for n := range 6 {
		sendPoisonItems(n)
	}
	is.Equal(d.countPoolCrashes(), before)
	for n := range 6 {
		for _, i := range d.ingresses {
			q := newReview()
			q.body = fmt.Sprint("a sound board ", n)
			eventually(t, "bystanders are served", func() bool { return i.send(context.Background(), q).status == http.StatusOK })
		}
	}
}

// countPoolCrashes returns how often calls have crashed pool servers.
func (d *deployment) countPoolCrashes() int {
	crashes := 0
	for _, s := range d.poolServers {
		crashes += s.Crashes()
	}
	return crashes
}
