package harns_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

const (
	exitOK       = 0
	exitRefused  = 1
	exitConflict = 3
	exitUnknown  = 4
)

// all returns every entry and agent.
func (d *deployment) all() []*process {
	processes := append([]*process{}, d.entries...)
	for _, a := range d.agents {
		processes = append(processes, a)
	}
	return processes
}

// revision returns the head's revision as the key-value service holds it, and how often it names the change.
func (d *deployment) revision(entry int, change string) (revision uint64, times int) {
	d.t.Helper()
	history := admapi.History{}
	waitFor(d.t, "history", func() bool {
		v := d.vctl(entry, operatorToken, "history")
		return v.code == exitOK && json.Unmarshal([]byte(v.output), &history) == nil && len(history.Changes) > 0
	})
	for _, m := range history.Changes {
		if m.ChangeID == change {
			times++
		}
	}
	return history.Changes[0].Revision, times
}

// waitRevision waits until the revision is in force at every process, and returns how long that took.
func (d *deployment) waitRevision(revision uint64) time.Duration {
	d.t.Helper()
	begun := time.Now()
	for _, p := range d.all() {
		p.waitFor(func() bool { return p.figures().Verbena.Config.Revision >= revision }, fmt.Sprintf("revision %d", revision))
	}
	return time.Since(begun)
}

// teamText is a document that differs with the weight.
func teamText(name string, weight int) string {
	return fmt.Sprintf("[[team]]\nname = %q\ntoken-sha256 = [%q]\npriority = \"normal\"\nweight = %d.0\n",
		name, config.DigestToken("token-of-"+name), weight)
}

func ruleText(name, server string) string {
	return fmt.Sprintf("[[rule]]\nname = %q\nserver = %q\neffect = \"forbid\"\n", name, server)
}

// act is one operator's operation for the check of the history.
type act struct {
	apply bool
	base  uint64
}

// outcome is what the operator saw.
type outcome struct {
	code     int
	revision uint64
}

// newModel is the head as one register: an apply moves it by one from its base, or conflicts.
func newModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			head, in, out := state.(uint64), input.(act), output.(outcome)
			if !in.apply {
				return head == 0 || out.revision == head, out.revision
			}
			switch out.code {
			case exitOK:
				return in.base == head && out.revision == head+1, head + 1
			case exitConflict:
				return in.base != head, head
			default:
				return false, head
			}
		},
	}
}

// operator applies and reads in turns, and records what it saw.
type operator struct {
	d       *deployment
	id      int
	rounds  int
	done    chan struct{}
	record  *record
	started time.Time
}

type record struct {
	lock       sync.Mutex
	operations []porcupine.Operation
}

func (o *operator) run() {
	defer close(o.done)
	entry, token := o.id%2, operatorToken
	if o.id%2 == 1 {
		token = secondToken
	}
	for n := range o.rounds {
		base := uint64(0)
		o.note(act{}, func() outcome {
			base, _ = o.d.revision(entry, "")
			return outcome{revision: base}
		})
		file := o.d.write(fmt.Sprintf("operator-%d-%d.toml", o.id, n), teamText(fmt.Sprintf("team-%d", o.id), n+1))
		o.note(act{apply: true, base: base}, func() outcome {
			v := o.d.vctl(entry, token, "apply", "--base", fmt.Sprint(base), file)
			accepted := admapi.ChangeResult{}
			_ = json.Unmarshal([]byte(v.output), &accepted)
			return outcome{code: v.code, revision: accepted.Revision}
		})
	}
}

func (o *operator) note(in act, do func() outcome) {
	called := time.Since(o.started)
	out := do()
	returned := time.Since(o.started)
	o.record.lock.Lock()
	defer o.record.lock.Unlock()
	o.record.operations = append(o.record.operations, porcupine.Operation{
		ClientId: o.id, Input: in, Output: out, Call: int64(called), Return: int64(returned),
	})
}

