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
	runTime = 100 * time.Millisecond
	runs    = 10
)

func newGate() *gate.Gate {
	return gate.NewGate(queue.Settings{Mode: queue.ModeFair, MaxWaiting: 16, Slots: 1, InitialServiceTime: runTime})
}

func item(id string, priority config.Priority, left time.Duration) queue.Item {
	return queue.Item{
		ID:          id,
		Team:        "kranj",
		Priority:    priority,
		Weight:      1,
		Cost:        1,
		Deadline:    time.Now().Add(left),
		Preemptible: priority == config.PriorityBatch,
	}
}

// learn lets the gate see runs of the usual length.
func learn(t *testing.T, g *gate.Gate) {
	t.Helper()
	for n := range runs {
		ticket, refused := g.Enter(t.Context(), "generate", item(strconv.Itoa(n), config.PriorityNormal, time.Second))
		if refused != nil {
			t.Fatal(refused)
		}
		time.Sleep(runTime)
		g.Leave(ticket, 1)
	}
}

// A caller with little time left gets a late answer, and the work for it held
// a slot that another caller's answer needed: the call was let through though
// no run of its stage ends that fast.
func TestGateRefusesWhatARunCannotEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		learn(t, g)
		_, refused := g.Enter(t.Context(), "generate", item("short", config.PriorityUrgent, runTime/2))
		is.True(refused != nil)
		is.Equal(refused.Code, codes.DeadlineUnmeetable)
		is.Equal(refused.Outcome, codes.OutcomeNotRun)
		_, refused = g.Enter(t.Context(), "encode", item("other", config.PriorityUrgent, runTime/2))
		is.Equal(refused, nil) // another stage's times say nothing of this one
	})
}

// Short prompts' answers come late above capacity after a minute of long
// prompts: those cost five times as much and take hardly longer, so that a time
// per cost unit taken from them lets short ones begin with a fifth of their time.
func TestGateTellsLongPromptsFromShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		learn(t, g)
		for n := range 30 * runs {
			long := item("long-"+strconv.Itoa(n), config.PriorityNormal, time.Second)
			long.Cost = 5
			ticket, refused := g.Enter(t.Context(), "generate", long)
			is.Equal(refused, nil)
			time.Sleep(runTime)
			g.Leave(ticket, long.Cost)
		}
		learn(t, g) // the estimate of the short ones is fresh again
		_, refused := g.Enter(t.Context(), "generate", item("short", config.PriorityUrgent, runTime/2))
		is.True(refused != nil)
	})
}

// Callers stay refused after a slow minute has passed: runs were refused as too
// late to start, so that none told that the backend server is fast again.
func TestGateForgetsASlowStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		learn(t, g)
		time.Sleep(10 * time.Second)
		_, refused := g.Enter(t.Context(), "generate", item("short", config.PriorityUrgent, runTime/2))
		is.Equal(refused, nil)
	})
}

// An urgent caller waits for a whole batch run and gets its answer late. The
// gate cancels the batch run in time, with the cause that lets it be sent again.
func TestGatePreemptsBatchRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		learn(t, g)
		batch, refused := g.Enter(t.Context(), "generate", item("batch", config.PriorityBatch, time.Minute))
		is.Equal(refused, nil)
		ctx, cancel := context.WithCancelCause(t.Context())
		g.Bind(batch, cancel)
		l := &leaver{gate: g, ticket: batch, ctx: ctx}
		go l.run()
		ticket, refused := g.Enter(t.Context(), "generate", item("urgent", config.PriorityUrgent, runTime+runTime/2))
		is.Equal(refused, nil)
		is.True(ticket.Queued < runTime/2)
		var cause *codes.Result
		is.True(errors.As(context.Cause(ctx), &cause))
		is.Equal(cause.Code, codes.Preempted)
		g.Leave(ticket, 1)
	})
}

// leaver frees the slot of a run once it was canceled.
type leaver struct {
	gate   *gate.Gate
	ticket *gate.Ticket
	ctx    context.Context //nolint:containedctx // the run that is watched
}

func (l *leaver) run() {
	<-l.ctx.Done()
	l.gate.Leave(l.ticket, 0)
}
