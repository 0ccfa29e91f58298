package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

// sendRaw opens a connection, sends the text and closes the connection.
func sendRaw(t testing.TB, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// hasApplied returns a function that reports whether the ingress has applied a version of the
// configuration.
func (i *ingress) hasApplied(version int) func() bool {
	return func() bool {
		return len(i.output.lines("event=config-applied", fmt.Sprintf("version=%d ", version))) == 1
	}
}

// Guards against a new version that is refused as a whole, with the keys that it removes and the routes that it moves,
// since a stage of one route takes results of a stage with a higher number; and against stages that are then run in
// the order of their numbers.
func TestConfigurationWithStagesInAnyOrderIsApplied(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	changed := routes()
	changed[2]["Stages"] = []map[string]any{
		{"Service": "encoders", "After": []int{1}, "SizeBytes": 1000},
		{"Service": "encoders", "After": []int{}, "SizeBytes": 1000},
	}
	version := d.PutConfig(changed, services(), []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-2"}}})
	for _, i := range d.ingresses {
		eventually(t, "the version is in force", i.hasApplied(version))
		q := newRequest("/order/1")
		is.Equal(i.send(context.Background(), q).status, http.StatusUnauthorized)
		q = newReview()
		q.key = "key-2"
		got := i.send(context.Background(), q)
		is.Equal(got.status, http.StatusOK)
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
		handles := strings.Split(d.Runs(q.id)[0].Header.Get("X-Verbenaroad-Input-Count"), ",")
		is.Equal(len(handles), 2) // two pieces of stage 0, each of them from three of stage 1
		for _, handle := range handles {
			is.True(strings.Contains(handle, q.id+"-0-"))
		}
	}
	is.Equal(d.Violations(), []string{})
}

// A new configuration removes a key and some routes. Every ingress must apply it, which should take
// about a second, and must ignore an older version that is written after it.
func TestConfigurationChange(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	version := d.PutConfig(routes()[:1], services(), []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-2"}}})
	for _, i := range d.ingresses {
		eventually(t, "the version is in force", i.hasApplied(version))
	}
	d.Store.Put("op/config", map[string]any{"Version": version - 1, "Routes": routes(), "Services": services()})
	eventually(t, "the older version is ignored", func() bool {
		return len(d.ingresses[0].output.lines("event=config-kept")) == 1
	})
	for _, i := range d.ingresses {
		q := newRequest("/order/1")
		is.Equal(i.send(context.Background(), q).status, http.StatusUnauthorized)
		q.key = "key-2"
		is.Equal(i.send(context.Background(), q).status, http.StatusOK)
		q.target = "/read/1"
		is.Equal(i.send(context.Background(), q).status, http.StatusNotFound)
	}
}

// The store fails for one ingress and serves the other; each kind of store fault is tested. A
// change of the configuration must reach the first ingress through its peer.
func TestChangeReachesIngressWithoutStoreThroughPeer(t *testing.T) {
	for _, fault := range []hosted.StoreFault{hosted.StoreBusy, hosted.StoreReset, hosted.StoreSilent} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 2)
			d.Store.SetFault(0, fault)
			version := d.PutConfig(routes(), services(), []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-2"}}})
			writtenAt := time.Now()
			eventually(t, "the version is in force", d.ingresses[0].hasApplied(version))
			is.True(time.Since(writtenAt) < 6*time.Second)
			is.Equal(len(d.ingresses[0].output.lines("event=config-applied", "source=peer")), 1)
			is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusUnauthorized)
			// After a watch that returned a change the ingress pauses before the next watch, so it
			// may not have met the fault yet. The fault stays until the ingress has logged it.
			eventually(t, "the store outage is logged", func() bool {
				return len(d.ingresses[0].output.lines("event=store-lost", "what=watch")) == 1
			})
			d.Store.SetFault(0, hosted.NoStoreFault)
			eventually(t, "the store recovery is logged", func() bool {
				return len(d.ingresses[0].output.lines("event=store-regained", "what=watch")) == 1
			})
		})
	}
}

