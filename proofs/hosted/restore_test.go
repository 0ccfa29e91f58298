package hosted_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// configTime is how long after its acknowledgement a configuration may not be in force yet.
	configTime = 2500 * time.Millisecond
	// awayTime is how long the store is away when it is restored: less than what counts as an outage.
	awayTime = 300 * time.Millisecond
	// lostWrites is how many writes a restore loses at least.
	lostWrites = 12
)

// writeOthers makes n writes that concern no ingress.
func (d *deployment) writeOthers(n int) {
	for i := range n {
		d.Store.Put("other/record", i)
	}
}

// restore restores the store while it answers no ingress, and then calls write before it answers again.
func (d *deployment) restore(b hosted.Backup, write func()) {
	for n := range d.ingresses {
		d.Store.SetFault(n, hosted.StoreReset)
	}
	time.Sleep(awayTime)
	d.Store.Restore(b)
	write()
	for n := range d.ingresses {
		d.Store.SetFault(n, hosted.NoStoreFault)
	}
}

// putKeys writes a configuration in which these are the keys.
func (d *deployment) putKeys(keys ...string) int {
	return d.putConfig([]map[string]any{{"Name": "workshop", "ApiKeys": keys}})
}

// putAndAwait writes a configuration with these keys and waits until it is in force everywhere.
func (d *deployment) putAndAwait(keys ...string) {
	d.t.Helper()
	version := d.putKeys(keys...)
	for _, i := range d.ingresses {
		eventually(d.t, i.name+" has applied the version", i.hasApplied(version))
	}
}

// checkInForce checks that a configuration written at the given time is in force in time.
func checkInForce(t *testing.T, i *ingress, version int, writtenAt time.Time) {
	t.Helper()
	for !i.hasApplied(version)() {
		if time.Since(writtenAt) > configTime {
			t.Errorf("%s does not have version %d in force %v after it was written", i.name, version, configTime)
			return
		}
		time.Sleep(pollInterval)
	}
}

// sendMixed sends requests of all kinds to the ingresses for a while.
func sendMixed(ingresses []*ingress, length time.Duration) {
	next := newMixedRequests()
	for began := time.Now(); time.Since(began) < length; {
		for _, i := range ingresses {
			i.send(context.Background(), next())
		}
	}
}

// Guards against a store that was restored from a copy and whose changes are refused as old from then on: at
// ingresses that watch it, at those that follow them, and at one that hears only of other ingresses; while the
// revisions are lower than before, and if they have passed the ones from before when it answers again.
func TestChangesAfterARestoreAreTaken(t *testing.T) {
	for name, otherWrites := range map[string]int{"revisions are lower": 0, "revisions are higher": 5 * lostWrites} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 4)
			b := d.Store.Backup()
			d.writeOthers(lostWrites)
			d.putAndAwait("key-1")
			version := 0
			d.restore(b, func() {
				d.WriteAgain()
				version = d.putKeys("key-1", "key-2")
				for _, server := range d.firstServers() {
					server.Register("draining")
				}
				d.writeOthers(otherWrites)
			})
			d.Store.SetFault(3, hosted.StoreSilent)
			answeredAt := time.Now()
			for _, i := range d.ingresses {
				checkInForce(t, i, version, answeredAt)
			}
			later, writtenAt := d.putKeys("key-1"), time.Now()
			for _, i := range d.ingresses {
				checkInForce(t, i, later, writtenAt)
			}
			sendMixed(d.ingresses, time.Until(answeredAt.Add(drainTime+requestTime+time.Second)))
			for _, server := range d.firstServers() {
				checkUnused(t, server, answeredAt.Add(drainTime+requestTime))
			}
		})
	}
}

