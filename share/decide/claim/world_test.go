package claim_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

// fault disables one safeguard from outside, to show that the simulation detects it.
type fault string

const (
	faultNone fault = ""
	// faultSameIncarnation restarts agents under their old incarnation.
	faultSameIncarnation fault = "same-incarnation"
	// faultIgnoredIndex makes the key-value service write regardless of the index.
	faultIgnoredIndex fault = "ignored-index"
	// faultUnknownIsSwapped reports a write without an answer as swapped.
	faultUnknownIsSwapped fault = "unknown-is-swapped"
	// faultUnreachableIsTombstoned reports the attempt of an unreachable agent as tombstoned.
	faultUnreachableIsTombstoned fault = "unreachable-is-tombstoned"
	// faultRestartIsTombstoned reports the attempt of an earlier incarnation as tombstoned.
	faultRestartIsTombstoned fault = "restart-is-tombstoned"
	// faultRefusalOutsideGuard refuses queued attempts without reporting it to the guard.
	faultRefusalOutsideGuard fault = "refusal-outside-guard"
	// faultForgottenAttempts makes the guard lose its attempts but keep its incarnation.
	faultForgottenAttempts fault = "forgotten-attempts"
	// faultDuplicateAnswered delivers the answers to duplicates of a dispatch.
	faultDuplicateAnswered fault = "duplicate-answered"
)

const (
	keyCount       = 2
	agentCount     = 2
	maxSubmissions = 8
)

// message is in transit: it may be reordered, lost or duplicated.
type message struct {
	agent      string
	submission int
	event      claim.Event
	// duplicate marks a message of which a copy was delivered before. No stream waits for the answer
	// to the duplicate of a dispatch.
	duplicate bool
}

// submitter simulates the part of an entry that carries out one submission.
type submitter struct {
	submission     *claim.Submission
	request        claim.Request
	inbox          []claim.Event
	queriedAttempt string
	notRun         bool
}

// agent simulates an agent that carries out the actions of its guard.
type agent struct {
	name        string
	guard       *claim.Guard
	restarts    int
	queue       []string
	running     []string
	unconfirmed []claim.WriteAnswer
	// origins maps attempts to the indexes of their submissions in world.submitters.
	origins map[string]int
}

// world simulates the whole system: submissions at entries, agents, backend servers, the key-value
// service and a network that delays, loses and duplicates messages.
type world struct {
	fault      fault
	now        time.Time
	stored     map[string]claim.Stored
	lateWrites []claim.CompareAndSwap
	network    []message
	submitters []*submitter
	agents     map[string]*agent
	// runs and attempts count the runs at the backend server by key and by attempt.
	runs     map[string]int
	attempts map[string]int
	replies  int
	answers  int
	notRun   int
	// violation is the first violated invariant, empty if none.
	violation string
}

func newWorld(f fault) *world {
	w := &world{
		fault: f, now: start(), stored: map[string]claim.Stored{}, agents: map[string]*agent{},
		runs: map[string]int{}, attempts: map[string]int{},
	}
	for i := range agentCount {
		name := fmt.Sprint("agent-", i)
		w.agents[name] = &agent{name: name, origins: map[string]int{}, guard: newAgentGuard(name)}
	}
	return w
}

func newAgentGuard(incarnation string) *claim.Guard {
	return claim.NewGuard(incarnation, claim.GuardLimits{Attempts: 6, CachedAnswers: 1})
}

