package harns_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/token"
	"verbenaroad.example/share/modules/codes"
)

// answerTokens is the number of tokens that most drafts request.
const answerTokens = 40

// checkTextOrPrefix fails the test unless the reply is the complete answer to the prompt, or is
// refused or reported as incomplete and contains no more than a prefix of that answer. A reply with
// text must not state that the request did not run.
func checkTextOrPrefix(t *testing.T, prompt string, r reply) {
	t.Helper()
	if r.ok() && r.hasEnd {
		checkText(t, prompt, answerTokens, r)
		return
	}
	if r.status == 200 && r.hasEnd && r.failure.Code == codes.OK {
		t.Fatalf("prompt %q: incomplete stream ended with code ok", prompt)
	}
	if !strings.HasPrefix(token.MakeText(prompt, answerTokens), r.text) {
		t.Fatalf("prompt %q: text is not a prefix of the answer: %q", prompt, r.text)
	}
	if r.text != "" && r.failure.Outcome == codes.OutcomeNotRun {
		t.Fatalf("prompt %q: reply has text but states not-run: %s", prompt, r)
	}
}

// Guards against an incomplete answer that passes for complete when the connection from an agent to
// its engine is cut: at the start, in the middle, before the end record, or within it. A caller of
// JSON gets the complete answer of another attempt; a stream is complete or reported as incomplete.
func TestStreamCutBetweenEngineAndAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := modelServer("llm-1")
	b.behindRelay = true
	d := deploy(t, plan{entries: 1, backends: []backend{b}})
	r := d.backendRelays["llm-1"]
	before := r.CountPassed()
	checkText(t, "measure", answerTokens, d.send(0, draftRequest("measure", answerTokens, false)))
	complete := r.CountPassed() - before
	cuts := 0
	for _, at := range []int{0, 1, 40, 200, 500, complete / 2, complete - 300, complete - 30, complete - 8, complete - 6, complete - 5, complete - 3, complete - 1} {
		for _, stream := range []bool{false, true} {
			prompt := fmt.Sprintf("cut at %d, stream %t", at, stream)
			r.CutAfter(at)
			got := d.send(0, draftRequest(prompt, answerTokens, stream))
			if stream {
				checkTextOrPrefix(t, prompt, got)
			} else {
				checkText(t, prompt, answerTokens, got)
			}
		}
		cuts = r.CountCuts()
	}
	is.True(cuts >= 20)
	r.CutAfter(-1)
	checkText(t, "after", answerTokens, d.send(0, draftRequest("after", answerTokens, true)))
}

// Guards against an incomplete or foreign answer when the session between an agent and an entry is
// cut after some bytes. The request may be refused, but an answer to it is the complete answer to
// its own prompt, and a stream that was cut is reported as incomplete.
func TestStreamCutBetweenAgentAndEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := modelServer("llm-1")
	b.sessionsOverRelay = true
	d := deploy(t, plan{entries: 1, backends: []backend{b}})
	r := d.peerRelays["llm-1"]
	for _, at := range []int{0, 1, 13, 100, 700, 1500, 3000, 5000, 7000} {
		for _, stream := range []bool{false, true} {
			prompt := fmt.Sprintf("session cut at %d, stream %t", at, stream)
			r.CutAfter(at)
			checkTextOrPrefix(t, prompt, d.send(0, draftRequest(prompt, answerTokens, stream)))
			d.waitEntry(d.entries[0])
		}
	}
	is.True(r.CountCuts() >= 9)
	r.CutAfter(-1)
	d.waitEntry(d.entries[0])
	checkText(t, "after", answerTokens, d.send(0, draftRequest("after", answerTokens, true)))
}

