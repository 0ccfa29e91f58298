package harns_test

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/codes"
)

// refusalBackoff is the time that a caller waits after a failed request, so that it does not spin.
const refusalBackoff = 50 * time.Millisecond

// caller sends requests one after the other until it is stopped.
type caller struct {
	d          *deployment
	entry      int
	id         string
	newRequest func(id string, n int) clientRequest
	stop       chan struct{}
	done       chan struct{}

	lock      sync.Mutex
	exchanges []exchange
}

// exchange is a request with its reply.
type exchange struct {
	id      string
	request clientRequest
	reply   reply
}

func (d *deployment) startCaller(entry int, id string, newRequest func(id string, n int) clientRequest) *caller {
	d.t.Helper()
	c := &caller{d: d, entry: entry, id: id, newRequest: newRequest, stop: make(chan struct{}), done: make(chan struct{})}
	go c.run()
	return c
}

func (c *caller) run() {
	defer close(c.done)
	address := c.d.callerAddress(c.entry)
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", c.id, n)
		q := c.newRequest(id, n)
		r := send(address, q)
		c.lock.Lock()
		c.exchanges = append(c.exchanges, exchange{id: id, request: q, reply: r})
		c.lock.Unlock()
		if !r.ok() {
			time.Sleep(refusalBackoff)
		}
	}
}

func (c *caller) countExchanges() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.exchanges)
}

// finish stops the caller after its current request and returns all exchanges.
func (c *caller) finish() []exchange {
	close(c.stop)
	<-c.done
	return c.exchanges
}

func newDraft(id string, n int) clientRequest { return draftRequest(id, answerTokens, n%2 == 0) }
func newOrder(id string, _ int) clientRequest { return orderRequest(id) }

// startLoad starts three callers of drafts and three of orders at every entry.
func (d *deployment) startLoad(name string) []*caller {
	d.t.Helper()
	callers := []*caller{}
	for e := range d.entries {
		for n := range 3 {
			callers = append(callers,
				d.startCaller(e, fmt.Sprintf("%s-draft-%d-%d", name, e, n), newDraft),
				d.startCaller(e, fmt.Sprintf("%s-order-%d-%d", name, e, n), newOrder))
		}
	}
	return callers
}

// waitAnswers waits for each caller in turn until it has received the given number of further
// replies.
func waitAnswers(t *testing.T, callers []*caller, more int) {
	t.Helper()
	for _, c := range callers {
		before := c.countExchanges()
		waitFor(t, "replies to caller "+c.id, func() bool { return c.countExchanges() >= before+more })
	}
}

// finishAndCheck stops the callers and fails the test unless every request has its own complete
// answer or another reply that isAllowed accepts. It returns the number of each.
func finishAndCheck(t *testing.T, callers []*caller, isAllowed func(r reply) bool) (complete, other int) {
	t.Helper()
	for _, c := range callers {
		for _, a := range c.finish() {
			switch {
			case isAllowed != nil && isAllowed(a.reply):
				other++
				continue
			case a.request.key != "":
				checkOrder(t, a.id, a.reply)
			default:
				checkText(t, a.id, answerTokens, a.reply)
			}
			complete++
		}
	}
	return complete, other
}

// drainPlan returns a plan with two model servers and two order servers.
func drainPlan(entries int) plan {
	return plan{entries: entries, backends: []backend{
		modelServer("llm-1"), modelServer("llm-2"), slowOrderServer("ord-1", "100ms"), slowOrderServer("ord-2", "100ms"),
	}}
}

// reportsNoCuts reports whether the log states that the process stopped without cutting a request.
func reportsNoCuts(text string) bool {
	return strings.Contains(text, "event=stopped") && strings.Contains(text, "cut=0")
}

// Guards against requests that are cut when an entry is stopped under load. Streams and orders in
// flight complete; later requests are refused as not run or find the port closed; the entry logs
// that it cut nothing, and each order runs once.
func TestEntryStoppedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("load")
	waitAnswers(t, callers, 2)
	long := d.sendAsync(0, draftRequest("long", 400, true))
	d.entries[0].waitFor(func() bool {
		return d.agents["llm-1"].debugVars().Verbena.Load.Running+d.agents["llm-2"].debugVars().Verbena.Load.Running > 0
	}, "a stream to run")
	time.Sleep(300 * time.Millisecond)
	d.entries[0].stop()
	is.True(reportsNoCuts(d.entries[0].logText()))
	checkText(t, "long", 400, long.wait())
	complete, refused := finishAndCheck(t, callers, func(r reply) bool {
		closed := r.err != nil && r.status == 0 && strings.Contains(r.err.Error(), "refused")
		return closed || r.failure.Code == codes.Draining && r.notRun()
	})
	is.True(complete > 0)
	is.True(refused > 0)
	for key, runs := range d.runsByKey() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}

// Guards against requests that fail when an agent is stopped under load while another agent serves
// the same service. Every caller gets complete answers, each order runs once, and the agent logs
// that it cut nothing.
func TestAgentStoppedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("load")
	waitAnswers(t, callers, 2)
	for _, name := range []string{"llm-1", "ord-1"} {
		d.agents[name].stop()
		is.True(reportsNoCuts(d.agents[name].logText()))
	}
	waitAnswers(t, callers, 3)
	finishAndCheck(t, callers, nil)
	for key, runs := range d.runsByKey() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}

