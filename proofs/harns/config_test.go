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

// The exit codes of vctl.
const (
	exitOK       = 0
	exitRefused  = 1
	exitConflict = 3
	exitUnknown  = 4
)

// processes returns every entry and agent.
func (d *deployment) processes() []*process {
	processes := append([]*process{}, d.entries...)
	for _, a := range d.agents {
		processes = append(processes, a)
	}
	return processes
}

// revision returns the latest revision in the history that an entry reports, and how many entries
// of the history have this change id.
func (d *deployment) revision(entry int, change string) (revision uint64, times int) {
	d.t.Helper()
	history := admapi.History{}
	waitFor(d.t, "the history", func() bool {
		v := d.vctl(entry, operatorToken, "history")
		return v.code == exitOK && json.Unmarshal([]byte(v.stdout), &history) == nil && len(history.Changes) > 0
	})
	for _, c := range history.Changes {
		if c.ChangeID == change {
			times++
		}
	}
	return history.Changes[0].Revision, times
}

// waitRevision waits until the revision is in force at every process and returns the time that it
// took.
func (d *deployment) waitRevision(revision uint64) time.Duration {
	d.t.Helper()
	started := time.Now()
	for _, p := range d.processes() {
		p.waitFor(func() bool { return p.debugVars().Verbena.Config.Revision >= revision }, fmt.Sprintf("revision %d", revision))
	}
	return time.Since(started)
}

// teamText returns the document of a team. Documents with different weights count as changes.
func teamText(name string, weight int) string {
	return fmt.Sprintf("[[team]]\nname = %q\ntoken-sha256 = [%q]\npriority = \"normal\"\nweight = %d.0\n",
		name, config.DigestToken("token-of-"+name), weight)
}

// forbidRuleText returns the document of a rule that forbids a backend server.
func forbidRuleText(name, server string) string {
	return fmt.Sprintf("[[rule]]\nname = %q\nserver = %q\neffect = \"forbid\"\n", name, server)
}

// operation is an apply or, if apply is false, a read of the latest revision. It is an input of the
// linearizability check.
type operation struct {
	apply bool
	base  uint64
}

// operationResult is the result that the operator observed.
type operationResult struct {
	code     int
	revision uint64
}

// newHeadModel returns a model of the head as a register. An apply whose base is the head
// increments it; one with another base is a conflict and leaves it as it is. State 0 means that the
// head is not known yet; a read of any revision is valid then.
func newHeadModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			head, in, out := state.(uint64), input.(operation), output.(operationResult)
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

// operator alternates between reading the head and applying a change, and records every result.
type operator struct {
	d       *deployment
	id      int
	rounds  int
	done    chan struct{}
	log     *operationLog
	started time.Time
}

// operationLog collects the operations of all operators.
type operationLog struct {
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
		o.record(operation{}, func() operationResult {
			base, _ = o.d.revision(entry, "")
			return operationResult{revision: base}
		})
		file := o.d.writeFile(fmt.Sprintf("operator-%d-%d.toml", o.id, n), teamText(fmt.Sprintf("team-%d", o.id), n+1))
		o.record(operation{apply: true, base: base}, func() operationResult {
			v := o.d.vctl(entry, token, "apply", "--base", fmt.Sprint(base), file)
			accepted := admapi.ChangeResult{}
			_ = json.Unmarshal([]byte(v.stdout), &accepted)
			return operationResult{code: v.code, revision: accepted.Revision}
		})
	}
}

// record runs an operation and adds it to the log with its start and end times.
func (o *operator) record(in operation, do func() operationResult) {
	called := time.Since(o.started)
	out := do()
	returned := time.Since(o.started)
	o.log.lock.Lock()
	defer o.log.lock.Unlock()
	o.log.operations = append(o.log.operations, porcupine.Operation{
		ClientId: o.id, Input: in, Output: out, Call: int64(called), Return: int64(returned),
	})
}

