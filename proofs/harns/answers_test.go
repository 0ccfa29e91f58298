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

const answerTokens = 40

// checkPart fails unless a stream that was not answered whole says so and holds nothing of another answer.
func checkPart(t *testing.T, prompt string, r reply) {
	t.Helper()
	if r.ok() && r.ended {
		checkText(t, prompt, answerTokens, r)
		return
	}
	if r.status == 200 && r.ended && r.failure.Code == codes.OK {
		t.Fatalf("prompt %q: an incomplete stream passes for whole", prompt)
	}
	if !strings.HasPrefix(token.MakeText(prompt, answerTokens), r.text) {
		t.Fatalf("prompt %q: the text is another's: %q", prompt, r.text)
	}
	if r.text != "" && r.failure.Outcome == codes.OutcomeNotRun {
		t.Fatalf("prompt %q: not run, but text came: %s", prompt, r)
	}
}

// The connection between an engine and its agent breaks at some byte of a
// stream, at the start, in the middle, before the end record or within it. A
// caller that waits for JSON gets its own whole answer from another attempt; a
// caller of the stream gets it whole or is told that it is incomplete.
func TestStreamCutBetweenEngineAndAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := modelServer("llm-1")
	b.behindRelay = true
	d := deploy(t, plan{entries: 1, backends: []backend{b}})
	r := d.backRelay["llm-1"]
	before := r.CountPassed()
	checkText(t, "measure", answerTokens, d.send(0, draft("measure", answerTokens, false)))
	whole := r.CountPassed() - before
	cuts := 0
	for _, at := range []int{0, 1, 40, 200, 500, whole / 2, whole - 300, whole - 30, whole - 8, whole - 6, whole - 5, whole - 3, whole - 1} {
		for _, stream := range []bool{false, true} {
			prompt := fmt.Sprintf("cut at %d, stream %t", at, stream)
			r.CutAfter(at)
			got := d.send(0, draft(prompt, answerTokens, stream))
			if stream {
				checkPart(t, prompt, got)
			} else {
				checkText(t, prompt, answerTokens, got)
			}
		}
		cuts = r.CountCuts()
	}
	is.True(cuts >= 20)
	r.CutAfter(-1)
	checkText(t, "after", answerTokens, d.send(0, draft("after", answerTokens, true)))
}

// The session between an agent and an entry breaks at some byte of the
// answers. Whoever waits for JSON may be refused, but an answer that comes is
// the whole answer to its own prompt; a stream that broke says so.
func TestStreamCutBetweenAgentAndEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := modelServer("llm-1")
	b.sessionsOverRelay = true
	d := deploy(t, plan{entries: 1, backends: []backend{b}})
	r := d.peerRelay["llm-1"]
	for _, at := range []int{0, 1, 13, 100, 700, 1500, 3000, 5000, 7000} {
		for _, stream := range []bool{false, true} {
			prompt := fmt.Sprintf("session cut at %d, stream %t", at, stream)
			r.CutAfter(at)
			checkPart(t, prompt, d.send(0, draft(prompt, answerTokens, stream)))
			d.waitEntry(d.entries[0])
		}
	}
	is.True(r.CountCuts() >= 9)
	r.CutAfter(-1)
	d.waitEntry(d.entries[0])
	checkText(t, "after", answerTokens, d.send(0, draft("after", answerTokens, true)))
}

// The connections between an entry and its agents go silent for good while new
// ones work, since something between them lost track. Requests on their way,
// and those sent just after, end with their own whole answer or with a true
// refusal; an order on its way runs once; soon all is well without help.
func TestSessionsSilentForGood(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	llm, desk := modelServer("llm-1"), slowDesk("ord-1", "500ms")
	llm.sessionsOverRelay, desk.sessionsOverRelay = true, true
	d := deploy(t, plan{entries: 2, backends: []backend{llm, desk}})
	checkText(t, "before", answerTokens, d.send(0, draft("before", answerTokens, false)))
	prompts := map[string]*pending{}
	for n := range 4 {
		prompt := fmt.Sprintf("on its way %d", n)
		prompts[prompt] = d.begin(n%2, draft(prompt, answerTokens, n > 1))
	}
	running := d.begin(0, order("silent"))
	d.waitRuns("silent", 1)
	for _, r := range d.peerRelay {
		r.Silence()
	}
	for n := range 4 {
		prompt := fmt.Sprintf("just after %d", n)
		prompts[prompt] = d.begin(n%2, draft(prompt, answerTokens, n > 1))
	}
	after := d.begin(1, order("after"))
	for prompt, p := range prompts {
		r := p.wait()
		is.NoErr(r.err)
		checkPart(t, prompt, r)
	}
	is.True(!running.wait().notRun())
	if r := after.wait(); r.notRun() {
		is.Equal(d.countRuns("after"), 0)
	}
	for _, key := range []string{"silent", "after"} {
		checkOrder(t, key, d.settle(1, key))
		is.Equal(d.countRuns(key), 1)
	}
	for _, e := range d.entries {
		d.waitEntry(e)
	}
	for n := range 2 {
		checkText(t, "recovered", answerTokens, d.send(n, draft("recovered", answerTokens, true)))
	}
}

