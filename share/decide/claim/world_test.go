package claim_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

// fault breaks one guard from outside, to show that the replay notices.
type fault string

const (
	faultNone fault = ""
	// faultSameIncarnation restarts agents under their old incarnation.
	faultSameIncarnation fault = "same-incarnation"
	// faultIgnoredIndex makes the key-value service write whatever the index.
	faultIgnoredIndex fault = "ignored-index"
	// faultUnsureIsSwapped reports a write without an answer as swapped.
	faultUnsureIsSwapped fault = "unsure-is-swapped"
	// faultUnreachableIsTombstoned takes a silent agent's attempt for dead.
	faultUnreachableIsTombstoned fault = "unreachable-is-tombstoned"
	// faultRestartIsTombstoned takes an earlier incarnation's attempt for dead.
	faultRestartIsTombstoned fault = "restart-is-tombstoned"
	// faultRefusalOutsideGuard refuses queued attempts without telling the guard.
	faultRefusalOutsideGuard fault = "refusal-outside-guard"
	// faultForgetful lets the guard forget its attempts while it keeps its incarnation.
	faultForgetful fault = "forgetful"
	// faultEchoAnswered passes on the answers to second copies of a dispatch.
	faultEchoAnswered fault = "echo-answered"
)

const (
	worldKeys     = 2
	worldAgents   = 2
	maxSubmission = 8
)

// message waits in the network: any order, lost, or more than once.
type message struct {
	agent      string
	submission int
	event      claim.Event
	// echo marks a second copy; no stream waits for the answer to that of a dispatch.
	echo bool
}

// client is an entry's shell around one submission.
type client struct {
	submission *claim.Submission
	request    claim.Request
	inbox      []claim.Event
	asking     string
	notRun     bool
}

// server is an agent's shell around its guard.
type server struct {
	name        string
	guard       *claim.Guard
	restarts    int
	queue       []string
	running     []string
	unconfirmed []claim.WriteDone
	// origins maps attempts to submissions.
	origins map[string]int
}

// world is the whole system with one process of each kind mistreated at will.
type world struct {
	fault   fault
	now     time.Time
	stored  map[string]claim.Stored
	late    []claim.CompareAndSwap
	network []message
	clients []*client
	servers map[string]*server
	// runs counts the backend server's runs by key, and by attempt.
	runs     map[string]int
	attempts map[string]int
	replies  int
	answers  int
	notRun   int
	broken   string
}

func newWorld(f fault) *world {
	w := &world{
		fault: f, now: start(), stored: map[string]claim.Stored{}, servers: map[string]*server{},
		runs: map[string]int{}, attempts: map[string]int{},
	}
	for i := range worldAgents {
		name := fmt.Sprint("agent-", i)
		w.servers[name] = &server{name: name, origins: map[string]int{}, guard: newWorldGuard(name)}
	}
	return w
}

func newWorldGuard(incarnation string) *claim.Guard {
	return claim.NewGuard(incarnation, claim.GuardLimits{Attempts: 6, Answers: 1})
}

