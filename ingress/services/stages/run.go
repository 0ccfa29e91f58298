package stages

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

// chainRun is one run of the stages of a chain. A restart of the chain creates a new one.
type chainRun struct {
	Chain
	producer *Producer
	plan     chain.Plan

	lock sync.Mutex
	// handles holds, by stage, the handles of the results that have not been released.
	handles [][]string
	// consumers counts, by stage, the stages that still need its results.
	consumers []int
	// keptUntil is, by stage, until when its results are kept; zero if that is not known.
	keptUntil []time.Time
	// started marks the stages that were started. Their results no longer count as pending.
	started []bool
	// inputGone is set if the chain failed because an input no longer existed.
	inputGone bool
}

// removePending subtracts the results of the stages that were never started from the pending
// results.
func (r *chainRun) removePending() {
	for stage, s := range r.Stages {
		if !r.started[stage] {
			r.producer.addPending(s.Service, r.Rank, -r.itemCount(stage))
		}
	}
}

// stageCompletion reports the end of one stage.
type stageCompletion struct {
	stage      int
	completion batch.Completion
}

func (p *Producer) newChainRun(c Chain, plan chain.Plan) *chainRun {
	r := &chainRun{
		Chain: c, producer: p, plan: plan, handles: make([][]string, len(c.Stages)), consumers: make([]int, len(c.Stages)),
		keptUntil: make([]time.Time, len(c.Stages)), started: make([]bool, len(c.Stages)),
	}
	for stage, s := range c.Stages {
		p.addPending(s.Service, c.Rank, c.itemCount(stage))
		for _, input := range s.After {
			r.consumers[input]++
		}
	}
	return r
}

// produceResults runs all stages and returns the results that the engine fetches, or why there are
// none.
func (r *chainRun) produceResults(ctx context.Context) (*Results, *codes.Result) {
	defer r.removePending()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if failed := r.produceAll(ctx); failed != nil {
		r.releaseAll()
		return nil, failed
	}
	final := []string{}
	for stage := range r.Stages {
		if r.isFinal(stage) {
			final = append(final, r.handles[stage]...)
		}
	}
	return NewResults(final, r.releaseAll), nil
}

// produceAll starts each stage once it has its inputs and the plan allows it, and waits until all
// started stages have ended. After a failure it starts no further stage.
func (r *chainRun) produceAll(ctx context.Context) *codes.Result {
	if refused := r.refusal(); refused != nil {
		return refused
	}
	completions := make(chan stageCompletion, len(r.Stages))
	states := make([]stageState, len(r.Stages))
	running := r.startReady(ctx, states, completions)
	var failed *codes.Result
	for running > 0 {
		c := <-completions
		running--
		states[c.stage] = stageEnded
		if c.completion.InputsReleased {
			r.forgetInputs(c.stage)
		}
		if c.completion.Outcome != batch.OutcomeMade {
			if failed == nil {
				failed = r.failureResult(c)
				r.inputGone = c.completion.Outcome == batch.OutcomeInputGone
			}
			continue
		}
		r.recordResults(c)
		if failed == nil {
			failed = r.refusal()
		}
		if failed == nil {
			running += r.startReady(ctx, states, completions)
		}
	}
	return failed
}

// refusal returns why no further stage may start, or nil.
func (r *chainRun) refusal() *codes.Result {
	if r.Refuse == nil {
		return nil
	}
	return r.Refuse()
}

// stageState is the progress of a stage.
type stageState string

// The states. The state of a stage that was not started is empty.
const (
	stageRunning stageState = "running"
	stageEnded   stageState = "ended"
)

// startReady starts the stages that can start now and returns their number.
func (r *chainRun) startReady(ctx context.Context, states []stageState, completions chan<- stageCompletion) int {
	maxStagesLeft := 0
	for stage, s := range states {
		if s != stageEnded && r.itemCount(stage) > 0 {
			maxStagesLeft = max(maxStagesLeft, r.plan.StagesLeft[stage])
		}
	}
	started := 0
	for stage := range r.Stages {
		if states[stage] != "" || !r.hasInputs(stage, states) {
			continue
		}
		if r.itemCount(stage) > 0 && !r.plan.ShouldStart(stage, maxStagesLeft) {
			continue
		}
		states[stage] = stageRunning
		r.started[stage] = true
		r.producer.addPending(r.Stages[stage].Service, r.Rank, -r.itemCount(stage))
		started++
		if r.OnLastStage != nil && !slices.Contains(r.started, false) {
			r.OnLastStage()
		}
		go r.runStage(ctx, stage, completions)
	}
	return started
}

