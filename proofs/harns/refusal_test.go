package harns_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/codes"
)

// Guards against orders that run, at once or later, although they were reported as not run, and
// against second runs. Short deadlines and callers that disconnect make queued orders expire,
// cancellations race with starts and claims come too late, while the store is slow or loses
// answers.
func TestNotRunRepliesMatchLedger(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one, two := slowOrderServer("ord-1", "20ms"), slowOrderServer("ord-2", "20ms")
	one.slots, two.slots = 4, 4
	d := deploy(t, plan{entries: 2, backends: []backend{one, two}})
	random := rand.New(rand.NewPCG(11, 4))
	replies := map[string]reply{}
	for wave, settings := range []fault.Settings{
		{},
		{Slow: fault.Duration(15 * time.Millisecond)},
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Probability: 0.3, Seed: 3}},
		{Slow: fault.Duration(120 * time.Millisecond)},
	} {
		d.kv.setFault(settings)
		sent := map[string]*pending{}
		for n := range 150 {
			key := fmt.Sprintf("storm-%d-%d", wave, n)
			q := orderRequest(key)
			q.deadline = fmt.Sprintf("%dms", 5+random.IntN(400))
			if random.IntN(3) == 0 {
				q.callerTimeout = time.Duration(5+random.IntN(300)) * time.Millisecond
			}
			sent[key] = d.sendAsync(n%2, q)
		}
		for key, p := range sent {
			replies[key] = p.wait()
		}
	}
	d.kv.setFault(fault.Settings{})
	counts := map[string]int{}
	check := func() {
		runs := d.runsByKey()
		for key, r := range replies {
			is.True(runs[key] <= 1)
			if r.notRun() && runs[key] > 0 {
				t.Fatalf("order %s: %s, but the ledger has a run", key, r)
			}
			if r.ok() {
				checkOrder(t, key, r)
				is.Equal(runs[key], 1)
			}
		}
	}
	check()
	for name, a := range d.agents {
		waitFor(t, "an empty queue at "+name, func() bool {
			load := a.debugVars().Verbena.Load
			return load.Running == 0 && load.Queued == 0
		})
	}
	for _, r := range replies {
		switch {
		case r.err != nil:
			counts["gone"]++
		case r.ok():
			counts["ok"]++
		default:
			counts[r.failure.Name+" "+string(r.failure.Outcome)]++
		}
		if r.err == nil && !r.ok() {
			is.True(r.failure.Outcome != "")
			if r.failure.Name == "canceled" {
				t.Fatalf("a caller that did not disconnect received canceled: %s", r)
			}
		}
	}
	check()
	t.Logf("replies by result: %v", counts)
	is.True(counts["ok"] > 0)
	refused := 0
	for _, r := range replies {
		if r.notRun() {
			refused++
		}
	}
	is.True(refused > 0)
	for key, r := range replies {
		if r.err == nil && r.failure.Outcome == codes.OutcomeUnknown || r.err != nil {
			got := d.retryOrder(0, key)
			runs := d.countRuns(key)
			is.True(runs <= 1)
			is.True(!got.ok() || runs == 1)
		}
	}
}

// Guards against a backend server that has asked for no further calls and gets them nevertheless, and
// against callers that wait although it is known that their calls cannot start in time.
func TestBackendServerThatAsksToWaitGetsNoCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 1, backends: []backend{orderServer("ord-1")}})
	const pause = 3 * time.Second
	server := d.servers["ord-1"]
	server.setFault(fault.Settings{Status: http.StatusTooManyRequests, RetryAfter: int(pause.Seconds())})
	first := d.send(0, clientRequest{method: http.MethodGet, path: "/v1/services/orders/orders/1", deadline: "10s"})
	is.Equal(first.status, http.StatusTooManyRequests)
	server.setFault(fault.Settings{})
	short := orderRequest("short")
	short.deadline = "1s"
	refused := d.send(0, short)
	is.True(refused.notRun())
	is.True(refused.took < time.Second)
	is.True(refused.retryAfter != "")
	served := d.send(0, orderRequest("long"))
	is.True(served.ok())
	is.True(served.sentAt.Add(served.took).Sub(first.sentAt) >= pause)
	is.Equal(d.countRuns("short"), 0)
	is.Equal(d.countRuns("long"), 1)
}