// Guards against lost or doubled changes when operators change the configuration concurrently
// through two entries. Each change is accepted once on top of its base or refused as a conflict.
// The results are linearizable, no process goes back to a lower revision, and all reach the last
// one.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1")}})
	r := &operationLog{}
	operators := []*operator{}
	for id := range 4 {
		o := &operator{d: d, id: id, rounds: 6, done: make(chan struct{}), log: r, started: time.Now()}
		operators = append(operators, o)
	}
	w := &revisionWatcher{d: d, stop: make(chan struct{}), done: make(chan struct{})}
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
		if o.Input.(operation).apply {
			counts[o.Output.(operationResult).code]++
		}
	}
	t.Logf("apply commands by exit code: %v", counts)
	is.True(counts[exitOK] > 0)
	is.Equal(counts[exitOK]+counts[exitConflict], 24)
	is.True(porcupine.CheckOperations(newHeadModel(), r.operations))
	last, _ := d.revision(0, "")
	is.Equal(last, uint64(counts[exitOK])+1)
	d.waitRevision(last)
	close(w.stop)
	<-w.done
	is.Equal(w.regression, "")
	is.True(w.samples > len(d.processes()))
}

// revisionWatcher polls the revision in force at every process until it is stopped.
type revisionWatcher struct {
	d          *deployment
	stop, done chan struct{}
	samples    int
	// regression describes a process whose revision decreased; empty if there was none.
	regression string
}

func (w *revisionWatcher) run() {
	defer close(w.done)
	highest := map[string]uint64{}
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		for _, p := range w.d.processes() {
			f := debugVars{}
			if !getJSON("http://"+p.address("", "metrics=").String()+"/debug/vars", &f) {
				continue
			}
			w.samples++
			if f.Verbena.Config.Revision < highest[p.name] {
				w.regression = fmt.Sprintf("%s from %d to %d", p.name, highest[p.name], f.Verbena.Config.Revision)
			}
			highest[p.name] = max(highest[p.name], f.Verbena.Config.Revision)
		}
	}
}

// Guards against a conflict that the operator cannot resolve. Of two changes on the same base, the
// second is refused, and its message names the revision and the team of the accepted change.
func TestConflictReportsAcceptedChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1")}})
	base, _ := d.revision(0, "")
	baseText := fmt.Sprint(base)
	accepted := d.vctl(0, operatorToken, "apply", "--base", baseText, d.writeFile("a.toml", teamText("kranj", 2)))
	is.Equal(accepted.code, exitOK)
	rejected := d.vctl(1, secondToken, "apply", "--base", baseText, d.writeFile("b.toml", teamText("koper", 3)))
	is.Equal(rejected.code, exitConflict)
	message := rejected.stdout + rejected.stderr
	is.True(strings.Contains(message, fmt.Sprint(base+1)))
	is.True(strings.Contains(message, "kranj"))
	d.waitRevision(base + 1)
}

// Guards against a change that is lost, applied twice or misreported because the store applies a
// write and loses its answer, or holds the write until vctl has timed out. vctl must report the
// true outcome or unknown. The same change id sent again is accepted, and the change is in force
// once.
func TestLostAnswerOfHeadWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{orderServer("ord-1")}})
	for n, settings := range []fault.Settings{
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: 1}},
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Count: 3}},
		{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Probability: 1}},
		{LostAnswer: fault.LostAnswer{Probability: 0.5, Seed: 9}},
		{Methods: []string{"PUT"}, Freeze: true},
	} {
		before, _ := d.revision(0, "")
		change := fmt.Sprintf("change-%d", n)
		args := []string{"apply", "--change-id", change, "--base", fmt.Sprint(before), d.writeFile(change+".toml", teamText("kranj", n+2))}
		d.kv.setFault(settings)
		first := d.vctl(0, operatorToken, args...)
		d.kv.setFault(fault.Settings{})
		if first.code != exitOK && first.code != exitRefused && first.code != exitUnknown {
			t.Fatalf("%s: exit code %d: %s%s", change, first.code, first.stdout, first.stderr)
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
			t.Fatalf("%s: retried: exit code %d: %s%s", change, again.code, again.stdout, again.stderr)
		}
		after, times := d.revision(0, change)
		is.Equal(times, 1)
		is.Equal(after, before+1)
		d.waitRevision(after)
	}
}

