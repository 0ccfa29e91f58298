package gate_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/agent/services/gate"
	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

const (
	// runTime is how long a run takes.
	runTime = 100 * time.Millisecond
	// runs is the number of runs that observeRuns makes, enough for an estimate to be used.
	runs = 10
)

func newGate() *gate.Gate {
	return gate.NewGate(queue.Settings{Mode: queue.ModeFair, MaxWaiting: 16, Slots: 1, InitialServiceTime: runTime})
}

func newItem(id string, priority config.Priority, remaining time.Duration) queue.Item {
	return queue.Item{
		ID:          id,
		Team:        "kranj",
		Priority:    priority,
		Weight:      1,
		Cost:        1,
		Deadline:    time.Now().Add(remaining),
		Preemptible: priority == config.PriorityBatch,
	}
}

// observeRuns sends runs through the gate that each take runTime.
func observeRuns(t *testing.T, g *gate.Gate) {
	t.Helper()
	for n := range runs {
		ticket, refused := g.Acquire(t.Context(), "generate", newItem(strconv.Itoa(n), config.PriorityNormal, time.Second))
		if refused != nil {
			t.Fatal(refused)
		}
		time.Sleep(runTime)
		g.Release(ticket, 1)
	}
}

// A call is admitted with less time left than a run of its stage takes. Its answer comes late, and
// the run holds a slot that another call needs to meet its deadline.
func TestGateRefusesCallWithTooLittleTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		observeRuns(t, g)
		_, refused := g.Acquire(t.Context(), "generate", newItem("short", config.PriorityUrgent, runTime/2))
		is.True(refused != nil)
		is.Equal(refused.Code, codes.DeadlineUnmeetable)
		is.Equal(refused.Outcome, codes.OutcomeNotRun)
		_, refused = g.Acquire(t.Context(), "encode", newItem("other", config.PriorityUrgent, runTime/2))
		is.Equal(refused, nil) // the estimate of one stage does not apply to another
	})
}

// After a minute of long prompts, answers to short prompts come late above capacity. Long prompts
// cost five times as much but take hardly longer, so with their time per cost unit a short prompt
// would be admitted with a fifth of the time that it takes.
func TestGateEstimatesLongAndShortPromptsSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		observeRuns(t, g)
		for n := range 30 * runs {
			long := newItem("long-"+strconv.Itoa(n), config.PriorityNormal, time.Second)
			long.Cost = 5
			ticket, refused := g.Acquire(t.Context(), "generate", long)
			is.Equal(refused, nil)
			time.Sleep(runTime)
			g.Release(ticket, long.Cost)
		}
		observeRuns(t, g) // the estimate of short prompts is fresh again
		_, refused := g.Acquire(t.Context(), "generate", newItem("short", config.PriorityUrgent, runTime/2))
		is.True(refused != nil)
	})
}

// Calls are still refused after a slow minute has passed: they are refused as too late to start, so
// no run shows that the backend server is fast again.
func TestGateEstimateDecaysWithoutRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		observeRuns(t, g)
		time.Sleep(10 * time.Second)
		_, refused := g.Acquire(t.Context(), "generate", newItem("short", config.PriorityUrgent, runTime/2))
		is.Equal(refused, nil)
	})
}

// An urgent call waits for a batch run to end, and its answer comes late. The gate must cancel the
// batch run in time, with the cause that allows it to be retried.
func TestGatePreemptsBatchRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		observeRuns(t, g)
		batch, refused := g.Acquire(t.Context(), "generate", newItem("batch", config.PriorityBatch, time.Minute))
		is.Equal(refused, nil)
		ctx, cancel := context.WithCancelCause(t.Context())
		g.SetCancel(batch, cancel)
		r := &canceledRun{gate: g, ticket: batch, ctx: ctx}
		go r.run()
		ticket, refused := g.Acquire(t.Context(), "generate", newItem("urgent", config.PriorityUrgent, runTime+runTime/2))
		is.Equal(refused, nil)
		is.True(ticket.Queued < runTime/2)
		var cause *codes.Result
		is.True(errors.As(context.Cause(ctx), &cause))
		is.Equal(cause.Code, codes.Preempted)
		g.Release(ticket, 1)
	})
}

// canceledRun is a run that frees its slot once it is canceled.
type canceledRun struct {
	gate   *gate.Gate
	ticket *gate.Ticket
	ctx    context.Context //nolint:containedctx // the context of the run
}

func (r *canceledRun) run() {
	<-r.ctx.Done()
	r.gate.Release(r.ticket, 0)
}

// Guards against a backend server that has asked for no further calls and gets those that wait, and
// against calls that wait although their deadline passes meanwhile.
func TestPausedGateStartsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := newGate()
		g.Start(ctx)
		const pause = 2 * time.Second
		g.Pause(pause)
		is.True(g.GetLoad().Wait >= pause) // entries prefer other agents
		_, refused := g.Acquire(t.Context(), "generate", newItem("short", config.PriorityNormal, time.Second))
		is.True(refused != nil)
		is.Equal(refused.Code, codes.DeadlineUnmeetable)
		is.Equal(refused.RetryAfter, pause)
		ticket, refused := g.Acquire(t.Context(), "generate", newItem("long", config.PriorityNormal, time.Minute))
		is.Equal(refused, nil)
		is.True(ticket.Queued >= pause)
		is.True(ticket.Queued < pause+time.Second)
		g.Release(ticket, 1)
	})
}

// Guards against calls that wait until their deadline when it is known before that they cannot start.
func TestPauseRefusesWaitingCallsThatCannotStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		running, refused := g.Acquire(t.Context(), "generate", newItem("running", config.PriorityNormal, time.Minute))
		is.Equal(refused, nil)
		w := &waitingCall{gate: g, item: newItem("waiting", config.PriorityNormal, time.Second)}
		go w.run(t.Context())
		synctest.Wait()
		g.Pause(5 * time.Second)
		synctest.Wait()
		is.True(w.refused != nil)
		is.Equal(w.refused.Outcome, codes.OutcomeNotRun)
		g.Release(running, 1)
	})
}

// waitingCall is a call that waits for a slot.
type waitingCall struct {
	gate    *gate.Gate
	item    queue.Item
	refused *codes.Result
}

func (w *waitingCall) run(ctx context.Context) {
	_, w.refused = w.gate.Acquire(ctx, "generate", w.item)
}