// Two operators change the configuration at once through two entries, again
// and again. Each change is either accepted, once, on top of the one it was made
// for, or refused as a conflict; the history that the operators saw fits one
// register, and every process ends with the last revision.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1")}})
	r := &record{}
	operators := []*operator{}
	for id := range 4 {
		o := &operator{d: d, id: id, rounds: 6, done: make(chan struct{}), record: r, started: time.Now()}
		operators = append(operators, o)
	}
	w := &watcher{d: d, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	started := time.Now()
	for _, o := range operators {
		o.started = started
		go o.run()
	}
	for _, o := range operators {
		<-o.done
	}
	counts := map[int]int{}
	for _, o := range r.operations {
		if o.Input.(act).apply {
			counts[o.Output.(outcome).code]++
		}
	}
	t.Logf("applies by exit code: %v", counts)
	is.True(counts[exitOK] > 0)
	is.Equal(counts[exitOK]+counts[exitConflict], 24)
	is.True(porcupine.CheckOperations(newModel(), r.operations))
	last, _ := d.revision(0, "")
	is.Equal(last, uint64(counts[exitOK])+1)
	d.waitRevision(last)
	close(w.stop)
	<-w.done
	is.Equal(w.reverted, "")
	is.True(w.looks > len(d.all()))
}

// watcher looks at the revision in force at every process until it is stopped.
type watcher struct {
	d          *deployment
	stop, done chan struct{}
	looks      int
	// reverted names a process whose revision fell.
	reverted string
}

func (w *watcher) run() {
	defer close(w.done)
	highest := map[string]uint64{}
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		for _, p := range w.d.all() {
			f := figures{}
			if !getJSON("http://"+p.address("", "metrics=").String()+"/debug/vars", &f) {
				continue
			}
			w.looks++
			if f.Verbena.Config.Revision < highest[p.name] {
				w.reverted = fmt.Sprintf("%s from %d to %d", p.name, highest[p.name], f.Verbena.Config.Revision)
			}
			highest[p.name] = max(highest[p.name], f.Verbena.Config.Revision)
		}
	}
}

// Two operators make a change for the same revision. One wins; the other is
// told of the conflict, the winner's revision and what it changed.
func TestConflictNamesTheWinner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1")}})
	base, _ := d.revision(0, "")
	flag := fmt.Sprint(base)
	won := d.vctl(0, operatorToken, "apply", "--base", flag, d.write("a.toml", teamText("kranj", 2)))
	is.Equal(won.code, exitOK)
	lost := d.vctl(1, secondToken, "apply", "--base", flag, d.write("b.toml", teamText("koper", 3)))
	is.Equal(lost.code, exitConflict)
	told := lost.output + lost.errors
	is.True(strings.Contains(told, fmt.Sprint(base+1)))
	is.True(strings.Contains(told, "kranj"))
	d.waitRevision(base + 1)
}

// The key-value service takes a change and loses the answer of some write, or
// holds the write back until vctl gave up. vctl says accepted or unknown; asked
// again with the same change id it says accepted. The change is there once.
func TestLostAnswerOfTheHeadWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderDesk("ord-1")}})
	for n, settings := range []fault.Settings{
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: 1}},
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: 3}},
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Probability: 1}},
		{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 9}},
		{Methods: []string{"PUT"}, Freeze: true},
	} {
		before, _ := d.revision(0, "")
		change := fmt.Sprintf("change-%d", n)
		args := []string{"apply", "--change-id", change, "--base", fmt.Sprint(before), d.write(change+".toml", teamText("kranj", n+2))}
		d.kv.setFault(settings)
		first := d.vctl(0, operatorToken, args...)
		d.kv.setFault(fault.Settings{})
		if first.code != exitOK && first.code != exitRefused && first.code != exitUnknown {
			t.Fatalf("%s: exit code %d: %s%s", change, first.code, first.output, first.errors)
		}
		_, times := d.revision(1, change)
		if first.code == exitOK {
			is.Equal(times, 1)
		}
		if first.code == exitRefused {
			is.Equal(times, 0)
		}
		again := d.vctl(1, operatorToken, args...)
		if again.code != exitOK {
			t.Fatalf("%s: asked again: exit code %d: %s%s", change, again.code, again.output, again.errors)
		}
		after, times := d.revision(0, change)
		is.Equal(times, 1)
		is.Equal(after, before+1)
		d.waitRevision(after)
	}
}

