// Package walk runs a request through the stages of its pipeline under one deadline. It returns the
// complete answer of the pipeline, or the final result if a stage fails.
package walk

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/entry/services/stages"
	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

const (
	// bytesPerToken and unitTokens convert a prompt and a token limit to cost units.
	bytesPerToken = 4
	unitTokens    = 256
	baseCost      = 0.1
	// longPrefix and shortPrefix are the lengths, in bytes, of the prompt prefixes that are hashed
	// to find agents that have served the same prefix.
	longPrefix  = 2048
	shortPrefix = 512
)

// WaitPredictor predicts queue delays; *fleet.Fleet implements it.
type WaitPredictor interface {
	PredictWait(now time.Time, options fleet.ChooseOptions) (wait, run time.Duration, refusal *codes.Result)
}

// Request is one request of a pipeline.
type Request struct {
	ID        string
	Pipeline  *config.Pipeline
	Team      *config.Team
	Priority  config.Priority
	Deadline  time.Time
	Input     string
	MaxTokens int
	// Sink receives the last stage's stream: as it arrives, or, for a batch request, in one write
	// when it is complete. If Sink is nil, the stream is collected in the Answer.
	Sink io.Writer
}

// buffersAnswer reports whether the answer is written to the caller only once it is complete. This
// applies to batch requests: calls of higher priority may preempt them while they run, and a call
// whose first parts were already written could not be retried, so its answer would stay incomplete.
func (q *Request) buffersAnswer() bool { return q.Priority == config.PriorityBatch }

// StageReport holds the time and the number of attempts of one stage.
type StageReport struct {
	Stage    string  `json:"stage"`
	Millis   float64 `json:"millis"`
	Attempts int     `json:"attempts"`
}

// Answer is the complete answer of a pipeline.
type Answer struct {
	Text      string
	Documents []stages.Document
	Tokens    uint64
	Stages    []StageReport
}

// Walker runs pipelines.
type Walker struct {
	runner    *calls.Runner
	policy    *policy.Policy
	predictor WaitPredictor
	config    calls.Configuration
}

// NewWalker returns a walker.
func NewWalker(runner *calls.Runner, p *policy.Policy, predictor WaitPredictor, configuration calls.Configuration) *Walker {
	return &Walker{runner: runner, policy: p, predictor: predictor, config: configuration}
}

// Run runs the request through every stage and returns the answer, or the final result of the first
// stage that fails.
func (w *Walker) Run(ctx context.Context, q *Request) (*Answer, *codes.Result) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	plan, refusal := w.admit(ctx, q)
	if refusal != nil {
		return nil, refusal
	}
	state := &stages.State{Input: q.Input, MaxTokens: q.MaxTokens}
	answer := &Answer{}
	for n := range q.Pipeline.Stages {
		got, result := w.runStage(ctx, q, plan, n, state)
		if result != nil {
			return nil, asPartlyRun(n, result)
		}
		answer.Tokens += got.End.GetTokens()
		answer.Stages = append(answer.Stages, newReport(q.Pipeline.Stages[n].Name, got))
	}
	answer.Text = state.Text
	answer.Documents = state.Documents
	return answer, nil
}

// asPartlyRun sets the outcome of a stage's "not run" result to "ran" if earlier stages have
// completed, since the request has then run in part.
func asPartlyRun(done int, result *codes.Result) *codes.Result {
	if done > 0 && result.Outcome == codes.OutcomeNotRun {
		return result.WithOutcome(codes.OutcomeRan)
	}
	return result
}

func newReport(name string, got *calls.Answer) StageReport {
	took := time.Duration(got.End.GetServiceNanos() + got.End.GetQueueNanos())
	return StageReport{Stage: name, Millis: float64(took) / float64(time.Millisecond), Attempts: got.Attempts}
}

// plan holds the predicted times and the cost of each stage, as computed at admission.
type plan struct {
	stages []admit.Stage
	costs  []float64
}

// admit returns the plan of a request, or refuses it as "not run" if it cannot complete in time or
// exceeds a limit.
func (w *Walker) admit(ctx context.Context, q *Request) (*plan, *codes.Result) {
	snapshot, refusal := w.config.GetUsable(ctx)
	if refusal != nil {
		return nil, refusal
	}
	now := time.Now()
	p := &plan{}
	total := 0.0
	for n := range q.Pipeline.Stages {
		stage := &q.Pipeline.Stages[n]
		cost := estimateCost(stage, q)
		if refusal := w.policy.CheckSpend(now, snapshot, stage.Service, q.Priority, cost); refusal != nil {
			return nil, refusal
		}
		wait, run, refusal := w.predictor.PredictWait(now, w.chooseOptions(snapshot, q, stage))
		if refusal != nil && refusal.Code != codes.NoBackend {
			return nil, refusal
		}
		p.stages = append(p.stages, admit.Stage{Key: q.Pipeline.Name + "/" + stage.Name, Wait: wait, EstimatedTime: run})
		p.costs = append(p.costs, cost)
		total += cost
	}
	decision := w.policy.DecideAdmission(now, admit.Request{
		Team:      q.Team.Name,
		Rate:      q.Team.Rate,
		Burst:     q.Team.Burst,
		Cost:      total,
		Remaining: time.Until(q.Deadline),
		Stages:    p.stages,
	})
	return p, decision.Refusal
}

