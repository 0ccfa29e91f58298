package screen_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
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
	// trialDelay is the time from the start of a quarantine to its only trial.
	trialDelay = 100 * time.Millisecond
	timeout    = 5 * time.Second
)

var requestIdentity = poison.Identity{Request: request} //nolint:gochecknoglobals // a constant in all but syntax

// world simulates two ingresses whose screens report to each other, the store that both read, and
// servers that are down unless serversUp is set.
type world struct {
	t       *testing.T
	lock    sync.Mutex
	screens map[string]*screen.Screen
	// owner is the ingress that owns all requests.
	owner         string
	partitioned   bool
	failingWrites int
	writes        int
	view          state.View
	serversUp     bool
	// names are the ingresses in the order in which they own everything, if there are more than two. lost
	// ones cannot be reached.
	names []string
	lost  map[string]bool
}

// peer implements screen.Peers for one of the ingresses.
type peer struct {
	*world
	name string
}

func newWorld(t *testing.T) *world { return newWorldOf(t, "a", "b") }

func newWorldOf(t *testing.T, names ...string) *world {
	t.Helper()
	w := &world{t: t, screens: map[string]*screen.Screen{}, owner: "b", names: names, lost: map[string]bool{}}
	for _, name := range names {
		w.screens[name] = screen.NewScreen(screen.Options{
			Peers: peer{w, name}, Store: w, Codec: record.Codec{}, Prober: w, Limit: 3,
			Trials: poison.TrialSchedule{trialDelay}, Log: zap.NewNop(),
		})
	}
	return w
}

func (p peer) Rank(string) []string {
	if len(p.names) > 2 {
		p.lock.Lock()
		defer p.lock.Unlock()
		return slices.DeleteFunc(slices.Clone(p.names), func(name string) bool { return p.lost[name] })
	}
	if p.owner == "a" {
		return []string{"a", "b"}
	}
	return []string{"b", "a"}
}

func (p peer) Self() string { return p.name }

func (p peer) ReportCrash(_ context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error) {
	if p.partitioned {
		return nil, errors.New("the ingress is partitioned")
	}
	return p.screens[name].ServeCrash(c), nil
}

func (p peer) ReportPartCrash(_ context.Context, name string, c *wire.PartCrash) (*wire.PartCrashNoted, error) {
	if p.partitioned {
		return nil, errors.New("the ingress is partitioned")
	}
	return p.screens[name].ServePartCrash(c), nil
}

func (p peer) ReportServed(_ context.Context, name string, s *wire.Served) error {
	p.screens[name].ServeServed(s)
	return nil
}

func (w *world) IsUp(context.Context, netip.AddrPort) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.serversUp
}

func (w *world) Put(_ context.Context, key string, value []byte, _ site.Lease) (site.Revision, error) {
	q, err := record.Codec{}.ReadQuarantine(value)
	if err != nil {
		return site.Revision{}, err
	}
	return site.Revision{}, w.write(func(all map[poison.ID]site.Quarantine) {
		q.Revision = site.Revision{Number: uint64(w.writes)} //nolint:gosec // a small number
		all[poison.ID(record.Codec{}.QuarantineID(key))] = q
	})
}

func (w *world) PutIf(ctx context.Context, key string, value []byte, revision site.Revision) (site.Revision, error) {
	w.lock.Lock()
	current := w.view.Quarantines[poison.ID(record.Codec{}.QuarantineID(key))].Revision
	w.lock.Unlock()
	if current != revision {
		return site.Revision{}, errors.New("the record has changed")
	}
	return w.Put(ctx, key, value, site.Lease{})
}

func (w *world) Remove(_ context.Context, key string) (site.Revision, error) {
	return site.Revision{}, w.write(func(all map[poison.ID]site.Quarantine) { delete(all, poison.ID(record.Codec{}.QuarantineID(key))) })
}

// write changes the quarantines and publishes them to both ingresses, unless the write is to fail.
func (w *world) write(change func(all map[poison.ID]site.Quarantine)) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.failingWrites > 0 {
		w.failingWrites--
		return errors.New("the store is unavailable")
	}
	w.writes++
	all := map[poison.ID]site.Quarantine{}
	for id, q := range w.view.Quarantines {
		all[id] = q
	}
	change(all)
	w.view.Quarantines = all
	w.publishView()
	return nil
}

// publishView publishes the view to both ingresses. The caller holds the lock.
func (w *world) publishView() {
	for _, s := range w.screens {
		v := w.view
		s.SetView(&v)
	}
}

// setVersion replaces the software version of all servers.
func (w *world) setVersion(version string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.view.Servers = map[string][]site.Server{service: {{ID: "s", Service: service, Version: version}}}
	w.publishView()
}

// crash records a number of attempts at an ingress, one after another, each of which crashed another
// server.
func (w *world) crash(name string, times int, version string) {
	for range times {
		sent := time.Now()
		time.Sleep(2 * time.Millisecond)
		w.screens[name].RecordCrash(requestIdentity, site.Server{ID: sent.String(), Service: service, Version: version}, sent, false)
		time.Sleep(10 * time.Millisecond)
	}
}

// eventually waits until check returns true.
func (w *world) eventually(what string, check func() bool) {
	w.t.Helper()
	for ends := time.Now().Add(timeout); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(ends) {
			w.t.Fatal("timed out waiting until " + what)
		}
	}
}

