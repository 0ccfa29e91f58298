// Package walk takes a request through the stages of its pipeline under one
// deadline. In: a pipeline and its input. Out: the last stage's answer, whole,
// or the final result.
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
	// bytesPerToken and unitTokens turn a prompt and a token limit into cost units.
	bytesPerToken = 4
	unitTokens    = 256
	baseCost      = 0.1
	// prefixBytes are the lengths of a prompt by which a shared prefix is recognised.
	longPrefix  = 2048
	shortPrefix = 512
)

// Waits predicts queue delays; *fleet.Fleet is one.
type Waits interface {
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
	// Sink gets the last stage's stream as it comes; nil keeps it for the answer.
	Sink io.Writer
}

// holdsBack is set where the answer goes to the caller when it is whole. Batch
// runs give way to higher classes while they run; a run whose pieces had gone
// out already could not be sent again, and its request would end incomplete.
func (q *Request) holdsBack() bool { return q.Priority == config.PriorityBatch }

// StageReport says what one stage took.
type StageReport struct {
	Stage    string  `json:"stage"`
	Millis   float64 `json:"millis"`
	Attempts int     `json:"attempts"`
}

// Answer is the whole answer of a pipeline.
type Answer struct {
	Text      string
	Documents []stages.Document
	Tokens    uint64
	Stages    []StageReport
}

// Walker runs pipelines.
type Walker struct {
	runner *calls.Runner
	policy *policy.Policy
	waits  Waits
	config calls.Configuration
}

// NewWalker returns a walker.
func NewWalker(runner *calls.Runner, p *policy.Policy, waits Waits, configuration calls.Configuration) *Walker {
	return &Walker{runner: runner, policy: p, waits: waits, config: configuration}
}

// Run takes the request through every stage, or returns the final result at once when it is given up on.
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
			return nil, afterStages(n, result)
		}
		answer.Tokens += got.End.GetTokens()
		answer.Stages = append(answer.Stages, newReport(q.Pipeline.Stages[n].Name, got))
	}
	answer.Text = state.Text
	answer.Documents = state.Documents
	return answer, nil
}

// afterStages corrects a refusal that comes after other stages ran: the request as a whole ran in part.
func afterStages(done int, result *codes.Result) *codes.Result {
	if done > 0 && result.Outcome == codes.OutcomeNotRun {
		return result.WithOutcome(codes.OutcomeRan)
	}
	return result
}

func newReport(name string, got *calls.Answer) StageReport {
	took := time.Duration(got.End.GetServiceNanos() + got.End.GetQueueNanos())
	return StageReport{Stage: name, Millis: float64(took) / float64(time.Millisecond), Attempts: got.Attempts}
}

// plan is what admission worked out for each stage.
type plan struct {
	stages []admit.Stage
	costs  []float64
}

// admit refuses at once, as not run, what cannot be done in time or goes over a limit.
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
		wait, run, refusal := w.waits.PredictWait(now, w.chooseOptions(snapshot, q, stage))
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

// estimateCost counts tokens in and out of a generate stage; other kinds cost one unit part.
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
	if forwards && !q.holdsBack() {
		call.Sink = q.Sink
	}
	got, result := w.runner.Run(ctx, call)
	w.learn(p, n, started, got, result)
	w.account(ctx, q, p, n, result)
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
		return got, hand(q.Sink, got.Body)
	}
	if err := stages.TakeAnswer(stage.Kind, got.Body, state); err != nil {
		return nil, codes.NewResult(codes.BackendFailed, stage.Name+": "+err.Error())
	}
	return got, nil
}

// stageBudget is a stage's part of the time that is left; what earlier stages
// saved flows on. It steers the choice of an agent; the deadline itself stays
// the request's, since a late stage may still be made up for by the others.
func (w *Walker) stageBudget(q *Request, p *plan, n int) time.Duration {
	now := time.Now()
	shares := w.policy.SplitDeadline(now, q.Deadline.Sub(now), p.stages[n:])
	return shares[0]
}

// hand gives a whole answer to the caller's stream.
func hand(sink io.Writer, body []byte) *codes.Result {
	if _, err := sink.Write(body); err != nil {
		return codes.NewResult(codes.Canceled, "the caller went away")
	}
	return nil
}

// learn takes the stage's times. One that was given up on at the deadline
// counts with the time until then: left out, the slow ones would not show.
func (w *Walker) learn(p *plan, n int, started time.Time, got *calls.Answer, result *codes.Result) {
	now := time.Now()
	key := p.stages[n].Key
	if result == nil {
		w.policy.AddStageTime(now, key, time.Duration(got.End.GetServiceNanos()))
		return
	}
	if result.Code == codes.DeadlineExceeded && result.Outcome != codes.OutcomeNotRun {
		took := now.Sub(started)
		w.policy.AddStageTime(now, key, max(took-p.stages[n].Wait, 0))
	}
}

func (w *Walker) account(ctx context.Context, q *Request, p *plan, n int, result *codes.Result) {
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

// prefixesOf names the start of a prompt by two digests, longest first.
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
