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

// TestMain fixes the seed: each run replays the same histories.
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

// pick skips before it draws where there is nothing, so that rapid tries another move.
func pick(t *rapid.T, n int, label string) int {
	if n == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.IntRange(0, n-1).Draw(t, label)
}

func (w *world) pickServer(t *rapid.T, fits func(*server) bool) *server {
	var found []*server
	for i := range worldAgents {
		if s := w.servers[fmt.Sprint("agent-", i)]; fits(s) {
			found = append(found, s)
		}
	}
	return found[pick(t, len(found), "agent")]
}

func (w *world) pickClient(t *rapid.T, fits func(*client) bool) int {
	var found []int
	for id, c := range w.clients {
		if fits(c) {
			found = append(found, id)
		}
	}
	return found[pick(t, len(found), "submission")]
}

// moves are what may happen next, in any order.
func (w *world) moves() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":            func(t *rapid.T) { w.submit(t, fmt.Sprint("key-", pick(t, worldKeys, "key")), nil) },
		"service answers":   w.moveInbox,
		"service answers 2": w.moveInbox,
		"deliver":           w.moveDeliver,
		"deliver 2":         w.moveDeliver,
		"late write":        w.moveLateWrite,
		"cut":               w.moveCut,
		"time":              w.moveTime,
		"silence":           w.moveSilence,
		"start":             w.moveStart,
		"start 2":           w.moveStart,
		"finish":            w.moveFinish,
		"drop":              w.moveDrop,
		"write done":        w.moveWriteDone,
		"restart":           w.moveRestart,
		"resolve":           w.moveResolve,
	}
}

func (w *world) moveInbox(t *rapid.T) {
	id := w.pickClient(t, func(c *client) bool { return len(c.inbox) > 0 })
	c := w.clients[id]
	e := c.inbox[0]
	c.inbox = c.inbox[1:]
	w.step(t, id, e)
}

// moveDeliver takes any message; it may stay to come again, or be lost.
func (w *world) moveDeliver(t *rapid.T) {
	i := pick(t, len(w.network), "message")
	m := w.network[i]
	how := rapid.IntRange(0, 9).Draw(t, "network")
	if how > 1 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	} else {
		w.network[i].echo = true
	}
	if how != 9 {
		w.arrive(t, m)
	}
}

func (w *world) moveLateWrite(t *rapid.T) {
	i := pick(t, len(w.late), "write")
	c := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.swap(c)
}

// moveCut ends a dispatch's stream without an end record.
func (w *world) moveCut(t *rapid.T) {
	id := w.pickClient(t, func(c *client) bool { return !c.submission.Settled() })
	result := codes.NewResult(codes.BackendLost, "").WithOutcome(codes.OutcomeUnknown)
	w.step(t, id, claim.RunEnded{Attempt: w.clients[id].request.Choice.Attempt, Result: *result})
}

func (w *world) moveTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for id, c := range w.clients {
		due := !c.submission.Settled() && !w.now.Before(c.request.Deadline)
		if due && rapid.Bool().Draw(t, "timer runs") {
			w.step(t, id, claim.DeadlinePassed{})
		}
	}
}

// moveSilence lets the asking of an agent end without an answer.
func (w *world) moveSilence(t *rapid.T) {
	id := w.pickClient(t, func(c *client) bool { return c.asking != "" && !c.submission.Settled() })
	state := claim.ToldUnreachable
	if w.fault == faultUnreachableIsTombstoned {
		state = claim.ToldTombstoned
	}
	w.step(t, id, claim.Told{Attempt: w.clients[id].asking, State: state})
}

func (w *world) moveStart(t *rapid.T) {
	s := w.pickServer(t, func(s *server) bool { return len(s.queue) > 0 })
	i := pick(t, len(s.queue), "queued")
	attempt := s.queue[i]
	s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	until := w.clients[s.origins[attempt]].request.Deadline
	for _, a := range s.guard.Step(w.now, claim.Starting{Attempt: attempt, Until: until}) {
		w.serve(t, s, s.origins[attempt], a)
	}
}