// While the ingress cannot reach the store, a server starts to drain, a new configuration is
// written and the store compacts its history. A watch can then no longer return the two changes;
// the ingress must get both from a new listing.
func TestChangesAreListedAfterCompaction(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.Store.SetFault(0, hosted.StoreBusy)
	d.plainServers[0].Register("draining")
	version := d.PutConfig(routes(), services(), tenants())
	d.Store.Compact()
	d.Store.SetFault(0, hosted.NoStoreFault)
	eventually(t, "the version is in force", d.ingresses[0].hasApplied(version))
	eventually(t, "the drain is observed", func() bool { return len(d.ingresses[0].output.lines(d.plainServers[0].ID, "state=draining")) == 1 })
	q := newRequest("/order/1")
	is.Equal(d.ingresses[0].send(context.Background(), q).status, http.StatusOK)
	is.Equal(d.Runs(q.id)[0].Server, d.plainServers[1].ID)
}

// A server starts to drain while requests keep arriving. It must get no request from one second
// later on, and none after its entry has been removed.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.plainServers[0].Register("draining")
	drainingSince := time.Now()
	for time.Since(drainingSince) < 2*time.Second {
		for _, i := range d.ingresses {
			is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
		}
	}
	d.Store.Remove("servers/" + d.plainServers[0].ID)
	for _, run := range d.plainServers[0].Runs() {
		is.True(run.StartedAt.Sub(drainingSince) < time.Second)
	}
}

// The store is unavailable for two seconds, and when it recovers the entries of the plain servers
// have expired. Requests must still be served, because the servers are healthy. A server that does
// not register again must be dropped after a while.
func TestEntriesExpireDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.Store.SetFault(0, hosted.StoreReset)
	time.Sleep(2 * time.Second)
	for _, s := range d.plainServers {
		d.Store.Remove("servers/" + s.ID)
	}
	d.Store.SetFault(0, hosted.NoStoreFault)
	eventually(t, "the store recovery is logged", func() bool {
		return len(d.ingresses[0].output.lines("event=store-regained", "what=watch")) == 1
	})
	is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	d.plainServers[1].Register("ready")
	eventually(t, "the server that did not register again is dropped", func() bool {
		return len(d.ingresses[0].output.lines("event=servers-not-back", d.plainServers[0].ID)) == 1
	})
	q := newRequest("/order/1")
	is.Equal(d.ingresses[0].send(context.Background(), q).status, http.StatusOK)
	is.Equal(d.Runs(q.id)[0].Server, d.plainServers[1].ID)
}

// An ingress gets SIGTERM in the middle of a stream, while the load balancer still sends it new
// connections. It must at once report itself as not ready, serve the requests that still arrive,
// complete every answer before it exits, and end its registration: the other ingress removes it at once,
// and it is gone from the store when its lease ends.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.EventInterval = 200 * time.Millisecond
	}
	answers := make(chan answer, 1)
	go func() { answers <- d.ingresses[0].send(context.Background(), newReview()) }()
	time.Sleep(300 * time.Millisecond)
	d.ingresses[0].signal(syscall.SIGTERM)
	eventually(t, "the ingress is not ready", func() bool { return !d.ingresses[0].isReady() })
	late := d.ingresses[0].send(context.Background(), newRequest("/order/1"))
	is.Equal(late.status, http.StatusOK)
	got := <-answers
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	<-d.ingresses[0].exited
	is.True(strings.Contains(string(d.Store.Value("verbenaroad/ingress/a1/ingress-0")), `"ended":true`))
	eventually(t, "the other ingress removes it", func() bool {
		return len(d.ingresses[1].output.lines("event=ingress-removed", "ingress=ingress-0")) == 1
	})
	eventually(t, "its registration is gone", func() bool {
		return slices.Equal(d.Store.Keys("verbenaroad/ingress/"), []string{"verbenaroad/ingress/b1/ingress-1"})
	})
}

