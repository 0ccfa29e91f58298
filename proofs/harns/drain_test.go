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

// refusedPause keeps a refused caller from spinning.
const refusedPause = 50 * time.Millisecond

// caller sends requests one after the other until it is told to stop.
type caller struct {
	d     *deployment
	entry int
	id    string
	make  func(id string, n int) visit
	stop  chan struct{}
	done  chan struct{}

	lock    sync.Mutex
	replies []answered
}

// answered is a request with what came of it.
type answered struct {
	id    string
	visit visit
	reply reply
}

func (d *deployment) startCaller(entry int, id string, makeVisit func(id string, n int) visit) *caller {
	d.t.Helper()
	c := &caller{d: d, entry: entry, id: id, make: makeVisit, stop: make(chan struct{}), done: make(chan struct{})}
	go c.run()
	return c
}

func (c *caller) run() {
	defer close(c.done)
	address := c.d.callers(c.entry)
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", c.id, n)
		v := c.make(id, n)
		r := send(address, v)
		c.lock.Lock()
		c.replies = append(c.replies, answered{id: id, visit: v, reply: r})
		c.lock.Unlock()
		if !r.ok() {
			time.Sleep(refusedPause)
		}
	}
}

func (c *caller) count() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.replies)
}

// finish ends the caller after its present request.
func (c *caller) finish() []answered {
	close(c.stop)
	<-c.done
	return c.replies
}

func makeDraft(id string, n int) visit { return draft(id, answerTokens, n%2 == 0) }
func makeOrder(id string, _ int) visit { return order(id) }

// startLoad starts callers of drafts and orders at every entry.
func (d *deployment) startLoad(name string) []*caller {
	d.t.Helper()
	callers := []*caller{}
	for e := range d.entries {
		for n := range 3 {
			callers = append(callers,
				d.startCaller(e, fmt.Sprintf("%s-draft-%d-%d", name, e, n), makeDraft),
				d.startCaller(e, fmt.Sprintf("%s-order-%d-%d", name, e, n), makeOrder))
		}
	}
	return callers
}

func waitAnswers(t *testing.T, callers []*caller, more int) {
	t.Helper()
	for _, c := range callers {
		before := c.count()
		waitFor(t, "answers of "+c.id, func() bool { return c.count() >= before+more })
	}
}

// finishWhole ends the callers and fails unless every request had its own whole
// answer; refused says which other replies are right.
func finishWhole(t *testing.T, callers []*caller, refused func(r reply) bool) (whole, other int) {
	t.Helper()
	for _, c := range callers {
		for _, a := range c.finish() {
			switch {
			case refused != nil && refused(a.reply):
				other++
				continue
			case a.visit.key != "":
				checkOrder(t, a.id, a.reply)
			default:
				checkText(t, a.id, answerTokens, a.reply)
			}
			whole++
		}
	}
	return whole, other
}

func drainPlan(entries int) plan {
	return plan{entries: entries, backends: []backend{
		modelServer("llm-1"), modelServer("llm-2"), slowDesk("ord-1", "100ms"), slowDesk("ord-2", "100ms"),
	}}
}

func isCut0(text string) bool {
	return strings.Contains(text, "event=stopped") && strings.Contains(text, "cut=0")
}

// An entry is stopped under load. Streams and orders on their way end whole;
// what comes afterwards is refused as not run or finds the port closed, and
// the entry reports that it cut nothing.
func TestEntryStoppedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("load")
	waitAnswers(t, callers, 2)
	long := d.begin(0, draft("long", 400, true))
	d.entries[0].waitFor(func() bool {
		return d.agents["llm-1"].figures().Verbena.Load.Running+d.agents["llm-2"].figures().Verbena.Load.Running > 0
	}, "streams run")
	time.Sleep(300 * time.Millisecond)
	d.entries[0].stop()
	is.True(isCut0(d.entries[0].text()))
	checkText(t, "long", 400, long.wait())
	whole, refused := finishWhole(t, callers, func(r reply) bool {
		closed := r.err != nil && r.status == 0 && strings.Contains(r.err.Error(), "refused")
		return closed || r.failure.Code == codes.Draining && r.notRun()
	})
	is.True(whole > 0)
	is.True(refused > 0)
	for key, runs := range d.allRuns() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}

// An agent is stopped under load, in mid-stream, while another serves the same
// work. No caller notices; the agent reports that it cut nothing.
func TestAgentStoppedUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("load")
	waitAnswers(t, callers, 2)
	for _, name := range []string{"llm-1", "ord-1"} {
		d.agents[name].stop()
		is.True(isCut0(d.agents[name].text()))
	}
	waitAnswers(t, callers, 3)
	finishWhole(t, callers, nil)
	for key, runs := range d.allRuns() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}