func (r *chainRun) hasInputs(stage int, states []stageState) bool {
	for _, input := range r.Stages[stage].After {
		if states[input] != stageEnded {
			return false
		}
	}
	return true
}

func (r *chainRun) runStage(ctx context.Context, stage int, completions chan<- stageCompletion) {
	n := r.itemCount(stage)
	if n == 0 {
		completions <- stageCompletion{stage: stage, completion: batch.Completion{Outcome: batch.OutcomeMade}}
		return
	}
	start := time.Now()
	s := r.Stages[stage]
	target, expires := r.plan.Deadlines(stage, r.Target, r.Deadline)
	if until, limited := r.inputsKeptUntil(stage); limited && until.Before(expires) {
		expires = until
	}
	inputs := r.collectInputs(stage)
	completion := r.producer.produce(ctx, s.Service, batch.Job{
		AttemptID:     r.AttemptID,
		RequestDigest: r.RequestDigest,
		Stage:         stage,
		Count:         n,
		Key:           r.keyFor(stage),
		Inputs:        inputs.handles,
		ResultBytes:   s.ResultBytes,
		Target:        target,
		Expires:       expires,
		Rank:          r.Rank,
		Team:          r.Team,
		Domain:        r.preferredDomain(stage, inputs),
		Residency:     r.Residency,

		InputService: inputs.queue,
		InputBytes:   inputs.bytes,
	})
	r.Log.Info("stage-ended", zap.Int("stage", stage), zap.String("stage-service", s.Service), zap.Int("items", n),
		zap.String("outcome", string(completion.Outcome)), zap.Duration("took", time.Since(start)))
	completions <- stageCompletion{stage: stage, completion: completion}
}

// recordResults records the results of a stage and releases the inputs that no stage needs
// any more.
func (r *chainRun) recordResults(c stageCompletion) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.handles[c.stage] = c.completion.Handles
	if ttl := r.producer.resultTTL(r.Stages[c.stage].Service); ttl > 0 {
		r.keptUntil[c.stage] = time.Now().Add(ttl - resultTTLMargin)
	}
	for _, input := range r.Stages[c.stage].After {
		r.consumers[input]--
		if r.consumers[input] == 0 {
			r.producer.Discard(r.Stages[input].Service, r.handles[input])
			r.handles[input] = nil
		}
	}
}

func (r *chainRun) releaseAll() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for stage, handles := range r.handles {
		r.producer.Discard(r.Stages[stage].Service, handles)
		r.handles[stage] = nil
	}
}

// resultTTLMargin is subtracted from the time that servers keep results. The report of a result
// takes time to arrive, and the first result of a job may be older than its last.
const resultTTLMargin = 400 * time.Millisecond

// failureResult returns the answer to a request after the failure of a stage. The request itself
// has not run.
func (r *chainRun) failureResult(c stageCompletion) *codes.Result {
	service := r.Stages[c.stage].Service
	switch c.completion.Outcome {
	case batch.OutcomeCanceled:
		return codes.NewResult(codes.Canceled, "the request was given up").WithOutcome(codes.OutcomeNotRun)
	case batch.OutcomeBusy, batch.OutcomeExpired:
		return codes.NewResult(codes.DeadlineUnmeetable, "no time is left for "+service).WithRetryAfter(c.completion.RetryAfter)
	case batch.OutcomeNoServer:
		return codes.NewResult(codes.NoBackend, "no server of "+service+" takes work").WithRetryAfter(c.completion.RetryAfter)
	default:
		return codes.NewResult(codes.Overloaded, "a result of "+service+" could not be made: "+string(c.completion.Outcome)).
			WithRetryAfter(max(c.completion.RetryAfter, minRetryAfter))
	}
}

// minRetryAfter is the minimum retry-after time that a caller receives if a stage failed or the
// request was refused before its first stage.
const minRetryAfter = 200 * time.Millisecond
