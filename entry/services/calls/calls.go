// Package calls runs one stage: it chooses an agent, sends an attempt, matches
// what comes back and tries again where that is allowed. In: a stage's call.
// Out: its whole answer, or the result that says why there is none.
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
	// maxSends bounds the attempts of one stage, refusals included.
	maxSends = 6
	// noBackendPause is the wait for a session to come up before the next choice.
	noBackendPause = 50 * time.Millisecond
	// retryHint is when to come back where nothing better is known.
	retryHint = time.Second
)

// Fleet chooses agents; *fleet.Fleet is one.
type Fleet interface {
	ChooseAgent(now time.Time, options fleet.ChooseOptions) (fleet.Attempt, *codes.Result)
	EndAttempt(now time.Time, service string, ended route.CallResult)
}

// Configuration gives the snapshot to decide under; *follow.Follower is one.
type Configuration interface {
	GetUsable(ctx context.Context) (*config.Snapshot, *codes.Result)
	WaitRevision(ctx context.Context, revision uint64) error
	// GetRevision returns the revision in force and the age of its confirmation.
	GetRevision(now time.Time) (uint64, time.Duration)
	// OnPeerRevision takes the revision that an agent decided under.
	OnPeerRevision(peer string, revision uint64)
}

// Budget decides on retries by service; *policy.Policy is one.
type Budget interface {
	// DepositFirst counts a first attempt.
	DepositFirst(service *config.Service)
	// DecideRetry says what follows an attempt that brought no answer.
	DecideRetry(service *config.Service, attempt retry.Attempt, random float64) retry.Decision
}

// Call is one stage's work.
type Call struct {
	RequestID string
	// Stage names the step; it is the service's name for direct calls.
	Stage    string
	Service  string
	Team     *config.Team
	Priority config.Priority
	// CallerLabels and StageLabels are what rules match.
	CallerLabels config.Labels
	StageLabels  config.Labels
	// Deadline is when the stage's answer must be there.
	Deadline time.Time
	// Budget is the part of the time left that this stage should take; 0: all of it.
	Budget time.Duration
	// Cost is the estimate in cost units.
	Cost     float64
	Method   string
	Path     string
	Headers  []*wire.Header
	Body     []byte
	Stream   bool
	Prefixes []route.Prefix
	// Idempotent calls may be sent again; others are sent once, to Chosen.
	Idempotent bool
	// Claim fields are set for non-idempotent calls.
	ClaimKey     string
	ClaimAttempt string
	BodyDigest   string
	Chosen       *fleet.Attempt
	// Sink, where set, gets the pieces as they come, so that no other attempt may follow the first piece.
	Sink io.Writer
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty where a Sink took the pieces.
	Body []byte
	// End is the winning attempt's end record.
	End *wire.End
	// Attempts is how many were sent.
	Attempts int
	// CrossRegion is set when the answer came from another region.
	CrossRegion bool
	// FirstPiece is when the first piece came; zero for an empty answer.
	FirstPiece time.Time
}

// Runner runs calls.
type Runner struct {
	fleet  Fleet
	config Configuration
	budget Budget
	tracer *spans.Tracer
	counts *Counts
}

// Options are the parts of a Runner.
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

// GetCounts returns the runner's figures.
func (r *Runner) GetCounts() *Counts { return r.counts }

// stageRun is the state of one call while its attempts run.
type stageRun struct {
	call  *Call
	stage *answer.Stage
	// sent counts attempts; the next one's number.
	sent     uint32
	retries  int
	resends  int
	excluded []string
	last     *codes.Result
	piece    time.Time
}

// Run returns the call's whole answer, or the final result at once when it is given up on.
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
		s.last = worse(s.last, result)
		if !r.prepareNext(ctx, s, result) {
			span.SetAttributes(attribute.Int("code", int(s.last.Code)))
			return nil, s.last
		}
	}
}

// worse keeps what is known of earlier attempts: once one may have run, a later "not run" is not the whole truth.
func worse(old, latest *codes.Result) *codes.Result {
	if old == nil || old.Outcome == codes.OutcomeNotRun {
		return latest
	}
	if latest.Outcome == codes.OutcomeNotRun {
		return latest.WithOutcome(old.Outcome)
	}
	return latest
}

// prepareNext decides whether another attempt follows, and waits for its time.
func (r *Runner) prepareNext(ctx context.Context, s *stageRun, result *codes.Result) bool {
	if ctx.Err() != nil || s.sent >= maxSends {
		return false
	}
	if result.Code == codes.NoBackend && s.call.Idempotent && s.stage.Retryable() {
		// Sessions may just be coming up; the wait counts as an attempt, so it is bounded too.
		s.sent++
		s.excluded = nil
		return pauses.Wait(ctx, noBackendPause)
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

// Release gives back an agent that was chosen and not used.
func (r *Runner) Release(service string, chosen *fleet.Attempt) {
	r.fleet.EndAttempt(time.Now(), service, route.CallResult{Name: chosen.Choice.Name, Code: codes.Canceled, CachedTokens: -1})
}
