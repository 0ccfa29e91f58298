package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// commonPart is the first prompt part of all requests of these tests, crashingPart the part that crashes
	// engines.
	commonPart   = "5c1e07a2"
	crashingPart = "bad0c0de"
	// partDowntime is how long an engine that a part crashed stays down.
	partDowntime = 700 * time.Millisecond
	// crashingInterval is the time between two requests with the crashing part.
	crashingInterval = 400 * time.Millisecond
	// partContact is the time after the fifth crash within which all ingresses know of the part, and
	// maxPartArrivals how many more requests with it may reach engines from then on.
	partContact     = 4 * time.Second
	maxPartArrivals = 3
	// soundCallers is the number of callers of sound requests at each ingress.
	soundCallers = 3
)

// newPartRequest returns a stream whose prompt has the given second part. No two are alike.
func newPartRequest(part string) request {
	q := newRequest("/review/1")
	q.body = "sheet " + q.id
	q.header = map[string]string{
		"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "1000,50",
		"X-Verbenaroad-Prefix-Hash":   fmt.Sprintf("%s:400,%s:150,%s:50", commonPart, part, q.id),
		"X-Verbenaroad-Segment-Count": "0,0", "X-Verbenaroad-Segment-Key": "7c1e07a291bd",
	}
	return q
}

// newPartDeployment returns three ingresses with enough engines that some are up while others are down.
func newPartDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, 3)
	for n := range 6 {
		d.engines = append(d.engines, d.add(&hosted.Server{
			Service: "models", Zone: []string{"a1", "b1"}[n%2], Events: 6, EventInterval: 30 * time.Millisecond,
		}))
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" has seen all engines", func() bool { return len(i.output.lines("event=server-seen", "service=models")) >= 8 })
	}
	return d
}

// partLoad sends requests with the crashing part by turns at all ingresses, and sound requests that share
// their key and first part.
type partLoad struct {
	deployment *deployment
	stop       chan struct{}
	callers    sync.WaitGroup

	lock sync.Mutex
	// sound holds the sound requests.
	sound []soundRequest
}

type soundRequest struct {
	sentAt time.Time
	begun  bool
}

func (d *deployment) startPartLoad() *partLoad {
	l := &partLoad{deployment: d, stop: make(chan struct{})}
	for _, i := range d.ingresses {
		for n := range soundCallers {
			l.callers.Add(1)
			go l.runSound(i, fmt.Sprintf("%s%d", i.name[len(i.name)-1:], n))
		}
	}
	return l
}

