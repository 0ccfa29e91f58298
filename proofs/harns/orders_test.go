package harns_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/codes"
)

// A maker's application sends the same order to two entries at the same moment,
// and again later to both. One board is cut; whoever gets an answer gets the
// same one. The balancer had sent the caller's retry to the other entry.
func TestSameOrderAtTwoEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowDesk("ord-1", "300ms"), slowDesk("ord-2", "300ms")}})
	for n := range 4 {
		key := fmt.Sprintf("twice-%d", n)
		first, second := d.begin(0, order(key)), d.begin(1, order(key))
		answers := []reply{first.wait(), second.wait()}
		for _, r := range answers {
			if r.ok() {
				checkOrder(t, key, r)
				continue
			}
			// One that asked the agent before the other's dispatch came has taken the key over.
			is.True(r.failure.Name == "in-progress" || r.failure.Name == "tombstoned" && r.notRun())
		}
		again := []reply{d.settle(0, key), d.settle(1, key)}
		for _, r := range again {
			checkOrder(t, key, r)
		}
		is.True(same(again[0], again[1]))
		is.Equal(d.countRuns(key), 1)
	}
	other := order("twice-0")
	other.body = `{"spruce-boards":200}`
	r := d.send(1, other)
	is.Equal(r.failure.Name, "key-conflict")
	is.Equal(d.countRuns("twice-0"), 1)
}

// A maker orders a board; the key-value service takes the claim and loses its
// answer, then takes the finished answer and loses that answer too. The maker
// gets the answer, one board is cut, and asking again brings the same answer.
func TestLostAnswersOfClaimWrites(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1"), orderDesk("ord-2")}})
	for _, count := range []int{1, 2, 3} {
		key := fmt.Sprintf("lost-%d", count)
		d.kv.setFault(fault.Settings{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: count}})
		first := d.send(0, order(key))
		d.kv.setFault(fault.Settings{})
		checkOrder(t, key, first)
		again := d.settle(1, key)
		is.True(same(first, again))
		is.Equal(d.countRuns(key), 1)
	}
}

// Half of all answers of the key-value service are lost while makers order from
// both entries and repeat what they are unsure of. Every answer a maker got
// agrees with the ledger: an order answered ran once, one refused as "not run"
// did not run, and none ran twice.
func TestAnswersLostAtRandom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1"), orderDesk("ord-2")}})
	d.kv.setFault(fault.Settings{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 5}})
	begun := map[string]*pending{}
	for n := range 40 {
		key := fmt.Sprintf("random-%d", n)
		begun[key] = d.begin(n%2, order(key))
	}
	replies := map[string]reply{}
	for key, p := range begun {
		replies[key] = p.wait()
	}
	runs := d.allRuns()
	for key, r := range replies {
		is.True(runs[key] <= 1)
		is.True(r.err == nil)
		if r.ok() {
			checkOrder(t, key, r)
			is.Equal(runs[key], 1)
		}
		if r.notRun() && runs[key] != 0 {
			t.Fatalf("%s: %s, and ran", key, r)
		}
	}
	d.kv.setFault(fault.Settings{})
	for key := range replies {
		checkOrder(t, key, d.settle(1, key))
		is.Equal(d.countRuns(key), 1)
	}
}

// The key-value service goes down, comes back slow, then works again, while a
// maker orders at both entries. While at-most-once cannot be held the order is
// refused as not run, with when to come back; then it works. The ledger agrees
// with every answer.
func TestOrdersThroughOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1"), orderDesk("ord-2")}})
	checkOrder(t, "before", d.send(0, order("before")))
	for name, settings := range map[string]fault.Settings{
		"down":   {Down: true},
		"slow":   {Slow: fault.Duration(3 * time.Second)},
		"frozen": {Freeze: true},
		"status": {Status: 500},
	} {
		d.kv.setFault(settings)
		for n := range 2 {
			key := fmt.Sprintf("%s-%d", name, n)
			r := d.send(n, order(key))
			is.Equal(r.failure.Name, "claims-unavailable")
			is.Equal(r.failure.Outcome, codes.OutcomeNotRun)
			is.True(r.retryAfter != "")
			is.Equal(d.countRuns(key), 0)
		}
		d.kv.setFault(fault.Settings{})
		for n := range 2 {
			key := fmt.Sprintf("%s-%d", name, n)
			checkOrder(t, key, d.settle(1-n, key))
			is.Equal(d.countRuns(key), 1)
		}
	}
	is.Equal(d.countRuns("before"), 1)
}

