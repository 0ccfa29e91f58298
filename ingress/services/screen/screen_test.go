package screen_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/screen"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

const (
	request = poison.ID("7c1e07a291bd")
	service = "engines"
	// trialPause is how long a quarantine holds until its only trial.
	trialPause = 100 * time.Millisecond
	patience   = 5 * time.Second
)

// world is two ingresses whose screens tell each other, the store that both hear of, and servers
// that are down.
type world struct {
	t       *testing.T
	lock    sync.Mutex
	screens map[string]*screen.Screen
	// owner counts for all requests.
	owner    string
	cut      bool
	failures int
	writes   int
	view     state.View
	up       bool
}

// peer is the world as one of its ingresses sees it.
type peer struct {
	*world
	name string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, screens: map[string]*screen.Screen{}, owner: "b"}
	for _, name := range []string{"a", "b"} {
		w.screens[name] = screen.NewScreen(screen.Options{
			Peers: peer{w, name}, Store: w, Codec: record.Codec{}, Prober: w, Limit: 3,
			Trials: poison.TrialSchedule{trialPause}, Log: zap.NewNop(),
		})
	}
	return w
}

func (p peer) Rank(string) []string {
	if p.owner == "a" {
		return []string{"a", "b"}
	}
	return []string{"b", "a"}
}

func (p peer) Self() string { return p.name }

func (p peer) ReportCrash(_ context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error) {
	if p.cut {
		return nil, errors.New("cut off")
	}
	return p.screens[name].ServeCrash(c), nil
}

func (p peer) ReportServed(_ context.Context, name string, s *wire.Served) error {
	p.screens[name].ServeServed(s)
	return nil
}

func (w *world) IsUp(context.Context, netip.AddrPort) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.up
}

func (w *world) Put(_ context.Context, key string, value []byte, _ uint64) error {
	q, err := record.Codec{}.ReadQuarantine(value)
	if err != nil {
		return err
	}
	return w.write(func(all map[poison.ID]site.Quarantine) {
		q.Revision = uint64(w.writes) //nolint:gosec // a small number
		all[poison.ID(record.Codec{}.QuarantineID(key))] = q
	})
}

func (w *world) PutIf(ctx context.Context, key string, value []byte, revision uint64) error {
	w.lock.Lock()
	current := w.view.Quarantines[request].Revision
	w.lock.Unlock()
	if current != revision {
		return errors.New("it has changed")
	}
	return w.Put(ctx, key, value, 0)
}

func (w *world) Remove(_ context.Context, key string) error {
	return w.write(func(all map[poison.ID]site.Quarantine) { delete(all, poison.ID(record.Codec{}.QuarantineID(key))) })
}

// write changes the quarantines and shows them to both ingresses, unless the write is to fail.
func (w *world) write(change func(all map[poison.ID]site.Quarantine)) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.failures > 0 {
		w.failures--
		return errors.New("the store is away")
	}
	w.writes++
	all := map[poison.ID]site.Quarantine{}
	for id, q := range w.view.Quarantines {
		all[id] = q
	}
	change(all)
	w.view.Quarantines = all
	w.show()
	return nil
}

// show shows the view to both ingresses; called under the lock.
func (w *world) show() {
	for _, s := range w.screens {
		v := w.view
		s.TakeView(&v)
	}
}

// setVersion has all servers run other software.
func (w *world) setVersion(version string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.view.Servers = map[string][]site.Server{service: {{ID: "s", Service: service, Version: version}}}
	w.show()
}

// crash reports attempts, one after the other, each of which crashed a server.
func (w *world) crash(name string, times int, version string) {
	for range times {
		sent := time.Now()
		time.Sleep(2 * time.Millisecond)
		w.screens[name].NoteBroken(request, site.Server{ID: sent.String(), Service: service, Version: version}, sent)
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) eventually(what string, check func() bool) {
	w.t.Helper()
	for ends := time.Now().Add(patience); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(ends) {
			w.t.Fatal("not in time: " + what)
		}
	}
}

func (w *world) isQuarantined() (a, b bool) {
	return w.screens["a"].IsQuarantined(request), w.screens["b"].IsQuarantined(request)
}

// Guards against a request that each ingress lets through until it has itself seen enough crashes.
func TestCrashesAtAllIngressesAreCountedTogether(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.crash("a", 2, "v1")
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("b", 1, "v1")
	w.eventually("both refuse it", func() bool { a, b := w.isQuarantined(); return a && b })
}

// Guards against a quarantine that is lost since the store was away when it was decided.
func TestQuarantineIsWrittenOnceTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.failures = 2
	w.crash("a", 3, "v1")
	w.eventually("who reported it refuses it", func() bool { a, b := w.isQuarantined(); return a && b })
	is.Equal(w.writes, 0)
	w.eventually("it is written", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.writes == 1
	})
}

// Guards against crashes that nobody counts while the ingress that counts cannot be reached.
func TestCrashesAreCountedHereWhereTheOwnerIsLost(t *testing.T) {
	w := newWorld(t)
	w.cut = true
	w.crash("a", 3, "v1")
	w.eventually("it is quarantined", func() bool { a, _ := w.isQuarantined(); return a })
}

// Guards against a common request that is refused for good since it was at several crashed servers.
func TestQuarantineOfAServedRequestEnds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.screens["a"].NoteServed(request)
	w.crash("b", 3, "v1")
	w.eventually("it was quarantined and let go", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.writes == 2
	})
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("b", 1, "v1")
	_, b = w.isQuarantined()
	is.True(!b) // it is counted anew
}

// Guards against a request that is held for poison since its connections were reset.
func TestServerThatIsUpHasNotCrashed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.up = true
	w.crash("a", 5, "v1")
	time.Sleep(50 * time.Millisecond)
	a, b := w.isQuarantined()
	is.True(!a && !b)
}

// Guards against a request that is refused for good though the fault in its servers was mended, and
// against one that crashes many servers anew after each release.
func TestNewSoftwareLiftsTheQuarantine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.setVersion("v1")
	w.crash("a", 3, "v1")
	w.eventually("it is quarantined", func() bool { a, b := w.isQuarantined(); return a && b })
	w.setVersion("v2")
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("a", 1, "v2")
	w.eventually("one crash is enough", func() bool { a, b := w.isQuarantined(); return a && b })
}

// quarantine has the request quarantined.
func (w *world) quarantine() {
	w.t.Helper()
	w.setVersion("v1")
	w.crash("a", 3, "v1")
	w.eventually("it is quarantined", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return len(w.view.Quarantines) == 1
	})
}

// Guards against a bystander that is refused for good: it is tried again, once and by one ingress.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.quarantine()
	for _, s := range w.screens {
		is.True(!s.TakeTrial(context.Background(), request))
	}
	time.Sleep(trialPause)
	is.True(!w.screens["a"].TakeTrial(context.Background(), request)) // the other one counts
	is.True(w.screens["b"].TakeTrial(context.Background(), request))
	a, b := w.isQuarantined()
	is.True(a && b)
	time.Sleep(2 * trialPause)
	is.True(!w.screens["b"].TakeTrial(context.Background(), request)) // there is one trial

	w.screens["b"].NoteServed(request)
	w.eventually("it is let go", func() bool { a, b := w.isQuarantined(); return !a && !b })
}

// Guards against trials at several ingresses that each take themselves for the one that counts.
func TestTrialIsTakenByOneIngress(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.quarantine()
	time.Sleep(trialPause)
	is.True(w.screens["b"].TakeTrial(context.Background(), request))
	w.owner = "a"
	is.True(!w.screens["a"].TakeTrial(context.Background(), request))
}