// Guards against lost or doubled requests when the open sessions between entries and agents no
// longer carry data but new ones work, as after a middlebox lost its connection state. Requests in
// flight and those sent next are answered or refused truthfully, orders run once, and service
// recovers.
func TestSilentSessions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	llm, orders := modelServer("llm-1"), slowOrderServer("ord-1", "500ms")
	llm.sessionsOverRelay, orders.sessionsOverRelay = true, true
	d := deploy(t, plan{entries: 2, backends: []backend{llm, orders}})
	checkText(t, "before", answerTokens, d.send(0, draftRequest("before", answerTokens, false)))
	prompts := map[string]*pending{}
	for n := range 4 {
		prompt := fmt.Sprintf("on its way %d", n)
		prompts[prompt] = d.sendAsync(n%2, draftRequest(prompt, answerTokens, n > 1))
	}
	running := d.sendAsync(0, orderRequest("silent"))
	d.waitRuns("silent", 1)
	for _, r := range d.peerRelays {
		r.Silence()
	}
	for n := range 4 {
		prompt := fmt.Sprintf("just after %d", n)
		prompts[prompt] = d.sendAsync(n%2, draftRequest(prompt, answerTokens, n > 1))
	}
	after := d.sendAsync(1, orderRequest("after"))
	for prompt, p := range prompts {
		r := p.wait()
		is.NoErr(r.err)
		checkTextOrPrefix(t, prompt, r)
	}
	is.True(!running.wait().notRun())
	if r := after.wait(); r.notRun() {
		is.Equal(d.countRuns("after"), 0)
	}
	for _, key := range []string{"silent", "after"} {
		checkOrder(t, key, d.retryOrder(1, key))
		is.Equal(d.countRuns(key), 1)
	}
	for _, e := range d.entries {
		d.waitEntry(e)
	}
	for n := range 2 {
		checkText(t, "recovered", answerTokens, d.send(n, draftRequest("recovered", answerTokens, true)))
	}
}

// Guards against answers that reach the wrong request. Many requests share sessions that are
// delayed, held back and dropped, so that answers arrive late, out of order, and for abandoned
// attempts. Every complete answer must be the one to its own prompt.
func TestLateAnswersOnSharedSessions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one, two := modelServer("llm-1"), modelServer("llm-2")
	one.sessionsOverRelay, two.sessionsOverRelay = true, true
	d := deploy(t, plan{entries: 2, backends: []backend{one, two}})
	complete := 0
	for round := range 4 {
		prompts := map[string]*pending{}
		for n := range 24 {
			prompt := fmt.Sprintf("round %d caller %d", round, n)
			prompts[prompt] = d.sendAsync(n%2, draftRequest(prompt, answerTokens, n%3 == 0))
		}
		relays := d.peerRelays
		relays["llm-1"].Delay(20 * time.Millisecond)
		relays["llm-2"].Hold()
		time.Sleep(100 * time.Millisecond)
		relays["llm-1"].Drop()
		relays["llm-2"].Resume()
		relays["llm-1"].Delay(0)
		for prompt, p := range prompts {
			r := p.wait()
			is.NoErr(r.err)
			checkTextOrPrefix(t, prompt, r)
			if r.ok() {
				complete++
			}
		}
	}
	is.True(complete > 0)
	t.Logf("complete answers: %d of 96", complete)
}

// Guards against an incomplete stream that passes for complete when the entry is killed during it:
// the stream must lack its end record. The same request then succeeds at the other entry.
func TestEntryKilledDuringStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1")}})
	long := draftRequest("killed in the middle", 400, true)
	p := d.sendAsync(0, long)
	d.agents["llm-1"].waitFor(func() bool { return d.agents["llm-1"].debugVars().Verbena.Load.Running == 1 }, "the stream to run")
	d.entries[0].kill()
	r := p.wait()
	is.True(!r.hasEnd)
	is.True(strings.HasPrefix(token.MakeText("killed in the middle", 400), r.text))
	checkText(t, "killed in the middle", 400, d.send(1, long))
	waitFor(t, "the slot to be free", func() bool { return d.agents["llm-1"].debugVars().Verbena.Load.Running == 0 })
}

// Guards against failed requests when an agent of any stage is killed. The requests are idempotent,
// so every caller gets the complete answer to its own prompt from another agent.
func TestAgentKilledInEachStage(t *testing.T) {
	t.Parallel()
	slow := func(b backend) backend {
		b.fakeFlags = append(b.fakeFlags, "--service-time", "150ms")
		return b
	}
	d := deploy(t, plan{entries: 2, backends: []backend{
		slow(encoderPool("enc-1")), slow(encoderPool("enc-2")), modelServer("llm-1"), modelServer("llm-2"),
	}})
	for n := range 24 { // fills the retry budget, which is a share of the traffic
		prompt := fmt.Sprintf("warm %d", n)
		checkText(t, prompt, 4, d.send(n%2, notesRequest(prompt, 4)))
	}
	for _, victim := range []string{"enc-1", "llm-1"} {
		prompts := map[string]*pending{}
		for n := range 12 {
			prompt := fmt.Sprintf("%s dies, caller %d", victim, n)
			prompts[prompt] = d.sendAsync(n%2, notesRequest(prompt, answerTokens))
		}
		a := d.agents[victim]
		a.waitFor(func() bool { return a.debugVars().Verbena.Load.Running > 0 }, "a call to run at "+victim)
		a.kill()
		for prompt, p := range prompts {
			checkText(t, prompt, answerTokens, p.wait())
		}
		d.restartAgent(victim)
	}
}