// The key-value service goes down while a board is cut. The maker gets the
// answer all the same; the agent writes it down once the service is back, and
// the same key then brings the same answer at the other entry.
func TestOutageDuringTheRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowDesk("ord-1", "1s")}})
	running := d.begin(0, order("during"))
	d.waitRuns("during", 1)
	d.kv.setFault(fault.Settings{Down: true})
	first := running.wait()
	checkOrder(t, "during", first)
	r := d.send(1, order("during"))
	is.Equal(r.failure.Name, "claims-unavailable")
	d.kv.setFault(fault.Settings{})
	is.True(same(first, d.settle(1, "during")))
	is.Equal(d.countRuns("during"), 1)
}

// An agent dies with one order running and one waiting behind it. Neither
// maker is told "not run" of the one that ran, and repeating the keys after
// the agent's restart runs nothing a second time: the agent's memory is gone,
// so the outcome stays unknown for good.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := slowDesk("ord-1", "1500ms")
	b.slots = 1
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	running := d.begin(0, order("running"))
	d.waitRuns("running", 1)
	waiting := d.begin(1, order("waiting"))
	waitFor(t, "one waits", func() bool { return d.agents["ord-1"].figures().Verbena.Load.Queued == 1 })
	d.agents["ord-1"].kill()
	is.Equal(running.wait().failure.Outcome, codes.OutcomeUnknown)
	is.Equal(waiting.wait().failure.Outcome, codes.OutcomeUnknown)
	d.restartAgent("ord-1")
	for n, key := range []string{"running", "waiting"} {
		r := d.settle(n, key)
		is.Equal(r.failure.Name, "outcome-unknown")
	}
	is.Equal(d.countRuns("running"), 1)
	is.Equal(d.countRuns("waiting"), 0)
	checkOrder(t, "next", d.settle(0, "next"))
}

// An entry dies after its order began to run; the maker repeats it at the other
// entry, first while it runs, then later, and gets the one run's answer.
func TestEntryKilledDuringTheRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowDesk("ord-1", "1s")}})
	lost := d.begin(0, order("orphan"))
	d.waitRuns("orphan", 1)
	d.entries[0].kill()
	is.True(lost.wait().err != nil)
	r := d.send(1, order("orphan"))
	is.True(r.ok() || r.failure.Name == "in-progress")
	checkOrder(t, "orphan", d.settle(1, "orphan"))
	is.Equal(d.countRuns("orphan"), 1)
}

// An entry dies while its claim's write is on the way; the write takes effect
// later. The maker repeats the order at the other entry, before and after that,
// and the board is cut once.
func TestEntryKilledDuringTheClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{
		entries: 2, backends: []backend{orderDesk("ord-1")},
		entryFlags: []string{"--platform.store-timeout", "10s"},
	})
	taken, sent := d.kv.stats()["write"], d.entries[0].storeCalls().Writes
	d.kv.setFault(fault.Settings{Methods: []string{"PUT"}, Freeze: true})
	lost := d.begin(0, order("claimed"))
	waitFor(t, "the claim's write", func() bool { return d.entries[0].storeCalls().Writes > sent })
	time.Sleep(200 * time.Millisecond) // the write was counted just before it is sent
	d.entries[0].kill()
	is.True(lost.wait().err != nil)
	r := d.send(1, order("claimed"))
	is.Equal(r.failure.Outcome, codes.OutcomeNotRun)
	is.Equal(d.countRuns("claimed"), 0)
	d.kv.setFault(fault.Settings{})
	waitFor(t, "both claims' writes take effect", func() bool { return d.kv.stats()["write"] >= taken+2 })
	checkOrder(t, "claimed", d.settle(1, "claimed"))
	is.Equal(d.countRuns("claimed"), 1)
}