// Guards against a store outage that blocks requests or hides an accepted change. The store is down
// before a change, slow during it and down right after it. vctl reports that nothing changed or
// that the outcome is unknown; the accepted change reaches every process, from peers where
// necessary.
func TestStoreOutageAroundChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderServer("ord-1")}})
	base, _ := d.revision(0, "")
	args := []string{"apply", "--change-id", "around", "--base", fmt.Sprint(base), d.writeFile("around.toml", teamText("kranj", 2))}
	d.kv.setFault(fault.Settings{Down: true})
	v := d.vctl(0, operatorToken, args...)
	is.True(v.code == exitRefused || v.code == exitUnknown)
	for n := range 2 {
		checkText(t, "in the outage", answerTokens, d.send(n, draftRequest("in the outage", answerTokens, true)))
	}
	d.kv.setFault(fault.Settings{})
	d.kv.setFault(fault.Settings{Slow: fault.Duration(300 * time.Millisecond)})
	v = d.vctl(0, operatorToken, args...)
	is.Equal(v.code, exitOK)
	d.kv.setFault(fault.Settings{Down: true}) // most processes have not received the change yet
	t.Logf("in force at every process after %v, received from peers", d.waitRevision(base+1))
	for n := range 2 {
		checkText(t, "after the change", answerTokens, d.send(n, draftRequest("after the change", answerTokens, false)))
	}
	d.kv.setFault(fault.Settings{})
	_, times := d.revision(1, "around")
	is.Equal(times, 1)
}

// Guards against processes that miss a change because their open connections to the store,
// including the watches, no longer carry data while new connections work.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderServer("ord-1")}})
	for n := range 3 {
		d.kv.setFault(fault.Settings{Silent: true})
		d.kv.setFault(fault.Settings{})
		base, _ := d.revision(0, "")
		is.Equal(d.vctl(n%2, operatorToken, "apply", d.writeFile("silent.toml", teamText("kranj", n+2))).code, exitOK)
		t.Logf("in force at every process after %v", d.waitRevision(base+1))
	}
}

// Guards against an entry or agent that cannot start while the store is down. Both must fetch the
// newest configuration from their peers, become ready and serve under it.
func TestStartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2")}})
	is.Equal(d.vctl(0, operatorToken, "apply", d.writeFile("newest.toml", forbidRuleText("off", "name=llm-2"))).code, exitOK)
	newest, _ := d.revision(0, "")
	d.waitRevision(newest)
	d.kv.setFault(fault.Settings{Down: true})
	d.entries = append(d.entries, d.startEntry(2))
	d.registerEntry(2)
	d.waitEntry(d.entries[2])
	is.Equal(d.entries[2].debugVars().Verbena.Config.Revision, newest)
	before := len(d.servers["llm-2"].runs())
	checkText(t, "fresh entry", answerTokens, d.send(2, draftRequest("fresh entry", answerTokens, true)))
	d.agents["llm-1"].kill()
	d.restartAgent("llm-1")
	is.Equal(d.agents["llm-1"].debugVars().Verbena.Config.Revision, newest)
	for n := range 3 {
		checkText(t, "fresh agent", answerTokens, d.send(n, draftRequest("fresh agent", answerTokens, false)))
	}
	is.Equal(len(d.servers["llm-2"].runs()), before)
}

