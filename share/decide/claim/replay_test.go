package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

// TestMain fixes the seed, so that each run replays the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "4000", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// pick draws an index below n. If n is 0, it skips before it draws, so that rapid tries another
// move.
func pick(t *rapid.T, n int, label string) int {
	if n == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.IntRange(0, n-1).Draw(t, label)
}

func (w *world) pickAgent(t *rapid.T, fits func(*agent) bool) *agent {
	var found []*agent
	for i := range agentCount {
		if ag := w.agents[fmt.Sprint("agent-", i)]; fits(ag) {
			found = append(found, ag)
		}
	}
	return found[pick(t, len(found), "agent")]
}

func (w *world) pickSubmitter(t *rapid.T, fits func(*submitter) bool) int {
	var found []int
	for id, c := range w.submitters {
		if fits(c) {
			found = append(found, id)
		}
	}
	return found[pick(t, len(found), "submission")]
}

// moves returns the steps that a history may take, in any order. A second entry for a step doubles
// its frequency.
func (w *world) moves() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":            func(t *rapid.T) { w.submit(t, fmt.Sprint("key-", pick(t, keyCount, "key")), nil) },
		"service answers":   w.moveInbox,
		"service answers 2": w.moveInbox,
		"deliver":           w.moveDeliver,
		"deliver 2":         w.moveDeliver,
		"late write":        w.moveLateWrite,
		"cut":               w.moveStreamLost,
		"time":              w.moveClock,
		"silence":           w.moveUnreachable,
		"start":             w.moveStart,
		"start 2":           w.moveStart,
		"finish":            w.moveFinish,
		"drop":              w.moveDrop,
		"write done":        w.moveWriteAnswer,
		"restart":           w.moveRestart,
		"resolve":           w.moveResolve,
	}
}

func (w *world) moveInbox(t *rapid.T) {
	id := w.pickSubmitter(t, func(c *submitter) bool { return len(c.inbox) > 0 })
	c := w.submitters[id]
	e := c.inbox[0]
	c.inbox = c.inbox[1:]
	w.step(t, id, e)
}

// moveDeliver takes any message in transit and delivers it or loses it. A delivered message may
// stay in transit as a duplicate.
func (w *world) moveDeliver(t *rapid.T) {
	i := pick(t, len(w.network), "message")
	m := w.network[i]
	how := rapid.IntRange(0, 9).Draw(t, "network")
	if how > 1 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	} else {
		w.network[i].duplicate = true
	}
	if how != 9 {
		w.arrive(t, m)
	}
}

func (w *world) moveLateWrite(t *rapid.T) {
	i := pick(t, len(w.lateWrites), "write")
	c := w.lateWrites[i]
	w.lateWrites = append(w.lateWrites[:i:i], w.lateWrites[i+1:]...)
	w.swap(c)
}

// moveStreamLost ends the stream of a dispatch without its result.
func (w *world) moveStreamLost(t *rapid.T) {
	id := w.pickSubmitter(t, func(c *submitter) bool { return !c.submission.Settled() })
	result := codes.NewResult(codes.BackendLost, "").WithOutcome(codes.OutcomeUnknown)
	w.step(t, id, claim.DispatchEnded{Attempt: w.submitters[id].request.Choice.Attempt, Result: *result})
}

func (w *world) moveClock(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for id, c := range w.submitters {
		due := !c.submission.Settled() && !w.now.Before(c.request.Deadline)
		if due && rapid.Bool().Draw(t, "timer runs") {
			w.step(t, id, claim.DeadlinePassed{})
		}
	}
}

// moveUnreachable ends a RequestTombstone without a report.
func (w *world) moveUnreachable(t *rapid.T) {
	id := w.pickSubmitter(t, func(c *submitter) bool { return c.queriedAttempt != "" && !c.submission.Settled() })
	state := claim.ReportedUnreachable
	if w.fault == faultUnreachableIsTombstoned {
		state = claim.ReportedTombstoned
	}
	w.step(t, id, claim.AttemptReport{Attempt: w.submitters[id].queriedAttempt, State: state})
}

func (w *world) moveStart(t *rapid.T) {
	ag := w.pickAgent(t, func(ag *agent) bool { return len(ag.queue) > 0 })
	i := pick(t, len(ag.queue), "queued")
	attempt := ag.queue[i]
	ag.queue = append(ag.queue[:i:i], ag.queue[i+1:]...)
	until := w.submitters[ag.origins[attempt]].request.Deadline
	for _, a := range ag.guard.Step(w.now, claim.Starting{Attempt: attempt, Deadline: until}) {
		w.serve(t, ag, ag.origins[attempt], a)
	}
}