func (w *world) violatef(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// swap applies a write immediately. moveLateWrite applies the delayed ones.
func (w *world) swap(c claim.CompareAndSwap) bool {
	current := w.stored[c.Key]
	if current.Index != c.Index && w.fault != faultIgnoredIndex {
		return false
	}
	w.stored[c.Key] = claim.Stored{Record: c.Record, Index: current.Index + 1}
	return true
}

// unreliableSwap writes now or leaves the write for moveLateWrite, and its answer may be lost.
func (w *world) unreliableSwap(t *rapid.T, c claim.CompareAndSwap) claim.SwapResult {
	switch rapid.IntRange(0, 4).Draw(t, "write") {
	case 0:
		w.lateWrites = append(w.lateWrites, c)
		return w.unknownResult()
	case 1:
		w.swap(c)
		return w.unknownResult()
	}
	if w.swap(c) {
		return claim.SwapResult{Outcome: claim.SwapDone, Index: w.stored[c.Key].Index}
	}
	return claim.SwapResult{Outcome: claim.SwapLost}
}

// unknownResult returns the result of a write without an answer.
func (w *world) unknownResult() claim.SwapResult {
	if w.fault == faultUnknownIsSwapped {
		return claim.SwapResult{Outcome: claim.SwapDone, Index: 1}
	}
	return claim.SwapResult{Outcome: claim.SwapUnknown}
}

// submit starts a submission of a key. Callers may do so at any entry at any time.
func (w *world) submit(t *rapid.T, key string, released *claim.Stored) {
	if len(w.submitters) == maxSubmissions {
		return
	}
	id := len(w.submitters)
	chosen := w.agents[fmt.Sprint("agent-", rapid.IntRange(0, agentCount-1).Draw(t, "agent"))]
	c := &submitter{request: claim.Request{
		Key: key, BodyDigest: key, RetryAfter: time.Second, Deadline: w.now.Add(4 * time.Second),
		Choice: claim.Choice{Attempt: fmt.Sprint("attempt-", id), Agent: chosen.name, Incarnation: chosen.guard.Incarnation()},
	}}
	c.submission = claim.NewSubmission(c.request)
	w.submitters = append(w.submitters, c)
	w.step(t, id, claim.Started{Released: released})
}

func (w *world) step(t *rapid.T, id int, e claim.Event) {
	for _, a := range w.submitters[id].submission.Step(w.now, e) {
		w.act(t, id, a)
	}
}

func (w *world) act(t *rapid.T, id int, a claim.Action) {
	c := w.submitters[id]
	switch v := a.(type) {
	case claim.Read:
		c.inbox = append(c.inbox, w.read(t, v.Key))
	case claim.CompareAndSwap:
		c.inbox = append(c.inbox, w.unreliableSwap(t, v))
	case claim.RequestTombstone:
		c.queriedAttempt = v.Attempt
		w.network = append(w.network, message{agent: v.Agent, submission: id, event: claim.TombstoneRequested{Attempt: v.Attempt, Incarnation: v.Incarnation}})
	case claim.Dispatch:
		e := claim.Dispatched{Key: c.request.Key, Attempt: v.Choice.Attempt, Incarnation: v.Choice.Incarnation}
		w.network = append(w.network, message{agent: v.Choice.Agent, submission: id, event: e})
	case claim.Reply:
		w.reply(c, v)
	case claim.Release:
		w.release(t, v)
	}
}

func (w *world) read(t *rapid.T, key string) claim.ReadResult {
	if rapid.IntRange(0, 7).Draw(t, "read") == 0 {
		return claim.ReadResult{Failed: true}
	}
	stored, ok := w.stored[key]
	if !ok {
		return claim.ReadResult{}
	}
	return claim.ReadResult{Stored: &stored}
}

func (w *world) release(t *rapid.T, v claim.Release) {
	if rapid.Bool().Draw(t, "submit again") {
		w.submit(t, v.Key, &v.Stored)
		return
	}
	w.unreliableSwap(t, claim.CompareAndSwap{Key: v.Key, Record: v.Stored.Record, Index: v.Stored.Index})
}

// reply checks the invariants on an answer to a caller.
func (w *world) reply(c *submitter, v claim.Reply) {
	w.replies++
	c.notRun = v.Result.Outcome == codes.OutcomeNotRun
	if c.notRun {
		w.notRun++
	}
	if v.Answer != nil {
		w.answers++
	}
	if c.notRun && w.attempts[c.request.Choice.Attempt] > 0 {
		w.violatef("%s was answered as not run after it had run", c.request.Choice.Attempt)
	}
	if v.Answer != nil && string(v.Answer.Body) != c.request.Key {
		w.violatef("a submission of %s got the answer of %s", c.request.Key, v.Answer.Body)
	}
	if v.Answer != nil && w.runs[c.request.Key] == 0 {
		w.violatef("%s has an answer without a run", c.request.Key)
	}
}

// arrive delivers a message to its agent, or to its submission if it names no agent.
func (w *world) arrive(t *rapid.T, m message) {
	if m.agent == "" {
		w.step(t, m.submission, m.event)
		return
	}
	ag := w.agents[m.agent]
	d, dispatch := m.event.(claim.Dispatched)
	if dispatch {
		ag.origins[d.Attempt] = m.submission
	}
	for _, a := range ag.guard.Step(w.now, m.event) {
		_, admitted := a.(claim.Enqueue)
		if admitted || !dispatch || !m.duplicate || w.fault == faultDuplicateAnswered {
			w.serve(t, ag, m.submission, a)
		}
	}
}

func (w *world) serve(t *rapid.T, ag *agent, submission int, a claim.Action) {
	switch v := a.(type) {
	case claim.Enqueue:
		ag.queue = append(ag.queue, v.Attempt)
	case claim.Refuse:
		w.refuse(ag, v.Attempt, v.Code)
	case claim.ReportAttempt:
		if w.fault == faultRestartIsTombstoned && v.Report.State == claim.ReportedOtherIncarnation {
			v.Report.State = claim.ReportedTombstoned
		}
		w.network = append(w.network, message{submission: submission, event: v.Report})
	case claim.Run:
		w.run(t, ag, v.Attempt)
	case claim.WriteAnswer:
		ag.unconfirmed = append(ag.unconfirmed, v)
		end := claim.DispatchEnded{Attempt: v.Attempt, Result: *codes.NewResult(codes.OK, ""), Answer: &v.Answer}
		w.network = append(w.network, message{submission: ag.origins[v.Attempt], event: end})
	}
}

func (w *world) refuse(ag *agent, attempt string, c codes.Code) {
	result := codes.NewResult(c, "").WithOutcome(codes.OutcomeNotRun)
	w.network = append(w.network, message{submission: ag.origins[attempt], event: claim.DispatchEnded{Attempt: attempt, Result: *result}})
}

// run simulates the start of a run at the backend server and checks the invariants on runs.
func (w *world) run(t *rapid.T, ag *agent, attempt string) {
	ag.running = append(ag.running, attempt)
	if rapid.IntRange(0, 9).Draw(t, "backend refuses the connection") == 0 {
		w.finish(t, ag, codes.OutcomeNotRun)
		return
	}
	c := w.submitters[ag.origins[attempt]]
	w.runs[c.request.Key]++
	w.attempts[attempt]++
	if w.runs[c.request.Key] > 1 {
		w.violatef("%s ran twice", c.request.Key)
	}
	if c.notRun {
		w.violatef("%s ran after it was answered as not run", attempt)
	}
}

// finish ends the run that was started last.
func (w *world) finish(t *rapid.T, ag *agent, o codes.Outcome) {
	last := len(ag.running) - 1
	attempt := ag.running[last]
	ag.running = ag.running[:last]
	key := w.submitters[ag.origins[attempt]].request.Key
	e := claim.RunFinished{Attempt: attempt, Outcome: o, Answer: claim.Answer{Status: 201, Body: []byte(key)}}
	for _, a := range ag.guard.Step(w.now, e) {
		w.serve(t, ag, ag.origins[attempt], a)
	}
	if o != codes.OutcomeRan {
		result := codes.NewResult(codes.BackendLost, "").WithOutcome(o)
		w.network = append(w.network, message{submission: ag.origins[attempt], event: claim.DispatchEnded{Attempt: attempt, Result: *result}})
	}
}

// writeAnswer tries to write the oldest unconfirmed answer.
func (w *world) writeAnswer(t *rapid.T, ag *agent) {
	d := ag.unconfirmed[0]
	stored, ok := w.stored[d.Key]
	if !ok {
		return
	}
	record, due := claim.Finish(stored.Record, d.Attempt, d.Answer, w.now)
	if due && w.unreliableSwap(t, claim.CompareAndSwap{Key: d.Key, Record: record, Index: stored.Index}).Outcome != claim.SwapDone {
		return
	}
	ag.unconfirmed = ag.unconfirmed[1:]
	ag.guard.Step(w.now, claim.AnswerWritten{Attempt: d.Attempt})
}

// restart discards everything that the agent has in memory.
func (w *world) restart(ag *agent) {
	ag.restarts++
	incarnation := fmt.Sprint(ag.name, "-", ag.restarts)
	if w.fault == faultSameIncarnation {
		incarnation = ag.guard.Incarnation()
	}
	ag.guard = newAgentGuard(incarnation)
	ag.queue, ag.running, ag.unconfirmed = nil, nil, nil
}