// Guards against a store that was restored from a copy and with which older things come back: a key that was
// revoked, servers that have said that they leave or have left; at ingresses that knew, at one that starts just
// then for the first time, at one that starts again, and at one that hears only of other ingresses.
func TestNothingOlderComesBackAfterARestore(t *testing.T) {
	d := newDeployment(t, 4)
	d.putAndAwait("key-1", "key-2")
	b := d.Store.Backup()
	d.plainServers[0].Register("draining")
	d.poolServers[0].Register("draining")
	d.engines[0].Leave()
	for _, i := range d.ingresses {
		eventually(t, i.name+" has seen that a server left", func() bool { return len(i.output.lines("event=server-removed", d.engines[0].ID)) > 0 })
	}
	d.putAndAwait("key-1")
	d.ingresses[2].kill()
	d.restore(b, func() {})
	d.Store.SetFault(3, hosted.StoreSilent)
	since := time.Now()
	d.ingresses[2].start()
	eventually(t, "the ingress that was killed is ready again", d.ingresses[2].isReady)
	late := newIngress(t, d.World, "late", "a1", 0)
	eventually(t, "the new ingress is ready", late.isReady)
	all := append(slices.Clone(d.ingresses), late)
	check := func() {
		t.Helper()
		for _, i := range all {
			q := newRequest("/order/1")
			q.key = "key-2"
			if status := i.send(context.Background(), q).status; status != http.StatusUnauthorized {
				t.Errorf("%s answered a request with a revoked key with status %d", i.name, status)
			}
		}
		sendMixed(all, time.Second)
		for _, server := range d.firstServers() {
			checkUnused(t, server, since)
		}
	}
	check()
	d.WriteAgain()
	check()
}

// Guards against servers that registered after the copy was made from which the store was restored, and that
// are not used until they register again.
func TestServersThatARestoreLostAreKept(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for _, server := range d.plainServers {
		d.Store.Remove("servers/" + server.ID)
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" has dropped the servers", func() bool { return len(i.output.lines("event=server-removed")) >= len(d.plainServers) })
	}
	b := d.Store.Backup()
	for _, server := range d.plainServers {
		server.Register("ready")
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" serves", func() bool { return i.send(context.Background(), newRequest("/order/1")).status == http.StatusOK })
	}
	d.restore(b, func() {})
	sendOrders := func(length time.Duration) {
		for began := time.Now(); time.Since(began) < length; {
			for _, i := range d.ingresses {
				is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
			}
		}
	}
	sendOrders(time.Second)
	d.WriteAgain()
	sendOrders(4 * time.Second)
}

// Guards against an ingress that renews a lease which a restored store has given to another one, while its own
// registration is gone.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	d := newDeployment(t, 2)
	b := d.Store.Backup()
	first := newIngress(t, d.World, "first", "a1", 0)
	eventually(t, "it is registered", func() bool { return len(first.output.lines("event=registered")) > 0 })
	d.restore(b, func() {})
	second := newIngress(t, d.World, "second", "b1", 1)
	eventually(t, "it is registered", func() bool { return len(second.output.lines("event=registered")) > 0 })
	const leaseTime = 2 * time.Second
	time.Sleep(2 * leaseTime)
	for _, name := range []string{"first", "second", "ingress-0", "ingress-1"} {
		if !slices.ContainsFunc(d.Store.Keys("verbenaroad/ingress/"), func(key string) bool { return strings.HasSuffix(key, "/"+name) }) {
			t.Errorf("%s is not registered", name)
		}
	}
}

// Guards against a quarantine that a restored store has lost: the request reaches servers again, and nobody
// writes the quarantine again.
func TestLostQuarantineIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	b := d.Store.Backup()
	d.SetPoison(poisonBody, poisonDowntime)
	send := func(i *ingress) answer {
		q := newRequest("/advice/7")
		q.body = poisonBody
		return i.send(context.Background(), q)
	}
	eventually(t, "the request is quarantined", func() bool {
		for _, i := range d.ingresses {
			send(i)
		}
		return len(d.Store.Keys("verbenaroad/quarantine/")) > 0
	})
	for _, i := range d.ingresses {
		eventually(t, i.name+" knows the quarantine", func() bool { return len(i.output.lines("event=quarantine-seen")) > 0 })
	}
	time.Sleep(poisonDowntime)
	before := d.CountRuns(poisonBody)
	d.restore(b, func() {})
	late := newIngress(t, d.World, "late", "b1", 1)
	eventually(t, "the new ingress is ready", late.isReady)
	for _, i := range append(slices.Clone(d.ingresses), late) {
		is.Equal(send(i).status, http.StatusServiceUnavailable)
	}
	is.Equal(d.CountRuns(poisonBody), before)
	eventually(t, "the quarantine is in the store again", func() bool { return len(d.Store.Keys("verbenaroad/quarantine/")) > 0 })
}
