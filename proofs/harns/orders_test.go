package harns_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/codes"
)

// Guards against an order that runs twice because a load balancer sends the caller's retry to
// another entry. The same order is sent to two entries at once and retried at both. It runs once,
// every answer is the same, and another body under the same key is refused.
func TestSameOrderAtTwoEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowOrderServer("ord-1", "300ms"), slowOrderServer("ord-2", "300ms")}})
	for n := range 4 {
		key := fmt.Sprintf("twice-%d", n)
		first, second := d.sendAsync(0, orderRequest(key)), d.sendAsync(1, orderRequest(key))
		answers := []reply{first.wait(), second.wait()}
		for _, r := range answers {
			if r.ok() {
				checkOrder(t, key, r)
				continue
			}
			// An entry whose tombstone request reached the agent before the other entry's dispatch has
			// taken over the key.
			is.True(r.failure.Name == "in-progress" || r.failure.Name == "tombstoned" && r.notRun())
		}
		again := []reply{d.retryOrder(0, key), d.retryOrder(1, key)}
		for _, r := range again {
			checkOrder(t, key, r)
		}
		is.True(sameBody(again[0], again[1]))
		is.Equal(d.countRuns(key), 1)
	}
	other := orderRequest("twice-0")
	other.body = `{"spruce-boards":200}`
	r := d.send(1, other)
	is.Equal(r.failure.Name, "key-conflict")
	is.Equal(d.countRuns("twice-0"), 1)
}

// Guards against an order that runs twice or is refused because the store applies the writes of its
// claim and loses the answers to them. The caller gets the answer of a single run, and a retry at
// the other entry returns the same answer.
func TestLostAnswersOfClaimWrites(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1"), orderServer("ord-2")}})
	for _, count := range []int{1, 2, 3} {
		key := fmt.Sprintf("lost-%d", count)
		d.kv.setFault(fault.Settings{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: count}})
		first := d.send(0, orderRequest(key))
		d.kv.setFault(fault.Settings{})
		checkOrder(t, key, first)
		again := d.retryOrder(1, key)
		is.True(sameBody(first, again))
		is.Equal(d.countRuns(key), 1)
	}
}

// Guards against replies that contradict the ledger while the store loses half of its answers. An
// answered order has run once, one refused as not run has not run, and none runs twice. Once the
// store works again, a retry of each order returns its answer.
func TestStoreAnswersLostAtRandom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1"), orderServer("ord-2")}})
	d.kv.setFault(fault.Settings{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 5}})
	sent := map[string]*pending{}
	for n := range 40 {
		key := fmt.Sprintf("random-%d", n)
		sent[key] = d.sendAsync(n%2, orderRequest(key))
	}
	replies := map[string]reply{}
	for key, p := range sent {
		replies[key] = p.wait()
	}
	runs := d.runsByKey()
	for key, r := range replies {
		is.True(runs[key] <= 1)
		is.True(r.err == nil)
		if r.ok() {
			checkOrder(t, key, r)
			is.Equal(runs[key], 1)
		}
		if r.notRun() && runs[key] != 0 {
			t.Fatalf("order %s: %s, but the ledger has a run", key, r)
		}
	}
	d.kv.setFault(fault.Settings{})
	for key := range replies {
		checkOrder(t, key, d.retryOrder(1, key))
		is.Equal(d.countRuns(key), 1)
	}
}

// Guards against orders that run without a claim while the store is down, slow, frozen or answers
// with status 500. At-most-once execution cannot be guaranteed then, so orders are refused as not
// run with Retry-After. After the fault, a retry at the other entry runs the order once.
func TestOrdersDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1"), orderServer("ord-2")}})
	checkOrder(t, "before", d.send(0, orderRequest("before")))
	for name, settings := range map[string]fault.Settings{
		"down":   {Down: true},
		"slow":   {Slow: fault.Duration(3 * time.Second)},
		"frozen": {Freeze: true},
		"status": {Status: 500},
	} {
		d.kv.setFault(settings)
		for n := range 2 {
			key := fmt.Sprintf("%s-%d", name, n)
			r := d.send(n, orderRequest(key))
			is.Equal(r.failure.Name, "claims-unavailable")
			is.Equal(r.failure.Outcome, codes.OutcomeNotRun)
			is.True(r.retryAfter != "")
			is.Equal(d.countRuns(key), 0)
		}
		d.kv.setFault(fault.Settings{})
		for n := range 2 {
			key := fmt.Sprintf("%s-%d", name, n)
			checkOrder(t, key, d.retryOrder(1-n, key))
			is.Equal(d.countRuns(key), 1)
		}
	}
	is.Equal(d.countRuns("before"), 1)
}