func (w *world) breaksf(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// swap applies a write at once; the late ones come by the action "late write".
func (w *world) swap(c claim.CompareAndSwap) bool {
	current := w.stored[c.Key]
	if current.Index != c.Index && w.fault != faultIgnoredIndex {
		return false
	}
	w.stored[c.Key] = claim.Stored{Record: c.Record, Index: current.Index + 1}
	return true
}

// unsureSwap writes with or without an answer, now or later.
func (w *world) unsureSwap(t *rapid.T, c claim.CompareAndSwap) claim.SwapResult {
	switch rapid.IntRange(0, 4).Draw(t, "write") {
	case 0:
		w.late = append(w.late, c)
		return w.unsure()
	case 1:
		w.swap(c)
		return w.unsure()
	}
	if w.swap(c) {
		return claim.SwapResult{Outcome: claim.SwapDone, Index: w.stored[c.Key].Index}
	}
	return claim.SwapResult{Outcome: claim.SwapLost}
}

func (w *world) unsure() claim.SwapResult {
	if w.fault == faultUnsureIsSwapped {
		return claim.SwapResult{Outcome: claim.SwapDone, Index: 1}
	}
	return claim.SwapResult{Outcome: claim.SwapUnknown}
}

// submit starts one submission of a key, as a caller does at any entry at any time.
func (w *world) submit(t *rapid.T, key string, known *claim.Stored) {
	if len(w.clients) == maxSubmission {
		return
	}
	id := len(w.clients)
	agent := w.servers[fmt.Sprint("agent-", rapid.IntRange(0, worldAgents-1).Draw(t, "agent"))]
	c := &client{request: claim.Request{
		Key: key, BodyDigest: key, RetryAfter: time.Second, Deadline: w.now.Add(4 * time.Second),
		Choice: claim.Choice{Attempt: fmt.Sprint("attempt-", id), Agent: agent.name, Incarnation: agent.guard.Incarnation()},
	}}
	c.submission = claim.NewSubmission(c.request)
	w.clients = append(w.clients, c)
	w.step(t, id, claim.Started{Known: known})
}

func (w *world) step(t *rapid.T, id int, e claim.Event) {
	for _, a := range w.clients[id].submission.Step(w.now, e) {
		w.act(t, id, a)
	}
}

func (w *world) act(t *rapid.T, id int, a claim.Action) {
	c := w.clients[id]
	switch v := a.(type) {
	case claim.Read:
		c.inbox = append(c.inbox, w.read(t, v.Key))
	case claim.CompareAndSwap:
		c.inbox = append(c.inbox, w.unsureSwap(t, v))
	case claim.AskAgent:
		c.asking = v.Attempt
		w.network = append(w.network, message{agent: v.Agent, submission: id, event: claim.Asked{Attempt: v.Attempt, Incarnation: v.Incarnation}})
	case claim.Dispatch:
		e := claim.Dispatched{Key: c.request.Key, Attempt: v.Choice.Attempt, Incarnation: v.Choice.Incarnation}
		w.network = append(w.network, message{agent: v.Choice.Agent, submission: id, event: e})
	case claim.Reply:
		w.reply(c, v)
	case claim.Release:
		w.release(t, v)
	}
}

func (w *world) read(t *rapid.T, key string) claim.ReadBack {
	if rapid.IntRange(0, 7).Draw(t, "read") == 0 {
		return claim.ReadBack{Failed: true}
	}
	stored, ok := w.stored[key]
	if !ok {
		return claim.ReadBack{}
	}
	return claim.ReadBack{Stored: &stored}
}

func (w *world) release(t *rapid.T, v claim.Release) {
	if rapid.Bool().Draw(t, "submit again") {
		w.submit(t, v.Key, &v.Stored)
		return
	}
	w.unsureSwap(t, claim.CompareAndSwap{Key: v.Key, Record: v.Stored.Record, Index: v.Stored.Index})
}

// reply checks what a caller concludes from its answer.
func (w *world) reply(c *client, v claim.Reply) {
	w.replies++
	c.notRun = v.Result.Outcome == codes.OutcomeNotRun
	if c.notRun {
		w.notRun++
	}
	if v.Answer != nil {
		w.answers++
	}
	if c.notRun && w.attempts[c.request.Choice.Attempt] > 0 {
		w.breaksf("%s was called not run after its run", c.request.Choice.Attempt)
	}
	if v.Answer != nil && string(v.Answer.Body) != c.request.Key {
		w.breaksf("a submission of %s got the answer of %s", c.request.Key, v.Answer.Body)
	}
	if v.Answer != nil && w.runs[c.request.Key] == 0 {
		w.breaksf("%s has an answer without a run", c.request.Key)
	}
}

// arrive hands a message to an agent or a submission.
func (w *world) arrive(t *rapid.T, m message) {
	if m.agent == "" {
		w.step(t, m.submission, m.event)
		return
	}
	s := w.servers[m.agent]
	d, dispatch := m.event.(claim.Dispatched)
	if dispatch {
		s.origins[d.Attempt] = m.submission
	}
	for _, a := range s.guard.Step(w.now, m.event) {
		_, admitted := a.(claim.Enqueue)
		if admitted || !dispatch || !m.echo || w.fault == faultEchoAnswered {
			w.serve(t, s, m.submission, a)
		}
	}
}

func (w *world) serve(t *rapid.T, s *server, submission int, a claim.Action) {
	switch v := a.(type) {
	case claim.Enqueue:
		s.queue = append(s.queue, v.Attempt)
	case claim.Refuse:
		w.refuse(s, v.Attempt, v.Code)
	case claim.Tell:
		if w.fault == faultRestartIsTombstoned && v.Told.State == claim.ToldOtherIncarnation {
			v.Told.State = claim.ToldTombstoned
		}
		w.network = append(w.network, message{submission: submission, event: v.Told})
	case claim.Run:
		w.run(t, s, v.Attempt)
	case claim.WriteDone:
		s.unconfirmed = append(s.unconfirmed, v)
		end := claim.RunEnded{Attempt: v.Attempt, Result: *codes.NewResult(codes.OK, ""), Answer: &v.Answer}
		w.network = append(w.network, message{submission: s.origins[v.Attempt], event: end})
	}
}

func (w *world) refuse(s *server, attempt string, c codes.Code) {
	result := codes.NewResult(c, "").WithOutcome(codes.OutcomeNotRun)
	w.network = append(w.network, message{submission: s.origins[attempt], event: claim.RunEnded{Attempt: attempt, Result: *result}})
}

// run is the backend server's ledger.
func (w *world) run(t *rapid.T, s *server, attempt string) {
	s.running = append(s.running, attempt)
	if rapid.IntRange(0, 9).Draw(t, "backend refuses the connection") == 0 {
		w.finish(t, s, codes.OutcomeNotRun)
		return
	}
	c := w.clients[s.origins[attempt]]
	w.runs[c.request.Key]++
	w.attempts[attempt]++
	if w.runs[c.request.Key] > 1 {
		w.breaksf("%s ran twice", c.request.Key)
	}
	if c.notRun {
		w.breaksf("%s ran after it was called not run", attempt)
	}
}

// finish ends the run begun last.
func (w *world) finish(t *rapid.T, s *server, o codes.Outcome) {
	last := len(s.running) - 1
	attempt := s.running[last]
	s.running = s.running[:last]
	key := w.clients[s.origins[attempt]].request.Key
	e := claim.RunFinished{Attempt: attempt, Outcome: o, Answer: claim.Answer{Status: 201, Body: []byte(key)}}
	for _, a := range s.guard.Step(w.now, e) {
		w.serve(t, s, s.origins[attempt], a)
	}
	if o != codes.OutcomeRan {
		result := codes.NewResult(codes.BackendLost, "").WithOutcome(o)
		w.network = append(w.network, message{submission: s.origins[attempt], event: claim.RunEnded{Attempt: attempt, Result: *result}})
	}
}

// writeDone tries to record the oldest unconfirmed answer.
func (w *world) writeDone(t *rapid.T, s *server) {
	d := s.unconfirmed[0]
	stored, ok := w.stored[d.Key]
	if !ok {
		return
	}
	record, due := claim.Finish(stored.Record, d.Attempt, d.Answer, w.now)
	if due && w.unsureSwap(t, claim.CompareAndSwap{Key: d.Key, Record: record, Index: stored.Index}).Outcome != claim.SwapDone {
		return
	}
	s.unconfirmed = s.unconfirmed[1:]
	s.guard.Step(w.now, claim.DoneWritten{Attempt: d.Attempt})
}

// restart loses all that an agent has in memory.
func (w *world) restart(s *server) {
	s.restarts++
	incarnation := fmt.Sprint(s.name, "-", s.restarts)
	if w.fault == faultSameIncarnation {
		incarnation = s.guard.Incarnation()
	}
	s.guard = newWorldGuard(incarnation)
	s.queue, s.running, s.unconfirmed = nil, nil, nil
}