// An entry and an agent are stopped at the same time, each twice, while the
// key-value service is down and drafts stream. No draft is cut. An order whose
// answer could not be written is still answered, and the agent writes it down
// as soon as the service is back.
func TestTwoStopsDuringOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := drainPlan(2)
	p.backends[2] = slowDesk("ord-1", "1s")
	p.backends[3] = slowDesk("ord-2", "1s")
	d := deploy(t, p)
	callers := []*caller{d.startCaller(1, "draft-a", makeDraft), d.startCaller(1, "draft-b", makeDraft)}
	waitAnswers(t, callers, 2)
	last := d.begin(0, order("last"))
	d.waitRuns("last", 1)
	long := d.begin(0, draft("long", 400, true))
	waitFor(t, "the long stream runs", func() bool {
		return d.agents["llm-1"].figures().Verbena.Load.Running+d.agents["llm-2"].figures().Verbena.Load.Running > 0
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
		s.waitEnd()
		is.True(isCut0(s.text()))
		is.True(!strings.Contains(s.text(), "answers-unwritten"))
	}
	waitAnswers(t, callers, 2)
	finishWhole(t, callers, nil)
	d.startAgent(d.backendOf("ord-1"))
	d.register(d.backendOf("ord-1"), false)
	checkOrder(t, "last", d.settle(1, "last"))
	is.Equal(d.countRuns("last"), 1)
}

// A stop's grace period is too short for a stream and an order on their way.
// The process stops in time all the same, and its log names what it cut; the
// caller of the stream sees that it is incomplete, and the order is not called "not run".
func TestGraceTooShort(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	llm, desk := modelServer("llm-1"), slowDesk("ord-1", "10s")
	llm.fakeFlags = []string{"--models", "notes", "--token-interval", "50ms"}
	llm.agentFlags = []string{"--stop.grace", "500ms"}
	desk.agentFlags = llm.agentFlags
	d := deploy(t, plan{entries: 2, backends: []backend{llm, desk}, entryFlags: []string{"--stop.grace", "500ms"}})
	stream, running := d.begin(0, draft("cut", 400, true)), d.begin(0, order("cut"))
	d.waitRuns("cut", 1)
	d.agents["llm-1"].waitFor(func() bool { return d.agents["llm-1"].figures().Verbena.Load.Running == 1 }, "the stream runs")
	d.agents["ord-1"].stop()
	is.True(strings.Contains(d.agents["ord-1"].text(), "cut=1"))
	r := running.wait()
	is.True(!r.ok())
	is.True(!r.notRun())
	is.True(strings.Contains(d.agents["ord-1"].text(), "orders-1"))
	d.entries[0].stop()
	text := d.entries[0].text()
	is.True(strings.Contains(text, "cut=1"))
	got := stream.wait()
	is.True(!got.ended || got.failure.Code != codes.OK)
	_, stopped, _ := strings.Cut(text, "event=stopped")
	is.True(got.requestID != "" && strings.Contains(stopped, got.requestID))
}

// A backend server is leaving: the list says so, or only its agent does while
// the list lags, or only the list while the agent is frozen in its news. A few
// seconds later it gets no new work, whichever speaks.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	sources := map[string]func(d *deployment){
		"list": func(d *deployment) { d.register(d.backendOf("llm-1"), true) },
		"agent, list lags": func(d *deployment) {
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
		"agent, list down": func(d *deployment) {
			d.list.setFault(fault.Settings{Down: true})
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
		"list, key-value service down": func(d *deployment) {
			d.kv.setFault(fault.Settings{Down: true})
			d.register(d.backendOf("llm-1"), true)
		},
		"both lag": func(d *deployment) {
			// Late, but not so late that the session counts as silent.
			d.peerRelay["llm-1"].Delay(400 * time.Millisecond)
			d.register(d.backendOf("llm-1"), true)
			d.agents["llm-1"].signal(syscall.SIGTERM)
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := plan{entries: 2, listLag: "1s", backends: []backend{modelServer("llm-1"), modelServer("llm-2")}}
			p.backends[0].sessionsOverRelay = true
			// The agent stays up, so that work sent to it would still run.
			p.backends[0].agentFlags = []string{"--peers.linger", "20s", "--stop.grace", "25s"}
			d := deploy(t, p)
			callers := []*caller{d.startCaller(0, "a", makeDraft), d.startCaller(1, "b", makeDraft)}
			waitAnswers(t, callers, 2)
			waitFor(t, "work at llm-1", func() bool { return len(d.servers["llm-1"].runs()) > 0 })
			leave(d)
			time.Sleep(4 * time.Second)
			before := len(d.servers["llm-1"].runs())
			waitAnswers(t, callers, 10)
			is.Equal(len(d.servers["llm-1"].runs()), before)
			whole, _ := finishWhole(t, callers, nil)
			is.True(whole >= 20)
		})
	}
}