// The key-value service is down before a change, during it and right after it.
// Requests go on. The operator is told that nothing was changed, or that it is
// unknown; an accepted change is in force everywhere, also where only peers know it.
func TestOutageAroundAChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderDesk("ord-1")}})
	base, _ := d.revision(0, "")
	args := []string{"apply", "--change-id", "around", "--base", fmt.Sprint(base), d.write("around.toml", teamText("kranj", 2))}
	d.kv.setFault(fault.Settings{Down: true})
	v := d.vctl(0, operatorToken, args...)
	is.True(v.code == exitRefused || v.code == exitUnknown)
	for n := range 2 {
		checkText(t, "in the outage", answerTokens, d.send(n, draft("in the outage", answerTokens, true)))
	}
	d.kv.setFault(fault.Settings{})
	d.kv.setFault(fault.Settings{Slow: fault.Duration(300 * time.Millisecond)})
	v = d.vctl(0, operatorToken, args...)
	is.Equal(v.code, exitOK)
	d.kv.setFault(fault.Settings{Down: true}) // most processes have not heard of it yet
	t.Logf("in force everywhere after %v, by peers", d.waitRevision(base+1))
	for n := range 2 {
		checkText(t, "after the change", answerTokens, d.send(n, draft("after the change", answerTokens, false)))
	}
	d.kv.setFault(fault.Settings{})
	_, times := d.revision(1, "around")
	is.Equal(times, 1)
}

// Every connection to the key-value service that is open goes silent for good,
// watches among them, while new ones work. The next change is in force
// everywhere all the same.
func TestWatchGoneSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderDesk("ord-1")}})
	for n := range 3 {
		d.kv.setFault(fault.Settings{Silent: true})
		d.kv.setFault(fault.Settings{})
		base, _ := d.revision(0, "")
		is.Equal(d.vctl(n%2, operatorToken, "apply", d.write("silent.toml", teamText("kranj", n+2))).code, exitOK)
		t.Logf("in force everywhere after %v", d.waitRevision(base+1))
	}
}

// An entry and an agent are started while the key-value service is down. They
// take the newest configuration from their peers, say that they are ready and serve.
func TestStartedInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2")}})
	is.Equal(d.vctl(0, operatorToken, "apply", d.write("newest.toml", ruleText("off", "name=llm-2"))).code, exitOK)
	newest, _ := d.revision(0, "")
	d.waitRevision(newest)
	d.kv.setFault(fault.Settings{Down: true})
	d.entries = append(d.entries, d.startEntry(2))
	d.registerEntry(2)
	d.waitEntry(d.entries[2])
	is.Equal(d.entries[2].figures().Verbena.Config.Revision, newest)
	before := len(d.servers["llm-2"].runs())
	checkText(t, "fresh entry", answerTokens, d.send(2, draft("fresh entry", answerTokens, true)))
	d.agents["llm-1"].kill()
	d.restartAgent("llm-1")
	is.Equal(d.agents["llm-1"].figures().Verbena.Config.Revision, newest)
	for n := range 3 {
		checkText(t, "fresh agent", answerTokens, d.send(n, draft("fresh agent", answerTokens, false)))
	}
	is.Equal(len(d.servers["llm-2"].runs()), before)
}