func (w *world) isQuarantinedAt(name string, i poison.Identity) bool {
	_, quarantined := w.screens[name].FindQuarantine(i)
	return quarantined
}

func (w *world) isQuarantined() (a, b bool) {
	return w.isQuarantinedAt("a", requestIdentity), w.isQuarantinedAt("b", requestIdentity)
}

// Guards against a request crashing servers through every ingress because each ingress counts only
// the crashes that it observes itself.
func TestCrashesAtAllIngressesAreCountedTogether(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.crash("a", 2, "v1")
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("b", 1, "v1")
	w.eventually("both ingresses refuse the request", func() bool { a, b := w.isQuarantined(); return a && b })
}

// Guards against a quarantine being lost because the store was unavailable when it was decided.
func TestQuarantineIsWrittenOnceTheStoreRecovers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.failingWrites = 2
	w.crash("a", 3, "v1")
	w.eventually("the reporting ingress and the owner refuse the request", func() bool { a, b := w.isQuarantined(); return a && b })
	is.Equal(w.writes, 0)
	w.eventually("the quarantine is written", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.writes == 1
	})
}

// Guards against crashes not being counted while the owner of the request cannot be reached.
func TestCrashesAreCountedLocallyIfTheOwnerIsUnreachable(t *testing.T) {
	w := newWorld(t)
	w.partitioned = true
	w.crash("a", 3, "v1")
	w.eventually("the request is quarantined", func() bool { a, _ := w.isQuarantined(); return a })
}

// Guards against a harmless request being refused forever because it was running on several servers
// when they crashed.
func TestQuarantineOfAServedRequestEnds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.screens["a"].RecordServed(request, "v1")
	w.crash("b", 3, "v1")
	w.eventually("the quarantine is written and removed", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.writes == 2
	})
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("b", 1, "v1")
	_, b = w.isQuarantined()
	is.True(!b) // counting has started again from zero
}

// Guards against a request being quarantined because its connections were reset.
func TestBrokenAttemptsAtServersThatAreUpAreNotCounted(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.serversUp = true
	w.crash("a", 5, "v1")
	time.Sleep(50 * time.Millisecond)
	a, b := w.isQuarantined()
	is.True(!a && !b)
}

// Guards against a request being refused forever although the fault in its servers was fixed, and
// against a request that again crashes several servers after each new version.
func TestNewSoftwareVersionEndsTheQuarantine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.setVersion("v1")
	w.crash("a", 3, "v1")
	w.eventually("the request is quarantined", func() bool { a, b := w.isQuarantined(); return a && b })
	w.setVersion("v2")
	a, b := w.isQuarantined()
	is.True(!a && !b)
	w.crash("a", 1, "v2")
	w.eventually("a single crash of the new version quarantines it again", func() bool { a, b := w.isQuarantined(); return a && b })
}

// quarantine causes the crashes that quarantine the request.
func (w *world) quarantine() {
	w.t.Helper()
	w.setVersion("v1")
	w.crash("a", 3, "v1")
	w.eventually("the request is quarantined", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return len(w.view.Quarantines) == 1
	})
}

// Guards against a harmless request being refused forever. It must be tried again, once and through
// one ingress.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.quarantine()
	for _, s := range w.screens {
		is.True(!s.TakeTrial(context.Background(), request))
	}
	time.Sleep(trialDelay)
	is.True(!w.screens["a"].TakeTrial(context.Background(), request)) // it is not the owner
	is.True(w.screens["b"].TakeTrial(context.Background(), request))
	a, b := w.isQuarantined()
	is.True(a && b)
	time.Sleep(2 * trialDelay)
	is.True(!w.screens["b"].TakeTrial(context.Background(), request)) // the schedule has only one trial

	w.screens["b"].RecordServed(request, "v1")
	w.eventually("the quarantine is removed", func() bool { a, b := w.isQuarantined(); return !a && !b })
}

// Guards against a trial being granted by several ingresses that each consider themselves the owner.
func TestTrialIsGrantedByOneIngress(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.quarantine()
	time.Sleep(trialDelay)
	is.True(w.screens["b"].TakeTrial(context.Background(), request))
	w.owner = "a"
	is.True(!w.screens["a"].TakeTrial(context.Background(), request))
}

// Guards against a request that is never quarantined since an earlier software version has served it, or since this one
// has, long ago; and against a quarantine that ends since another version has served the request.
func TestRequestThatAnotherVersionServedIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		for _, s := range w.screens {
			s.RecordServed(request, "v1")
		}
		w.crash("a", 3, "v2")
		time.Sleep(time.Second)
		a, b := w.isQuarantined()
		is.True(!a && !b) // it was served a moment ago
		time.Sleep(10 * time.Second)
		w.crash("a", 3, "v2")
		time.Sleep(time.Second)
		a, b = w.isQuarantined()
		is.True(a && b)
		w.screens["a"].RecordServed(request, "v1")
		time.Sleep(time.Second)
		a, b = w.isQuarantined()
		is.True(a && b)
		w.screens["a"].RecordServed(request, "v2")
		time.Sleep(time.Second)
		a, b = w.isQuarantined()
		is.True(!a && !b)
	})
}