func (w *Walker) chooseOptions(snapshot *config.Snapshot, q *Request, stage *config.Stage) fleet.ChooseOptions {
	return fleet.ChooseOptions{
		Service:  stage.Service,
		Priority: q.Priority,
		Snapshot: snapshot,
		Caller:   match.CallerLabels(q.Team),
		Stage:    match.StageLabels(q.Pipeline.Name, stage),
	}
}

// estimateCost returns a stage's cost in cost units: baseCost, and for a generate stage one unit
// more for every unitTokens tokens of input and permitted output.
func estimateCost(stage *config.Stage, q *Request) float64 {
	if stage.Kind != config.StageGenerate {
		return baseCost
	}
	tokens := len(q.Input)/bytesPerToken + stage.Limit
	if q.MaxTokens > 0 && q.MaxTokens < stage.Limit {
		tokens = len(q.Input)/bytesPerToken + q.MaxTokens
	}
	return baseCost + float64(tokens)/unitTokens
}

func (w *Walker) runStage(ctx context.Context, q *Request, p *plan, n int, state *stages.State) (*calls.Answer, *codes.Result) {
	stage := q.Pipeline.Stages[n]
	built, err := stages.BuildCall(stage, state, q.Priority)
	if err != nil {
		return nil, codes.NewResult(codes.Internal, err.Error()).WithOutcome(codes.OutcomeNotRun)
	}
	last := n == len(q.Pipeline.Stages)-1
	forwards := last && q.Sink != nil && built.Stream
	started := time.Now()
	call := &calls.Call{
		RequestID:    q.ID,
		Stage:        stage.Name,
		Service:      stage.Service,
		Team:         q.Team,
		Priority:     q.Priority,
		CallerLabels: match.CallerLabels(q.Team),
		StageLabels:  match.StageLabels(q.Pipeline.Name, &stage),
		Deadline:     q.Deadline,
		Budget:       w.stageBudget(q, p, n),
		Cost:         p.costs[n],
		Method:       built.Method,
		Path:         built.Path,
		Body:         built.Body,
		Stream:       built.Stream,
		Prefixes:     prefixesOf(built.Prompt),
		Idempotent:   true,
	}
	if forwards && !q.buffersAnswer() {
		call.Sink = q.Sink
	}
	got, result := w.runner.Run(ctx, call)
	w.observeStageTime(p, n, started, got, result)
	w.addUse(ctx, q, p, n, result)
	if result != nil {
		return nil, result
	}
	if got.Status >= 400 {
		return nil, codes.NewResult(codes.BackendFailed, stage.Name+": "+string(got.Body))
	}
	if call.Sink != nil {
		return got, nil
	}
	if forwards {
		return got, writeAnswer(q.Sink, got.Body)
	}
	if err := stages.ApplyAnswer(stage.Kind, got.Body, state); err != nil {
		return nil, codes.NewResult(codes.BackendFailed, stage.Name+": "+err.Error())
	}
	return got, nil
}

// stageBudget returns a stage's part of the remaining time. Time that earlier stages saved is
// divided among the remaining stages. The budget only guides the choice of an agent. The stage's
// deadline remains that of the request, since later stages may make up for a late one.
func (w *Walker) stageBudget(q *Request, p *plan, n int) time.Duration {
	now := time.Now()
	shares := w.policy.SplitDeadline(now, q.Deadline.Sub(now), p.stages[n:])
	return shares[0]
}

// writeAnswer writes a complete answer to the caller's stream.
func writeAnswer(sink io.Writer, body []byte) *codes.Result {
	if _, err := sink.Write(body); err != nil {
		return codes.NewResult(codes.Canceled, "the caller went away")
	}
	return nil
}

// observeStageTime records the stage's service time. For a stage that timed out at the deadline it
// records the time until then minus the predicted queue delay; otherwise the slowest calls would be
// missing from the estimate.
func (w *Walker) observeStageTime(p *plan, n int, started time.Time, got *calls.Answer, result *codes.Result) {
	now := time.Now()
	key := p.stages[n].Key
	if result == nil {
		w.policy.ObserveStageTime(now, key, time.Duration(got.End.GetServiceNanos()))
		return
	}
	if result.Code == codes.DeadlineExceeded && result.Outcome != codes.OutcomeNotRun {
		took := now.Sub(started)
		w.policy.ObserveStageTime(now, key, max(took-p.stages[n].Wait, 0))
	}
}

func (w *Walker) addUse(ctx context.Context, q *Request, p *plan, n int, result *codes.Result) {
	now := time.Now()
	if result != nil && result.Outcome == codes.OutcomeNotRun {
		return
	}
	snapshot, refusal := w.config.GetUsable(ctx)
	if refusal != nil {
		return
	}
	stage := q.Pipeline.Stages[n]
	w.policy.AddUse(now, snapshot, stage.Service, spend.Use{
		Stage:    q.Pipeline.Name + "/" + stage.Name,
		Team:     q.Team.Name,
		Priority: q.Priority,
		Cost:     p.costs[n],
	})
}

// prefixesOf returns digests of the long and the short prefix of a prompt, longest first.
func prefixesOf(prompt string) []route.Prefix {
	prefixes := []route.Prefix{}
	for _, length := range []int{longPrefix, shortPrefix} {
		if len(prompt) >= length {
			prefixes = append(prefixes, route.Prefix{
				Digest: xxhash.Sum64String(prompt[:length]),
				Tokens: length / bytesPerToken,
			})
		}
	}
	return prefixes
}