// Guards against a lost answer when an entry and agents receive SIGTERM twice while the store is
// down. The stream and the order in flight complete, although the order's answer cannot be written
// yet. The agents write it before they exit, once the store recovers, so that a retry does not run
// the order.
func TestRepeatedStopsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := drainPlan(2)
	p.backends[2] = slowOrderServer("ord-1", "1s")
	p.backends[3] = slowOrderServer("ord-2", "1s")
	d := deploy(t, p)
	callers := []*caller{d.startCaller(1, "draft-a", newDraft), d.startCaller(1, "draft-b", newDraft)}
	waitAnswers(t, callers, 2)
	last := d.sendAsync(0, orderRequest("last"))
	d.waitRuns("last", 1)
	long := d.sendAsync(0, draftRequest("long", 400, true))
	waitFor(t, "the long stream to run", func() bool {
		return d.agents["llm-1"].debugVars().Verbena.Load.Running+d.agents["llm-2"].debugVars().Verbena.Load.Running > 0
	})
	d.kv.setFault(fault.Settings{Down: true})
	stopping := []*process{d.entries[0], d.agents["ord-1"], d.agents["ord-2"], d.agents["llm-1"]}
	for range 2 {
		for _, s := range stopping {
			s.signal(syscall.SIGTERM)
		}
	}
	checkOrder(t, "last", last.wait())
	checkText(t, "long", 400, long.wait())
	d.kv.setFault(fault.Settings{})
	for _, s := range stopping {
		s.waitExit()
		is.True(reportsNoCuts(s.logText()))
		is.True(!strings.Contains(s.logText(), "answers-unwritten"))
	}
	waitAnswers(t, callers, 2)
	finishAndCheck(t, callers, nil)
	d.startAgent(d.findBackend("ord-1"))
	d.register(d.findBackend("ord-1"), false)
	checkOrder(t, "last", d.retryOrder(1, "last"))
	is.Equal(d.countRuns("last"), 1)
}

// Guards against a false outcome, and against a connection that is closed without an answer, when the grace period of a stop is
// too short for the stream and the order in flight. The processes still stop, and their logs name the requests. The stream
// ends with an event that says that it is incomplete, and the order is not reported as not run.
func TestGracePeriodTooShort(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	llm, orders := modelServer("llm-1"), slowOrderServer("ord-1", "10s")
	llm.fakeFlags = []string{"--models", "notes", "--token-interval", "50ms"}
	llm.agentFlags = []string{"--stop.grace", "500ms"}
	orders.agentFlags = llm.agentFlags
	d := deploy(t, plan{entries: 2, backends: []backend{llm, orders}, entryFlags: []string{"--stop.grace", "500ms"}})
	stream, running := d.sendAsync(0, draftRequest("cut", 400, true)), d.sendAsync(0, orderRequest("cut"))
	d.waitRuns("cut", 1)
	d.agents["llm-1"].waitFor(func() bool { return d.agents["llm-1"].debugVars().Verbena.Load.Running == 1 }, "the stream to run")
	d.agents["ord-1"].stop()
	is.True(strings.Contains(d.agents["ord-1"].logText(), "cut=1"))
	r := running.wait()
	is.True(!r.ok())
	is.True(!r.notRun())
	is.True(strings.Contains(d.agents["ord-1"].logText(), "orders-1"))
	d.entries[0].stop()
	text := d.entries[0].logText()
	is.True(reportsNoCuts(text))
	got := stream.wait()
	is.True(got.hasEnd)
	is.Equal(got.failure.Code, codes.BackendLost)
	is.Equal(got.failure.Outcome, codes.OutcomeUnknown)
	before, _, _ := strings.Cut(text, "event=stopped")
	is.True(got.requestID != "" && strings.Contains(before, "request-id="+got.requestID))
}

// Guards against new work at a backend server that is leaving. The leave is announced by the list
// only, by the agent only while the list lags or is down, by the list while the store is down, or
// by both with a delay. Four seconds later the server gets no new work in any of these cases.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	sources := map[string]func(d *deployment){
		"list": func(d *deployment) { d.register(d.findBackend("llm-1"), true) },
		"agent, list lags": func(d *deployment) {
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
		"agent, list down": func(d *deployment) {
			d.list.setFault(fault.Settings{Down: true})
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
		"list, key-value service down": func(d *deployment) {
			d.kv.setFault(fault.Settings{Down: true})
			d.register(d.findBackend("llm-1"), true)
		},
		"both lag": func(d *deployment) {
			// The delay is too short for the session to be closed as silent.
			d.peerRelays["llm-1"].Delay(400 * time.Millisecond)
			d.register(d.findBackend("llm-1"), true)
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := plan{entries: 2, listLag: "1s", backends: []backend{modelServer("llm-1"), modelServer("llm-2")}}
			p.backends[0].sessionsOverRelay = true
			// The agent keeps running after SIGTERM, so that work sent to it would still run.
			p.backends[0].agentFlags = []string{"--peers.linger", "20s", "--stop.grace", "25s"}
			d := deploy(t, p)
			callers := []*caller{d.startCaller(0, "a", newDraft), d.startCaller(1, "b", newDraft)}
			waitAnswers(t, callers, 2)
			waitFor(t, "a run at llm-1", func() bool { return len(d.servers["llm-1"].runs()) > 0 })
			leave(d)
			time.Sleep(4 * time.Second)
			before := len(d.servers["llm-1"].runs())
			waitAnswers(t, callers, 10)
			is.Equal(len(d.servers["llm-1"].runs()), before)
			complete, _ := finishAndCheck(t, callers, nil)
			is.True(complete >= 20)
		})
	}
}