// An entry, and in a second round the agent as well, is frozen while an
// operator forbids a backend server. Requests wait at the frozen entry. Once it
// wakes, none of them reaches the forbidden server: a woken process confirms
// its configuration before it decides.
func TestFrozenThroughAChange(t *testing.T) {
	t.Parallel()
	for name, alsoAgent := range map[string]bool{"entry": false, "entry and agent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2")}}
			if alsoAgent {
				// The sessions outlive the freeze, so that nothing but the expired confirmation holds the two back.
				p.entryFlags = []string{"--routing.beat-every", "10s"}
				p.backends[0].agentFlags = []string{"--peers.beat-every", "10s"}
				p.backends[1].agentFlags = p.backends[0].agentFlags
			}
			d := deploy(t, p)
			for n := range 8 {
				checkText(t, "before", answerTokens, d.send(n%2, draft("before", answerTokens, false)))
			}
			frozen := []*process{d.entries[0]}
			if alsoAgent {
				frozen = append(frozen, d.agents["llm-1"])
			}
			base, _ := d.revision(1, "")
			for _, p := range frozen {
				p.freeze()
			}
			is.Equal(d.vctl(1, operatorToken, "apply", d.write("forbid.toml", ruleText("off", "name=llm-1"))).code, exitOK)
			for _, p := range []*process{d.entries[1], d.agents["llm-2"]} {
				p.waitFor(func() bool { return p.figures().Verbena.Config.Revision > base }, "the rule")
			}
			time.Sleep(6 * time.Second) // beyond the time for which a confirmation is good
			before := d.agents["llm-2"].calls()
			runs := len(d.servers["llm-1"].runs())
			waiting := []*pending{}
			for n := range 10 {
				waiting = append(waiting, d.begin(0, draft(fmt.Sprintf("waits %d", n), answerTokens, n%2 == 0)))
			}
			for _, p := range frozen {
				p.wake()
			}
			for n, p := range waiting {
				checkText(t, fmt.Sprintf("waits %d", n), answerTokens, p.wait())
			}
			is.Equal(len(d.servers["llm-1"].runs()), runs)
			is.True(d.agents["llm-2"].calls() >= before+10)
		})
	}
}

// An operator applies 19,000 teams, more than one value holds, and then changes
// one of them. Both changes are in force at every process, and the changed
// team's new token is taken at every entry.
func TestNineteenThousandTeams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderDesk("ord-1")}})
	base, _ := d.revision(0, "")
	text := strings.Builder{}
	for n := range 19_000 {
		text.WriteString(teamText(fmt.Sprintf("workshop-%05d", n), 1))
	}
	v := d.vctl(0, operatorToken, "apply", d.write("teams.toml", text.String()))
	if v.code != exitOK {
		t.Fatalf("exit code %d: %.2000s", v.code, v.errors)
	}
	t.Logf("19,000 teams in force everywhere after %v", d.waitRevision(base+1))
	for _, p := range d.all() {
		is.True(p.figures().Verbena.Config.Teams >= 19_000)
	}
	changed := strings.Replace(teamText("workshop-04711", 2), config.DigestToken("token-of-workshop-04711"), config.DigestToken(teamToken+"-2"), 1)
	is.Equal(d.vctl(1, secondToken, "apply", d.write("one.toml", changed)).code, exitOK)
	t.Logf("one changed, in force everywhere after %v", d.waitRevision(base+2))
	for n := range 2 {
		checkText(t, "still here", answerTokens, d.send(n, draft("still here", answerTokens, false)))
	}
}

// Operators change the configuration again and again while makers order and
// estimators draft. An order that meets an agent with a newer configuration
// is not handed back to its maker: every request is answered, each order runs once.
func TestRequestsUnderChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("change")
	waitAnswers(t, callers, 1)
	for n := range 10 {
		file := d.write("changing.toml", teamText("kranj", n+2))
		is.Equal(d.vctl(n%2, operatorToken, "apply", file).code, exitOK)
		waitAnswers(t, callers[:2], 1)
	}
	whole, _ := finishWhole(t, callers, nil)
	is.True(whole > 0)
	for key, runs := range d.allRuns() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}