// Guards against a lost answer when the store goes down while an order runs. The caller still gets
// the answer. The agent writes it once the store recovers, and a retry at the other entry returns
// the same answer.
func TestStoreOutageDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowOrderServer("ord-1", "1s")}})
	running := d.sendAsync(0, orderRequest("during"))
	d.waitRuns("during", 1)
	d.kv.setFault(fault.Settings{Down: true})
	first := running.wait()
	checkOrder(t, "during", first)
	r := d.send(1, orderRequest("during"))
	is.Equal(r.failure.Name, "claims-unavailable")
	d.kv.setFault(fault.Settings{})
	is.True(sameBody(first, d.retryOrder(1, "during")))
	is.Equal(d.countRuns("during"), 1)
}

// Guards against an order that runs again after its agent is killed. One order runs and one is
// queued; both are reported as outcome unknown. The agent's record of its attempts is lost, so the
// outcome stays unknown permanently, and retries after the restart run neither of the orders.
func TestAgentKilledWithOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := slowOrderServer("ord-1", "1500ms")
	b.slots = 1
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	running := d.sendAsync(0, orderRequest("running"))
	d.waitRuns("running", 1)
	waiting := d.sendAsync(1, orderRequest("waiting"))
	waitFor(t, "one order in the queue", func() bool { return d.agents["ord-1"].debugVars().Verbena.Load.Queued == 1 })
	d.agents["ord-1"].kill()
	is.Equal(running.wait().failure.Outcome, codes.OutcomeUnknown)
	is.Equal(waiting.wait().failure.Outcome, codes.OutcomeUnknown)
	d.restartAgent("ord-1")
	for n, key := range []string{"running", "waiting"} {
		r := d.retryOrder(n, key)
		is.Equal(r.failure.Name, "outcome-unknown")
	}
	is.Equal(d.countRuns("running"), 1)
	is.Equal(d.countRuns("waiting"), 0)
	checkOrder(t, "next", d.retryOrder(0, "next"))
}

// Guards against an order that runs twice because its entry is killed while it runs. Retries at the
// other entry, during the run and after it, lead to the answer of the single run.
func TestEntryKilledDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowOrderServer("ord-1", "1s")}})
	lost := d.sendAsync(0, orderRequest("orphan"))
	d.waitRuns("orphan", 1)
	d.entries[0].kill()
	is.True(lost.wait().err != nil)
	r := d.send(1, orderRequest("orphan"))
	is.True(r.ok() || r.failure.Name == "in-progress")
	checkOrder(t, "orphan", d.retryOrder(1, "orphan"))
	is.Equal(d.countRuns("orphan"), 1)
}

// Guards against an order that runs twice because its entry is killed while the write of its claim
// is in flight, and the write takes effect later. Retries at the other entry, before and after
// that, run the order once.
func TestEntryKilledDuringClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{
		entries: 2, backends: []backend{orderServer("ord-1")},
		entryFlags: []string{"--platform.store-timeout", "10s"},
	})
	taken, sent := d.kv.callsByKind()["write"], d.entries[0].storeCalls().Writes
	d.kv.setFault(fault.Settings{Methods: []string{"PUT"}, Freeze: true})
	lost := d.sendAsync(0, orderRequest("claimed"))
	waitFor(t, "the write of the claim", func() bool { return d.entries[0].storeCalls().Writes > sent })
	time.Sleep(200 * time.Millisecond) // the entry counts the write just before it sends it
	d.entries[0].kill()
	is.True(lost.wait().err != nil)
	r := d.send(1, orderRequest("claimed"))
	is.Equal(r.failure.Outcome, codes.OutcomeNotRun)
	is.Equal(d.countRuns("claimed"), 0)
	d.kv.setFault(fault.Settings{})
	waitFor(t, "the writes of both claims to take effect", func() bool { return d.kv.callsByKind()["write"] >= taken+2 })
	checkOrder(t, "claimed", d.retryOrder(1, "claimed"))
	is.Equal(d.countRuns("claimed"), 1)
}