func (w *world) moveFinish(t *rapid.T) {
	s := w.pickServer(t, func(s *server) bool { return len(s.running) > 0 })
	outcome := codes.OutcomeRan
	if rapid.IntRange(0, 4).Draw(t, "answer lost") == 0 {
		outcome = codes.OutcomeUnknown
	}
	w.finish(t, s, outcome)
}

// moveDrop lets an agent refuse a queued attempt.
func (w *world) moveDrop(t *rapid.T) {
	s := w.pickServer(t, func(s *server) bool { return len(s.queue) > 0 })
	i := pick(t, len(s.queue), "queued")
	attempt := s.queue[i]
	if w.fault != faultRefusalOutsideGuard {
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
		s.guard.Step(w.now, claim.Dropped{Attempt: attempt})
	}
	w.refuse(s, attempt, codes.Overloaded)
}

func (w *world) moveWriteDone(t *rapid.T) {
	w.writeDone(t, w.pickServer(t, func(s *server) bool { return len(s.unconfirmed) > 0 }))
}

func (w *world) moveRestart(t *rapid.T) {
	s := w.pickServer(t, func(*server) bool { return true })
	switch {
	case rapid.IntRange(0, 5).Draw(t, "crash") == 0:
		w.restart(s)
	case s.guard.Full() && s.guard.Renew(fmt.Sprint(s.name, "-", s.restarts+1)):
		s.restarts++
	case w.fault == faultForgetful:
		s.guard = newWorldGuard(s.guard.Incarnation())
	}
}

// moveResolve is an operator who asks the agent and knows the backend server's books.
func (w *world) moveResolve(t *rapid.T) {
	key := fmt.Sprint("key-", pick(t, worldKeys, "key"))
	stored, ok := w.stored[key]
	if !ok || rapid.IntRange(0, 5).Draw(t, "operator") > 0 {
		return
	}
	told := claim.ToldUnreachable
	r := stored.Record
	for _, a := range w.servers[r.Agent].guard.Step(w.now, claim.Asked{Attempt: r.Attempt, Incarnation: r.Incarnation}) {
		if v, ok := a.(claim.Tell); ok {
			told = v.Told.State
		}
	}
	outcome := codes.OutcomeNotRun
	if w.runs[key] > 0 {
		outcome = codes.OutcomeRan
	}
	settled, err := claim.Resolve(r, claim.Resolution{By: "ana", Outcome: outcome, Told: told}, w.now)
	if err != nil {
		return
	}
	w.swap(claim.CompareAndSwap{Key: key, Record: settled, Index: stored.Index})
}

// A workshop's boards come twice, or never though the answer said otherwise.
// Causes: a key sent again at other entries while claim writes come late,
// answers get lost, messages double and cross, and agents restart.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	replies, answers, notRun, runs := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(faultNone)
		moves := w.moves()
		moves[""] = func(t *rapid.T) {
			if w.broken != "" {
				t.Fatal(w.broken)
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

// The replay must notice each guard that is broken from outside.
func TestReplayNoticesBrokenGuards(t *testing.T) {
	const histories = 20000
	for _, f := range []fault{
		faultSameIncarnation, faultIgnoredIndex, faultUnsureIsSwapped, faultUnreachableIsTombstoned,
		faultRestartIsTombstoned, faultRefusalOutsideGuard, faultForgetful, faultEchoAnswered,
	} {
		t.Run(string(f), func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) string {
				w := newWorld(f)
				t.Repeat(w.moves())
				return w.broken
			})
			for seed := range histories {
				if broken := history.Example(seed); broken != "" {
					t.Logf("history %d: %s", seed, broken)
					return
				}
			}
			t.Fatalf("%d histories did not notice", histories)
		})
	}
}