// Each ingress in turn freezes, among them the one that batches and places for the others. The
// others must go on serving requests, and so must the frozen one once it resumes. Finally one
// ingress is killed, and another one must still serve.
func TestFrozenBatcher(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	is.Equal(eventIDs(d.ingresses[0].send(context.Background(), newReview()).body), "1,2,3,4,5,6")
	for _, frozen := range d.ingresses {
		frozen.signal(syscall.SIGSTOP)
		for _, i := range d.ingresses {
			if i == frozen {
				continue
			}
			got := i.send(context.Background(), newReview())
			is.NoErr(got.err)
			is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
		}
		frozen.signal(syscall.SIGCONT)
		got := frozen.send(context.Background(), newReview())
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	}
	d.ingresses[1].kill()
	is.Equal(eventIDs(d.ingresses[0].send(context.Background(), newReview()).body), "1,2,3,4,5,6")
	is.Equal(d.Violations(), []string{})
}

// Guards against an ingress that the machine does not run for a while, and that answers late without saying
// why.
func TestFrozenIngressReportsThatItsLoopsWereLate(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	before := len(d.ingresses[0].output.lines("event=loops-late"))
	d.ingresses[0].signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	d.ingresses[0].signal(syscall.SIGCONT)
	eventually(t, "a line says so", func() bool { return len(d.ingresses[0].output.lines("event=loops-late")) > before })
	is.Equal(len(d.ingresses[0].output.lines("event=loops-late")), before+1)
}

// All ingresses are killed at once. After their restart they must read their state from the store
// and serve again within five seconds.
func TestAllIngressesAreKilled(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, i := range d.ingresses {
		i.kill()
	}
	for _, i := range d.ingresses {
		i.start()
	}
	startedAt := time.Now()
	for _, i := range d.ingresses {
		eventually(t, "the ingress is ready again", i.isReady)
		is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	}
	is.True(time.Since(startedAt) < 5*time.Second)
}

// An operator changes the settings file twice, the first time with a mistake. The ingress must keep
// its settings and log the mistake, and must apply the second file.
func TestReload(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	i := d.ingresses[0]
	good, err := os.ReadFile(i.configFile)
	is.NoErr(err)
	is.NoErr(os.WriteFile(i.configFile, append([]byte("nonsense = 1\n"), good...), 0o600))
	i.signal(syscall.SIGHUP)
	eventually(t, "the mistake is logged", func() bool { return len(i.output.lines("event=reload", "outcome=kept", "nonsense")) == 1 })
	is.NoErr(os.WriteFile(i.configFile, []byte(strings.Replace(string(good), "ratio = 0.2", "ratio = 0.1", 1)), 0o600))
	i.signal(syscall.SIGHUP)
	eventually(t, "the correct file is applied", func() bool {
		return len(i.output.lines("event=reload", "outcome=applied", "repeats-ratio=0.1")) == 1
	})
	is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
}

// An ingress starts while the store does not answer it, but answers another ingress. It must get
// everything from the seed peers in its settings, of which the first is down, and serve.
func TestStartWithoutStoreThroughSeedPeer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.Store.SetFault(1, hosted.StoreSilent)
	late := newIngress(t, d.World, "late", "b1", 1, netip.MustParseAddrPort("127.0.0.1:1"), d.ingresses[0].peerAddress)
	eventually(t, "the ingress is ready", late.isReady)
	is.Equal(late.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
}

// Guards against changes that an ingress sees later than its settings say, since its open watch of the store went silent
// while all other calls were answered.
func TestChangeIsSeenInTimeAfterTheWatchWentSilent(t *testing.T) {
	const wait = 4 * time.Second
	is := is.New(t)
	d := newDeployment(t, 1)
	i := d.ingresses[0]
	i.kill()
	settings, err := os.ReadFile(i.configFile)
	is.NoErr(err)
	is.NoErr(os.WriteFile(i.configFile, bytes.Replace(settings, []byte(`wait = "500ms"`), []byte(`wait = "4s"`), 1), 0o600))
	i.start()
	eventually(t, "the ingress is ready again", i.isReady)
	for range 3 {
		time.Sleep(500 * time.Millisecond) // a watch has just begun
		d.Store.SilenceWatches()
		silent := time.Now()
		time.Sleep(time.Second)
		version := d.putKeys("key-1")
		eventually(t, "the version is in force", i.hasApplied(version))
		is.True(time.Since(silent) < wait)
	}
}