func (l *partLoad) hasEnded() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *partLoad) runSound(i *ingress, session string) {
	defer l.callers.Done()
	for n := 0; !l.hasEnded(); n++ {
		sentAt := time.Now()
		a := i.send(context.Background(), newPartRequest(fmt.Sprintf("5e55%s%d", session, n%8)))
		l.lock.Lock()
		l.sound = append(l.sound, soundRequest{sentAt: sentAt, begun: a.status == http.StatusOK && strings.Contains(a.body, "id: 1\n")})
		l.lock.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// startCrashing begins to send requests with the crashing part.
func (l *partLoad) startCrashing() {
	l.deployment.SetPoisonPart(crashingPart, partDowntime)
	l.callers.Add(1)
	go l.runCrashing()
}

func (l *partLoad) runCrashing() {
	defer l.callers.Done()
	for n := 0; !l.hasEnded(); n++ {
		i := l.deployment.ingresses[n%len(l.deployment.ingresses)]
		l.callers.Add(1)
		go l.runCrashingRequest(i)
		time.Sleep(crashingInterval)
	}
}

func (l *partLoad) runCrashingRequest(i *ingress) {
	defer l.callers.Done()
	i.send(context.Background(), newPartRequest(crashingPart))
}

func (l *partLoad) end() {
	close(l.stop)
	l.callers.Wait()
}

// shareBegun returns the share of the sound requests within a time that began at their first attempt.
func (l *partLoad) shareBegun(from, to time.Time) float64 {
	sent, begun := 0, 0
	for _, s := range l.sound {
		if s.sentAt.Before(from) || s.sentAt.After(to) {
			continue
		}
		sent++
		if s.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(sent, 1))
}

// awaitCrashes waits until the part has crashed n engines.
func (d *deployment) awaitCrashes(n int) {
	d.t.Helper()
	eventually(d.t, fmt.Sprint(n, " engines have crashed"), func() bool { return len(d.PartCrashes()) >= n })
}

// checkPart checks the requests with the crashing part that reached engines, and that sound requests begin at
// least half as often from twice partContact after the fifth crash on as before the first.
func (l *partLoad) checkPart(t *testing.T, startedAt time.Time) {
	t.Helper()
	is := is.New(t)
	crashes := l.deployment.PartCrashes()
	fifth := crashes[min(len(crashes), 5)-1]
	late := 0
	for _, at := range l.deployment.PartArrivals() {
		if at.After(fifth.Add(partContact)) {
			late++
		}
	}
	before := l.shareBegun(startedAt, crashes[0].Add(-time.Second/2))
	after := l.shareBegun(fifth.Add(2*partContact), time.Now())
	t.Logf("%d crashes; %d requests with the part came later than %v after the fifth; sound requests that began: %.3f before, %.3f after",
		len(crashes), late, partContact, before, after)
	is.True(late <= maxPartArrivals)
	is.True(after >= before/2)
}

// Guards against requests that are all different crashing one engine after the other because they share a part
// of their prompts, and against the refusal of sound requests that share another part or the key with them.
// Meanwhile ingresses are killed, or do not hear the store.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	for name, disturb := range map[string]func(d *deployment){
		"undisturbed": func(*deployment) {},
		"one after the other is killed": func(d *deployment) {
			for n, i := range d.ingresses {
				d.awaitCrashes(2 + n)
				restart([]*ingress{i}, (*ingress).kill)
			}
		},
		"all are killed": func(d *deployment) {
			d.awaitCrashes(3)
			restart(d.ingresses, (*ingress).kill)
		},
		"one does not hear the store": func(d *deployment) { d.Store.SetFault(0, hosted.StoreSilent) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newPartDeployment(t)
			startedAt := time.Now()
			load := d.startPartLoad()
			time.Sleep(2 * time.Second)
			load.startCrashing()
			disturb(d)
			d.awaitCrashes(4)
			time.Sleep(2*partContact + 3*time.Second)
			load.end()
			load.checkPart(t, startedAt)
			d.Store.SetFault(0, hosted.NoStoreFault)
			for _, i := range d.ingresses {
				eventually(t, i.name+" is ready", i.isReady)
			}
			d.checkPartIsRefused(t)
		})
	}
}

// checkPartIsRefused checks that no ingress sends a request with the crashing part to an engine, also after
// a restart of all, and that each serves others.
func (d *deployment) checkPartIsRefused(t *testing.T) {
	t.Helper()
	is := is.New(t)
	before := len(d.PartArrivals())
	restart(d.ingresses, (*ingress).kill)
	for _, i := range d.ingresses {
		eventually(t, i.name+" is ready", i.isReady)
		is.Equal(i.send(context.Background(), newPartRequest(crashingPart)).status, http.StatusServiceUnavailable)
		eventually(t, i.name+" serves other requests", func() bool {
			return i.send(context.Background(), newPartRequest("0dd5")).status == http.StatusOK
		})
	}
	is.Equal(len(d.PartArrivals()), before)
}

// Guards against the refusal of requests because engines that crash for other reasons had requests with the same
// prompt parts at hand, most of which have been served before.
func TestPartsOfBystandersAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := newPartDeployment(t)
	startedAt := time.Now()
	load := d.startPartLoad()
	time.Sleep(time.Second)
	crashedAt := time.Now()
	for n := range 16 {
		engine := d.engines[n%len(d.engines)]
		engine.Crash()
		time.Sleep(300 * time.Millisecond)
		is.NoErr(engine.Restart())
	}
	endedAt := time.Now()
	time.Sleep(time.Second)
	load.end()
	t.Logf("sound requests that began: %.3f before, %.3f meanwhile, %.3f after", load.shareBegun(startedAt, crashedAt),
		load.shareBegun(crashedAt, endedAt), load.shareBegun(endedAt, time.Now()))
	for _, i := range d.ingresses {
		is.Equal(len(i.output.lines("event=quarantine-seen")), 0)
	}
}
