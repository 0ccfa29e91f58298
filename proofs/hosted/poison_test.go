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
	// poisonBody is that of a request that crashes who runs it.
	poisonBody = "a board that splits the saw"
	// poisonDown is how long a crashed server is away.
	poisonDown = 300 * time.Millisecond
	// quarantineTime is within what time all ingresses know a quarantine.
	quarantineTime = 2 * time.Second
)

// newPoisoned returns a deployment with enough servers that some are up after a few crashes.
func newPoisoned(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, 3)
	for n := range 6 {
		zone := []string{"a1", "b1"}[n%2]
		d.plain = append(d.plain, d.add(&hosted.Server{Service: "orders", Zone: zone, Work: 20 * time.Millisecond}))
		d.engines = append(d.engines, d.add(&hosted.Server{Service: "models", Zone: zone, Events: 6, Gap: 30 * time.Millisecond}))
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" knows all servers", func() bool { return len(i.output.lines("event=server-seen")) >= 18 })
	}
	d.SetPoison(poisonBody, poisonDown)
	return d
}

// sendPoison sends a request that crashes servers to one ingress after the other.
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

// Guards against a request that crashes one server after the other, since no ingress knows it again.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, target := range []string{"/order/7", "/read/7", "/advice/7"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			d := newPoisoned(t)
			d.sendPoison(is, target, 5)
			time.Sleep(quarantineTime)
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

// Guards against a request that many send, and that is refused for good since it was at several servers that
// crashed for another reason.
func TestBystandersAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for range 4 {
		var group sync.WaitGroup
		for _, i := range d.ingresses {
			group.Go(func() { i.send(context.Background(), newRequest("/read/1")) })
		}
		time.Sleep(d.plain[0].Work / 2)
		for _, s := range d.plain {
			s.Crash()
		}
		group.Wait()
		for _, s := range d.plain {
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

// Guards against a request whose items crash the servers that make results for it, one after the
// other, and against its bystanders being refused for it.
func TestRequestWhoseItemsCrashServersIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for n := range 6 {
		d.pools = append(d.pools, d.add(&hosted.Server{
			Service: "encoders", Zone: []string{"a1", "b1"}[n%2], Work: 20 * time.Millisecond, Batch: 8, Room: 50,
		}))
	}
	const poisonKey = "00dead00beef"
	d.SetPoisonKey(poisonKey, poisonDown)
	sendOne := func(n int) {
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
		sendOne(n)
		group.Wait()
		time.Sleep(poisonDown + 100*time.Millisecond) // the servers are back
	}
	time.Sleep(quarantineTime)
	before := d.countCrashes()
	is.True(before >= 3)
	for n := range 6 {
		sendOne(n)
	}
	is.Equal(d.countCrashes(), before)
	for n := range 6 {
		for _, i := range d.ingresses {
			q := newReview()
			q.body = fmt.Sprint("a sound board ", n)
			eventually(t, "bystanders are served", func() bool { return i.send(context.Background(), q).status == http.StatusOK })
		}
	}
}

// countCrashes returns how often calls have crashed servers that make results.
func (d *deployment) countCrashes() int {
	crashes := 0
	for _, s := range d.pools {
		crashes += s.Crashes()
	}
	return crashes
}