func (w *world) moveFinish(t *rapid.T) {
	ag := w.pickAgent(t, func(ag *agent) bool { return len(ag.running) > 0 })
	outcome := codes.OutcomeRan
	if rapid.IntRange(0, 4).Draw(t, "answer lost") == 0 {
		outcome = codes.OutcomeUnknown
	}
	w.finish(t, ag, outcome)
}

// moveDrop makes an agent refuse a queued attempt.
func (w *world) moveDrop(t *rapid.T) {
	ag := w.pickAgent(t, func(ag *agent) bool { return len(ag.queue) > 0 })
	i := pick(t, len(ag.queue), "queued")
	attempt := ag.queue[i]
	if w.fault != faultRefusalOutsideGuard {
		ag.queue = append(ag.queue[:i:i], ag.queue[i+1:]...)
		ag.guard.Step(w.now, claim.Dropped{Attempt: attempt})
	}
	w.refuse(ag, attempt, codes.Overloaded)
}

func (w *world) moveWriteAnswer(t *rapid.T) {
	w.writeAnswer(t, w.pickAgent(t, func(ag *agent) bool { return len(ag.unconfirmed) > 0 }))
}

func (w *world) moveRestart(t *rapid.T) {
	ag := w.pickAgent(t, func(*agent) bool { return true })
	switch {
	case rapid.IntRange(0, 5).Draw(t, "crash") == 0:
		w.restart(ag)
	case ag.guard.Full() && ag.guard.StartIncarnation(fmt.Sprint(ag.name, "-", ag.restarts+1)):
		ag.restarts++
	case w.fault == faultForgottenAttempts:
		ag.guard = newAgentGuard(ag.guard.Incarnation())
	}
}

// moveResolve simulates an operator who requests the agent's report and knows from the backend
// server whether the key's request ran.
func (w *world) moveResolve(t *rapid.T) {
	key := fmt.Sprint("key-", pick(t, keyCount, "key"))
	stored, ok := w.stored[key]
	if !ok || rapid.IntRange(0, 5).Draw(t, "operator") > 0 {
		return
	}
	reported := claim.ReportedUnreachable
	r := stored.Record
	for _, a := range w.agents[r.Agent].guard.Step(w.now, claim.TombstoneRequested{Attempt: r.Attempt, Incarnation: r.Incarnation}) {
		if v, ok := a.(claim.ReportAttempt); ok {
			reported = v.Report.State
		}
	}
	outcome := codes.OutcomeNotRun
	if w.runs[key] > 0 {
		outcome = codes.OutcomeRan
	}
	settled, err := claim.Resolve(r, claim.Resolution{Operator: "ana", Outcome: outcome, Reported: reported}, w.now)
	if err != nil {
		return
	}
	w.swap(claim.CompareAndSwap{Key: key, Record: settled, Index: stored.Index})
}

// Guards against a request that runs twice, or whose answer is wrong about whether it ran: its key
// is retried at other entries while claim writes take effect late, answers are lost, messages are
// duplicated and reordered, and agents restart.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	replies, answers, notRun, runs := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(faultNone)
		moves := w.moves()
		moves[""] = func(t *rapid.T) {
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		t.Repeat(moves)
		replies += w.replies
		answers += w.answers
		notRun += w.notRun
		runs += len(w.runs)
	})
	is.True(replies > 0)
	is.True(runs > 0)
	t.Logf("%d replies, %d of them with the answer, %d not run; %d keys run", replies, answers, notRun, runs)
}

// The simulation must detect each disabled safeguard, or TestAtMostOnce would prove nothing.
func TestSimulationDetectsDisabledSafeguards(t *testing.T) {
	const histories = 20000
	for _, f := range []fault{
		faultSameIncarnation, faultIgnoredIndex, faultUnknownIsSwapped, faultUnreachableIsTombstoned,
		faultRestartIsTombstoned, faultRefusalOutsideGuard, faultForgottenAttempts, faultDuplicateAnswered,
	} {
		t.Run(string(f), func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) string {
				w := newWorld(f)
				t.Repeat(w.moves())
				return w.violation
			})
			for seed := range histories {
				if violation := history.Example(seed); violation != "" {
					t.Logf("history %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no violation in %d histories", histories)
		})
	}
}
