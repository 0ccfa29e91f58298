// Package calls runs one stage: it chooses an agent, sends an attempt, matches the parts and end
// records that come back to the attempt, and retries if that is allowed. It returns the complete
// answer, or the result that explains why there is none.
package calls

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/decide/answer"
	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/wire"
)

const (
	// maxSends is the maximum number of attempts of one stage, including refused ones and waits for
	// an agent.
	maxSends = 6
	// noBackendBackoff is the pause before the next choice if no agent is available.
	noBackendBackoff = 50 * time.Millisecond
	// retryAfter is the Retry-After of results for which no better estimate exists. It also limits
	// the wait for a newer configuration.
	retryAfter = time.Second
)

// Fleet chooses agents; *fleet.Fleet implements it.
type Fleet interface {
	ChooseAgent(now time.Time, options fleet.ChooseOptions) (fleet.Attempt, *codes.Result)
	EndAttempt(now time.Time, service string, result route.CallResult)
}

// Configuration returns the configuration snapshot that decisions use; *follow.Follower implements
// it.
type Configuration interface {
	GetUsable(ctx context.Context) (*config.Snapshot, *codes.Result)
	WaitRevision(ctx context.Context, revision uint64) error
	// GetRevision returns the revision in force and the age of its confirmation.
	GetRevision(now time.Time) (uint64, time.Duration)
	// OnPeerRevision records the configuration revision that an agent used.
	OnPeerRevision(peer string, revision uint64)
}

// Budget decides on retries by service; *policy.Policy implements it.
type Budget interface {
	// OnFirstAttempt counts a first attempt towards the service's retry budget.
	OnFirstAttempt(service *config.Service)
	// DecideRetry decides what follows an attempt that produced no answer.
	DecideRetry(service *config.Service, attempt retry.Attempt, random float64) retry.Decision
}

// Call is the call of one stage.
type Call struct {
	RequestID string
	// Stage is the name of the stage, or of the service for direct calls.
	Stage    string
	Service  string
	Team     *config.Team
	Priority config.Priority
	// CallerLabels and StageLabels are matched by the configuration's rules.
	CallerLabels config.Labels
	StageLabels  config.Labels
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Budget is the part of the remaining time that this stage should take; 0 means all of it.
	Budget time.Duration
	// Cost is the estimated cost in cost units.
	Cost     float64
	Method   string
	Path     string
	Headers  []*wire.Header
	Body     []byte
	Stream   bool
	Prefixes []route.Prefix
	// Idempotent is set for calls that may be retried. Other calls are sent once, to Chosen.
	Idempotent bool
	// The fields ClaimKey to Chosen are set for non-idempotent calls.
	ClaimKey     string
	ClaimAttempt string
	BodyDigest   string
	Chosen       *fleet.Attempt
	// Sink, if set, receives the parts of the answer as they arrive. No other attempt may follow
	// once the first part is written.
	Sink io.Writer
}

// Answer is a complete answer.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty if the parts went to a Sink.
	Body []byte
	// End is the end record of the attempt whose answer was accepted.
	End *wire.End
	// Attempts is the number of attempts, including refused ones and waits for an agent.
	Attempts int
	// CrossRegion is set when the answer came from another region.
	CrossRegion bool
	// FirstPart is when the first part arrived; zero for an empty answer.
	FirstPart time.Time
}

// Runner runs calls.
type Runner struct {
	fleet  Fleet
	config Configuration
	budget Budget
	tracer *spans.Tracer
	counts *Counts
}

// Options are the dependencies of a Runner.
type Options struct {
	Fleet         Fleet
	Configuration Configuration
	Budget        Budget
	Tracer        *spans.Tracer
}

// NewRunner returns a runner.
func NewRunner(options Options) *Runner {
	return &Runner{
		fleet:  options.Fleet,
		config: options.Configuration,
		budget: options.Budget,
		tracer: options.Tracer,
		counts: NewCounts(),
	}
}

// GetCounts returns the runner's counters.
func (r *Runner) GetCounts() *Counts { return r.counts }

// stageRun is the state of one call while its attempts run.
type stageRun struct {
	call  *Call
	stage *answer.Stage
	// sent counts the attempts and numbers them, from 1. A wait for an agent counts as an attempt.
	sent     uint32
	retries  int
	resends  int
	excluded []string
	last     *codes.Result
	// firstPart is when the first part of any attempt's answer arrived.
	firstPart time.Time
}

// Run returns the call's complete answer, or the final result as soon as no other attempt may
// follow.
func (r *Runner) Run(ctx context.Context, call *Call) (*Answer, *codes.Result) {
	ctx, span := r.tracer.Start(ctx, "entry.stage", attribute.String("stage", call.Stage))
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	delivery := answer.DeliveryBuffered
	if call.Sink != nil {
		delivery = answer.DeliveryStreamed
	}
	s := &stageRun{call: call, stage: answer.NewStage(call.RequestID, call.Stage, delivery)}
	for {
		got, result := r.attempt(ctx, s)
		if result == nil {
			return got, nil
		}
		s.last = mergeResults(s.last, result)
		if !r.prepareNext(ctx, s, result) {
			span.SetAttributes(attribute.Int("code", int(s.last.Code)))
			return nil, s.last
		}
	}
}

// mergeResults returns the latest result, with the outcome of the earlier attempts if the latest
// attempt did not run: once an attempt may have run, "not run" would be wrong for the call.
func mergeResults(old, latest *codes.Result) *codes.Result {
	if old == nil || old.Outcome == codes.OutcomeNotRun {
		return latest
	}
	if latest.Outcome == codes.OutcomeNotRun {
		return latest.WithOutcome(old.Outcome)
	}
	return latest
}

// prepareNext decides whether another attempt follows, and waits for the backoff before it.
func (r *Runner) prepareNext(ctx context.Context, s *stageRun, result *codes.Result) bool {
	if ctx.Err() != nil || s.sent >= maxSends {
		return false
	}
	if result.Code == codes.NoBackend && s.call.Idempotent && s.stage.Retryable() {
		// A session may be about to open. The wait counts as an attempt, so that maxSends limits it
		// too.
		s.sent++
		s.excluded = nil
		return pauses.Wait(ctx, noBackendBackoff)
	}
	decision := r.budget.DecideRetry(r.serviceOf(ctx, s.call.Service), retry.Attempt{
		Retries:    s.retries,
		Resends:    s.resends,
		Code:       result.Code,
		Outcome:    result.Outcome,
		Idempotent: s.call.Idempotent,
		Delivered:  !s.stage.Retryable(),
		Remaining:  time.Until(s.call.Deadline),
	}, rand.Float64()) //nolint:gosec // jitter need not be unguessable
	switch decision.Action {
	case retry.ActionResend:
		s.resends++
		r.counts.resends.Add(1)
		return true
	case retry.ActionRetry:
		s.retries++
		r.counts.retries.Add(1)
		return pauses.Wait(ctx, decision.Backoff)
	default:
		return false
	}
}

func (r *Runner) serviceOf(ctx context.Context, name string) *config.Service {
	snapshot, refusal := r.config.GetUsable(ctx)
	if refusal != nil {
		return nil
	}
	return snapshot.GetServiceByName(name)
}

// Release ends a chosen attempt that was not sent.
func (r *Runner) Release(service string, chosen *fleet.Attempt) {
	r.fleet.EndAttempt(time.Now(), service, route.CallResult{Name: chosen.Choice.Name, Code: codes.Canceled, CachedTokens: -1})
}