// Guards against a false outcome or a second run when an agent freezes with one order running and
// one queued. Both callers receive outcome unknown. After the agent resumes, retries return the
// answers, and each order has run once.
func TestAgentFrozenWithOrderQueued(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := slowOrderServer("ord-1", "1s")
	b.slots = 1
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	running := d.sendAsync(0, orderRequest("running"))
	d.waitRuns("running", 1)
	late := orderRequest("late")
	late.deadline = "3s"
	waiting := d.sendAsync(1, late)
	waitFor(t, "one order in the queue", func() bool { return d.agents["ord-1"].debugVars().Verbena.Load.Queued == 1 })
	d.agents["ord-1"].freeze()
	r := waiting.wait()
	is.Equal(r.failure.Outcome, codes.OutcomeUnknown)
	is.Equal(running.wait().failure.Outcome, codes.OutcomeUnknown)
	d.agents["ord-1"].resume()
	checkOrder(t, "running", d.retryOrder(1, "running"))
	checkOrder(t, "late", d.retryOrder(0, "late"))
	is.Equal(d.countRuns("running"), 1)
	is.Equal(d.countRuns("late"), 1)
}

// Guards against an order that runs although it was reported as not run. It is sent to a frozen
// agent, waits in a socket buffer, and is read after its deadline. If it was reported as not run,
// it must not run then; a retry leads to a single run.
func TestOrderBufferedAtFrozenAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1")}})
	d.agents["ord-1"].freeze()
	buffered := orderRequest("buffered")
	buffered.deadline = "1s"
	r := d.send(0, buffered)
	is.True(!r.ok())
	operationResult := r.failure.Outcome
	d.agents["ord-1"].resume()
	checkOrder(t, "next", d.retryOrder(0, "next"))
	if operationResult == codes.OutcomeNotRun {
		is.Equal(d.countRuns("buffered"), 0)
	}
	checkOrder(t, "buffered", d.retryOrder(1, "buffered"))
	is.Equal(d.countRuns("buffered"), 1)
}

// Guards against a lost answer when the caller disconnects while its order runs. The run continues,
// and a retry at the other entry returns its answer, also after restarts of the agent and of the
// first entry.
func TestStoredAnswerReturnedOnRetry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowOrderServer("ord-1", "600ms")}})
	hasty := orderRequest("hasty")
	hasty.callerTimeout = 300 * time.Millisecond
	lost := d.sendAsync(0, hasty)
	d.waitRuns("hasty", 1)
	is.True(lost.wait().err != nil)
	first := d.retryOrder(1, "hasty")
	checkOrder(t, "hasty", first)
	d.agents["ord-1"].waitFor(func() bool { return d.agents["ord-1"].debugVars().Verbena.Unwritten == 0 }, "the answer to be written")
	d.restartAgent("ord-1")
	is.True(sameBody(first, d.retryOrder(1, "hasty")))
	d.entries[0].kill()
	d.entries[0] = d.startEntry(0)
	d.waitEntry(d.entries[0])
	is.True(sameBody(first, d.retryOrder(0, "hasty")))
	is.Equal(d.countRuns("hasty"), 1)
}

// Guards against an order that runs again because the backend server's connection closes before the
// answer is complete. The order is not reported as not run, and neither the HTTP client nor a retry
// at either entry runs it again.
func TestBackendClosesWithoutAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := orderServer("ord-1")
	b.behindRelay = true
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	for _, bytes := range []int{0, 1, 20, 150} {
		key := fmt.Sprintf("closed-%d", bytes)
		d.backendRelays["ord-1"].CutAfter(bytes)
		r := d.send(0, orderRequest(key))
		is.True(!r.ok())
		is.True(r.failure.Outcome != codes.OutcomeNotRun)
		for n := range 2 {
			again := d.send(n, orderRequest(key))
			is.True(!again.ok())
			is.True(again.failure.Outcome != codes.OutcomeNotRun)
		}
		is.Equal(d.countRuns(key), 1)
	}
	checkOrder(t, "next", d.retryOrder(1, "next"))
}