// The connection to an agent is slow and breaks again and again while many
// callers share it, so that answers come late, crossed and for attempts that
// were given up. Every answer is the whole answer to its own prompt.
func TestLateAndCrossedAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one, two := modelServer("llm-1"), modelServer("llm-2")
	one.sessionsOverRelay, two.sessionsOverRelay = true, true
	d := deploy(t, plan{entries: 2, backends: []backend{one, two}})
	whole := 0
	for round := range 4 {
		prompts := map[string]*pending{}
		for n := range 24 {
			prompt := fmt.Sprintf("round %d caller %d", round, n)
			prompts[prompt] = d.begin(n%2, draft(prompt, answerTokens, n%3 == 0))
		}
		relays := d.peerRelay
		relays["llm-1"].Delay(20 * time.Millisecond)
		relays["llm-2"].Hold()
		time.Sleep(100 * time.Millisecond)
		relays["llm-1"].Drop()
		relays["llm-2"].Resume()
		relays["llm-1"].Delay(0)
		for prompt, p := range prompts {
			r := p.wait()
			is.NoErr(r.err)
			checkPart(t, prompt, r)
			if r.ok() {
				whole++
			}
		}
	}
	is.True(whole > 0)
	t.Logf("whole answers: %d of 96", whole)
}

// An entry dies in the middle of a stream. The caller sees that the stream
// ends without its end record, and does not take the part for the whole.
func TestEntryKilledInStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 2, backends: []backend{modelServer("llm-1")}})
	long := draft("killed in the middle", 400, true)
	p := d.begin(0, long)
	d.agents["llm-1"].waitFor(func() bool { return d.agents["llm-1"].figures().Verbena.Load.Running == 1 }, "the stream runs")
	d.entries[0].kill()
	r := p.wait()
	is.True(!r.ended)
	is.True(strings.HasPrefix(token.MakeText("killed in the middle", 400), r.text))
	checkText(t, "killed in the middle", 400, d.send(1, long))
	waitFor(t, "the slot is free", func() bool { return d.agents["llm-1"].figures().Verbena.Load.Running == 0 })
}

// Agents of each stage die while requests run. The requests are idempotent, so
// every caller gets the whole answer to its own prompt from another agent.
func TestAgentKilledInEachStage(t *testing.T) {
	t.Parallel()
	slow := func(b backend) backend {
		b.fakeFlags = append(b.fakeFlags, "--service-time", "150ms")
		return b
	}
	d := deploy(t, plan{entries: 2, backends: []backend{
		slow(encoderPool("enc-1")), slow(encoderPool("enc-2")), modelServer("llm-1"), modelServer("llm-2"),
	}})
	for n := range 24 { // fills the budget of retries, which is a share of the traffic
		prompt := fmt.Sprintf("warm %d", n)
		checkText(t, prompt, 4, d.send(n%2, notes(prompt, 4)))
	}
	for _, victim := range []string{"enc-1", "llm-1"} {
		prompts := map[string]*pending{}
		for n := range 12 {
			prompt := fmt.Sprintf("%s dies, caller %d", victim, n)
			prompts[prompt] = d.begin(n%2, notes(prompt, answerTokens))
		}
		a := d.agents[victim]
		a.waitFor(func() bool { return a.figures().Verbena.Load.Running > 0 }, "a call runs at "+victim)
		a.kill()
		for prompt, p := range prompts {
			checkText(t, prompt, answerTokens, p.wait())
		}
		d.restartAgent(victim)
	}
}