// An agent freezes with an order in its queue; the maker is told that the
// outcome is unknown and gives up; the agent wakes. The late order may not
// surprise anyone: whatever the maker was told stays true, and the repeated
// key leads to one run.
func TestAgentFrozenWithOrderQueued(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := slowDesk("ord-1", "1s")
	b.slots = 1
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	running := d.begin(0, order("running"))
	d.waitRuns("running", 1)
	late := order("late")
	late.deadline = "3s"
	waiting := d.begin(1, late)
	waitFor(t, "one waits", func() bool { return d.agents["ord-1"].figures().Verbena.Load.Queued == 1 })
	d.agents["ord-1"].freeze()
	r := waiting.wait()
	is.Equal(r.failure.Outcome, codes.OutcomeUnknown)
	is.Equal(running.wait().failure.Outcome, codes.OutcomeUnknown)
	d.agents["ord-1"].wake()
	checkOrder(t, "running", d.settle(1, "running"))
	checkOrder(t, "late", d.settle(0, "late"))
	is.Equal(d.countRuns("running"), 1)
	is.Equal(d.countRuns("late"), 1)
}

// An order is sent to an agent that is frozen already, so that it waits in a
// socket's buffer and is read long after its maker gave up. If it runs then,
// it is the one run, and the maker was not told "not run".
func TestOrderInTheBufferOfFrozenAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1")}})
	d.agents["ord-1"].freeze()
	buffered := order("buffered")
	buffered.deadline = "1s"
	r := d.send(0, buffered)
	is.True(!r.ok())
	told := r.failure.Outcome
	d.agents["ord-1"].wake()
	checkOrder(t, "next", d.settle(0, "next"))
	if told == codes.OutcomeNotRun {
		is.Equal(d.countRuns("buffered"), 0)
	}
	checkOrder(t, "buffered", d.settle(1, "buffered"))
	is.Equal(d.countRuns("buffered"), 1)
}

// A maker's connection breaks while the board is cut; the run goes on. The
// maker asks again at the other entry and gets the answer, also after the
// agent and the first entry were restarted.
func TestDoneAnswerGivenAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{slowDesk("ord-1", "600ms")}})
	hasty := order("hasty")
	hasty.patience = 300 * time.Millisecond
	lost := d.begin(0, hasty)
	d.waitRuns("hasty", 1)
	is.True(lost.wait().err != nil)
	first := d.settle(1, "hasty")
	checkOrder(t, "hasty", first)
	d.agents["ord-1"].waitFor(func() bool { return d.agents["ord-1"].figures().Verbena.Unwritten == 0 }, "the answer is written")
	d.restartAgent("ord-1")
	is.True(same(first, d.settle(1, "hasty")))
	d.entries[0].kill()
	d.entries[0] = d.startEntry(0)
	d.waitEntry(d.entries[0])
	is.True(same(first, d.settle(0, "hasty")))
	is.Equal(d.countRuns("hasty"), 1)
}

// A backend server takes an order and closes the connection without a word.
// The maker is told that the outcome is unknown; neither a library nor a
// repeated key at either entry runs the order again.
func TestBackendClosesWithoutAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := orderDesk("ord-1")
	b.behindRelay = true
	d := deploy(t, plan{entries: 2, backends: []backend{b}})
	for _, bytes := range []int{0, 1, 20, 150} {
		key := fmt.Sprintf("closed-%d", bytes)
		d.backRelay["ord-1"].CutAfter(bytes)
		r := d.send(0, order(key))
		is.True(!r.ok())
		is.True(r.failure.Outcome != codes.OutcomeNotRun)
		for n := range 2 {
			again := d.send(n, order(key))
			is.True(!again.ok())
			is.True(again.failure.Outcome != codes.OutcomeNotRun)
		}
		is.Equal(d.countRuns(key), 1)
	}
	checkOrder(t, "next", d.settle(1, "next"))
}