// Guards against decisions under an outdated configuration after a freeze. An entry, or an entry
// and an agent, is frozen while an operator forbids a backend server. A resumed process has to
// confirm its configuration first, so no request that waited at the entry reaches the forbidden
// server.
func TestProcessFrozenDuringChange(t *testing.T) {
	t.Parallel()
	for name, alsoAgent := range map[string]bool{"entry": false, "entry and agent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2")}}
			if alsoAgent {
				// The sessions survive the freeze, so that only the expired confirmation keeps the two
				// processes from deciding.
				p.entryFlags = []string{"--routing.beat-every", "10s"}
				p.backends[0].agentFlags = []string{"--peers.beat-every", "10s"}
				p.backends[1].agentFlags = p.backends[0].agentFlags
			}
			d := deploy(t, p)
			for n := range 8 {
				checkText(t, "before", answerTokens, d.send(n%2, draftRequest("before", answerTokens, false)))
			}
			frozen := []*process{d.entries[0]}
			if alsoAgent {
				frozen = append(frozen, d.agents["llm-1"])
			}
			base, _ := d.revision(1, "")
			for _, p := range frozen {
				p.freeze()
			}
			is.Equal(d.vctl(1, operatorToken, "apply", d.writeFile("forbid.toml", forbidRuleText("off", "name=llm-1"))).code, exitOK)
			for _, p := range []*process{d.entries[1], d.agents["llm-2"]} {
				p.waitFor(func() bool { return p.debugVars().Verbena.Config.Revision > base }, "the revision with the rule")
			}
			time.Sleep(6 * time.Second) // longer than a confirmation is valid
			before := d.agents["llm-2"].countCalls()
			runs := len(d.servers["llm-1"].runs())
			waiting := []*pending{}
			for n := range 10 {
				waiting = append(waiting, d.sendAsync(0, draftRequest(fmt.Sprintf("waits %d", n), answerTokens, n%2 == 0)))
			}
			for _, p := range frozen {
				p.resume()
			}
			for n, p := range waiting {
				checkText(t, fmt.Sprintf("waits %d", n), answerTokens, p.wait())
			}
			is.Equal(len(d.servers["llm-1"].runs()), runs)
			is.True(d.agents["llm-2"].countCalls() >= before+10)
		})
	}
}

// Guards against a configuration that is too large for one value of the store. An operator applies
// 19,000 teams and then changes one of them. Both changes reach every process, and every entry
// still serves.
func TestNineteenThousandTeams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1"), orderServer("ord-1")}})
	base, _ := d.revision(0, "")
	text := strings.Builder{}
	for n := range 19_000 {
		text.WriteString(teamText(fmt.Sprintf("workshop-%05d", n), 1))
	}
	v := d.vctl(0, operatorToken, "apply", d.writeFile("teams.toml", text.String()))
	if v.code != exitOK {
		t.Fatalf("exit code %d: %.2000s", v.code, v.stderr)
	}
	t.Logf("19,000 teams in force at every process after %v", d.waitRevision(base+1))
	for _, p := range d.processes() {
		is.True(p.debugVars().Verbena.Config.Teams >= 19_000)
	}
	changed := strings.Replace(teamText("workshop-04711", 2), config.DigestToken("token-of-workshop-04711"), config.DigestToken(teamToken+"-2"), 1)
	is.Equal(d.vctl(1, secondToken, "apply", d.writeFile("one.toml", changed)).code, exitOK)
	t.Logf("change of one team in force at every process after %v", d.waitRevision(base+2))
	for n := range 2 {
		checkText(t, "still here", answerTokens, d.send(n, draftRequest("still here", answerTokens, false)))
	}
}

// Guards against requests that fail because the configuration changes under load. An agent refuses
// an order that was decided under an older revision; the entry must submit it again instead of
// failing it, so that every request is answered and each order runs once.
func TestRequestsDuringChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, drainPlan(2))
	callers := d.startLoad("change")
	waitAnswers(t, callers, 1)
	for n := range 10 {
		file := d.writeFile("changing.toml", teamText("kranj", n+2))
		is.Equal(d.vctl(n%2, operatorToken, "apply", file).code, exitOK)
		waitAnswers(t, callers[:2], 1)
	}
	complete, _ := finishAndCheck(t, callers, nil)
	is.True(complete > 0)
	for key, runs := range d.runsByKey() {
		if strings.Contains(key, "order") {
			is.Equal(runs, 1)
		}
	}
}
