package pieces

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/modules/codes"
)

// walk is one chain under way.
type walk struct {
	Chain
	maker *Maker
	plan  chain.Plan

	lock sync.Mutex
	// handles are by stage.
	handles [][]string
	// users counts the stages that still need a stage's results.
	users []int
	// until is how long a stage's results are kept.
	until []time.Time
	// begun marks the stages whose results are not pending any more.
	begun []bool
	// isGone is set where the chain failed because an input had gone.
	isGone bool
}

// settlePending takes off what the stages that were never begun would have needed.
func (w *walk) settlePending() {
	for stage, s := range w.Stages {
		if !w.begun[stage] {
			w.maker.addPending(s.Service, w.Rank, -w.count(stage))
		}
	}
}

// ended is how one stage ended.
type ended struct {
	stage int
	done  batch.Completion
}

func (m *Maker) newWalk(c Chain, plan chain.Plan) *walk {
	w := &walk{
		Chain: c, maker: m, plan: plan, handles: make([][]string, len(c.Stages)), users: make([]int, len(c.Stages)),
		until: make([]time.Time, len(c.Stages)), begun: make([]bool, len(c.Stages)),
	}
	for stage, s := range c.Stages {
		m.addPending(s.Service, c.Rank, c.count(stage))
		for _, before := range s.After {
			w.users[before]++
		}
	}
	return w
}

func (w *walk) makeResults(ctx context.Context) (*Results, *codes.Result) {
	defer w.settlePending()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if failed := w.makeAll(ctx); failed != nil {
		w.releaseAll()
		return nil, failed
	}
	final := []string{}
	for stage := range w.Stages {
		if w.isLast(stage) {
			final = append(final, w.handles[stage]...)
		}
	}
	return NewResults(final, w.releaseAll), nil
}

// makeAll starts each stage when its inputs are there and its turn has come.
func (w *walk) makeAll(ctx context.Context) *codes.Result {
	if refused := w.refuse(); refused != nil {
		return refused
	}
	ends := make(chan ended, len(w.Stages))
	states := make([]stageState, len(w.Stages))
	running := w.startReady(ctx, states, ends)
	var failed *codes.Result
	for running > 0 {
		e := <-ends
		running--
		states[e.stage] = stageEnded
		if e.done.InputsReleased {
			w.forgetInputs(e.stage)
		}
		if e.done.Outcome != batch.OutcomeMade {
			if failed == nil {
				failed = w.describe(e)
				w.isGone = e.done.Outcome == batch.OutcomeInputGone
			}
			continue
		}
		w.take(e)
		if failed == nil {
			failed = w.refuse()
		}
		if failed == nil {
			running += w.startReady(ctx, states, ends)
		}
	}
	return failed
}

func (w *walk) refuse() *codes.Result {
	if w.Refuse == nil {
		return nil
	}
	return w.Refuse()
}

// stageState is how far a stage is.
type stageState string

// The states; a stage that was not begun has none.
const (
	stageRunning stageState = "running"
	stageEnded   stageState = "ended"
)

// startReady starts what can begin and returns how many stages that are.
func (w *walk) startReady(ctx context.Context, states []stageState, ends chan<- ended) int {
	deepest := 0
	for stage, s := range states {
		if s != stageEnded && w.count(stage) > 0 {
			deepest = max(deepest, w.plan.StagesLeft[stage])
		}
	}
	started := 0
	for stage := range w.Stages {
		if states[stage] != "" || !w.hasInputs(stage, states) {
			continue
		}
		if w.count(stage) > 0 && !w.plan.ShouldStart(stage, deepest) {
			continue
		}
		states[stage] = stageRunning
		w.begun[stage] = true
		w.maker.addPending(w.Stages[stage].Service, w.Rank, -w.count(stage))
		started++
		if w.OnLast != nil && !slices.Contains(w.begun, false) {
			w.OnLast()
		}
		go w.runStage(ctx, stage, ends)
	}
	return started
}

func (w *walk) hasInputs(stage int, states []stageState) bool {
	for _, before := range w.Stages[stage].After {
		if states[before] != stageEnded {
			return false
		}
	}
	return true
}

func (w *walk) runStage(ctx context.Context, stage int, ends chan<- ended) {
	n := w.count(stage)
	if n == 0 {
		ends <- ended{stage: stage, done: batch.Completion{Outcome: batch.OutcomeMade}}
		return
	}
	began := time.Now()
	s := w.Stages[stage]
	target, expires := w.plan.Deadlines(stage, w.Target, w.Ends)
	if until, bound := w.inputsUntil(stage); bound && until.Before(expires) {
		expires = until
	}
	inputs := w.inputsOf(stage)
	done := w.maker.produce(ctx, s.Service, batch.Job{
		AttemptID:     w.AttemptID,
		RequestDigest: w.Request,
		Stage:         stage,
		Count:         n,
		Key:           w.keyOf(stage),
		Inputs:        inputs.handles,
		ResultBytes:   s.ResultBytes,
		Target:        target,
		Expires:       expires,
		Rank:          w.Rank,
		Domain:        w.domainOf(stage, inputs),
		Residency:     w.Residency,

		InputService: inputs.service,
		InputBytes:   inputs.bytes,
	})
	w.Log.Info("stage-ended", zap.Int("stage", stage), zap.String("stage-service", s.Service), zap.Int("items", n),
		zap.String("outcome", string(done.Outcome)), zap.Duration("took", time.Since(began)))
	ends <- ended{stage: stage, done: done}
}

// take notes a stage's results and releases the inputs that nobody needs any more.
func (w *walk) take(e ended) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.handles[e.stage] = e.done.Handles
	if keep := w.maker.keepTime(w.Stages[e.stage].Service); keep > 0 {
		w.until[e.stage] = time.Now().Add(keep - keepReserve)
	}
	for _, before := range w.Stages[e.stage].After {
		w.users[before]--
		if w.users[before] == 0 {
			w.maker.Discard(w.Stages[before].Service, w.handles[before])
			w.handles[before] = nil
		}
	}
}

func (w *walk) releaseAll() {
	w.lock.Lock()
	defer w.lock.Unlock()
	for stage, handles := range w.handles {
		w.maker.Discard(w.Stages[stage].Service, handles)
		w.handles[stage] = nil
	}
}

// keepReserve is taken off the time that results are kept: the news of them needed
// its way, and the first of a job may be older than its last.
const keepReserve = 400 * time.Millisecond

// describe turns the end of a stage into the answer of a request, which has not run.
func (w *walk) describe(e ended) *codes.Result {
	service := w.Stages[e.stage].Service
	switch e.done.Outcome {
	case batch.OutcomeCanceled:
		return codes.NewResult(codes.Canceled, "the request was given up").WithOutcome(codes.OutcomeNotRun)
	case batch.OutcomeBusy, batch.OutcomeExpired:
		return codes.NewResult(codes.DeadlineUnmeetable, "no time is left for "+service).WithRetryAfter(e.done.RetryAfter)
	case batch.OutcomeNoServer:
		return codes.NewResult(codes.NoBackend, "no server of "+service+" takes work").WithRetryAfter(e.done.RetryAfter)
	default:
		return codes.NewResult(codes.Overloaded, "a result of "+service+" could not be made: "+string(e.done.Outcome)).
			WithRetryAfter(max(e.done.RetryAfter, minPause))
	}
}

// minPause is the shortest time that a caller is told to wait after a stage failed.
const minPause = 200 * time.Millisecond
