// Package retry decides whether a call of a stage is sent once more.
//
// A Budget belongs to one service at one entry and to one goroutine, or is
// guarded by its caller; nothing in it locks.
package retry

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Action is what to do after an attempt that brought no answer.
type Action string

// The actions.
const (
	// ActionStop answers the caller with the result.
	ActionStop Action = "stop"
	// ActionResend sends to another agent at once: this attempt did not run.
	ActionResend Action = "resend"
	// ActionRetry sends to another agent after a pause: this attempt ran or may have run.
	ActionRetry Action = "retry"
)

// Reason says why an attempt is the last.
type Reason string

// The reasons; ReasonNone comes with an action other than ActionStop.
const (
	ReasonNone          Reason = ""
	ReasonFinal         Reason = "final"
	ReasonNotIdempotent Reason = "not-idempotent"
	ReasonDelivered     Reason = "delivered"
	ReasonResends       Reason = "resends"
	ReasonBudget        Reason = "budget"
	ReasonDeadline      Reason = "deadline"
)

// Settings are fixed for the life of a Budget.
type Settings struct {
	// Share of the first attempts that may be sent once more, 0 to 1.
	Share float64
	// Reserve is what a new budget holds, so that a quiet service may retry at all.
	Reserve float64
	// Cap bounds what is saved up, and with it the retries that a sudden failure sets off.
	Cap float64
	// MaxResends bounds the resends of one stage of one request.
	MaxResends int
	// Base is the pause before the first retry; it doubles up to Max.
	Base time.Duration
	Max  time.Duration
	// HedgeAfter is how long an attempt may go unanswered before a second one; 0 turns hedging off.
	HedgeAfter time.Duration
}

// DefaultSettings returns the settings of the programs for a service's share of retries.
func DefaultSettings(share float64) Settings {
	return Settings{
		Share:      share,
		Reserve:    3,
		Cap:        20,
		MaxResends: 3,
		Base:       10 * time.Millisecond,
		Max:        250 * time.Millisecond,
	}
}

// Attempt is one that ended without an answer.
type Attempt struct {
	// Retries and Resends count what was sent after the first attempt of this stage.
	Retries int
	Resends int
	Code    codes.Code
	Outcome codes.Outcome
	// Idempotent is false where a second run would do harm.
	Idempotent bool
	// Reclaimed is set for a non-idempotent call when its claim was moved to a new
	// attempt and the old one can never start; only then may it be sent again.
	Reclaimed bool
	// Delivered is set once a part of the answer went to the caller.
	Delivered bool
	// Remaining is the time left to the deadline; Need the predicted time of another attempt.
	Remaining time.Duration
	Need      time.Duration
}

// Decision is what follows an attempt.
type Decision struct {
	Action Action
	Reason Reason
	// After is the pause before the next attempt; 0 unless Action is ActionRetry.
	After time.Duration
}

// Budget holds what a service may still send more than once.
type Budget struct {
	settings Settings
	tokens   float64
}

// NewBudget returns a budget with its reserve.
func NewBudget(s Settings) *Budget {
	return &Budget{settings: s, tokens: min(s.Reserve, s.Cap)}
}

// Tokens returns the number of calls that may be sent once more now.
func (b *Budget) Tokens() float64 { return b.tokens }

// OnFirst notes a first attempt, which earns its share of a retry.
func (b *Budget) OnFirst() {
	b.tokens = min(b.settings.Cap, b.tokens+b.settings.Share)
}

// withdraw takes one call from the budget; false when it holds less.
func (b *Budget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Decide says what follows the attempt and takes it from the budget; random is in [0, 1).
func (b *Budget) Decide(a Attempt, random float64) Decision {
	class := classify(a)
	if reason := b.bar(a, class); reason != ReasonNone {
		return stop(reason)
	}
	after := time.Duration(0)
	if class == classRan {
		after = b.backoff(a.Retries, random)
	}
	if a.Remaining < after+a.Need {
		return stop(ReasonDeadline)
	}
	// A refusal that says nothing about load cannot feed a storm: the agent did no
	// work for it and MaxResends bounds it. All others come out of the budget.
	if class != classMoved && !b.withdraw() {
		return stop(ReasonBudget)
	}
	if class == classRan {
		return Decision{Action: ActionRetry, After: after}
	}
	return Decision{Action: ActionResend}
}

func stop(r Reason) Decision { return Decision{Action: ActionStop, Reason: r} }

// bar says why the attempt may not be followed by another, whatever the budget.
func (b *Budget) bar(a Attempt, c class) Reason {
	switch {
	case c == classFinal:
		return ReasonFinal
	case a.Delivered:
		return ReasonDelivered
	case !a.Idempotent && (c == classRan || !a.Reclaimed):
		return ReasonNotIdempotent
	case c != classRan && a.Resends >= b.settings.MaxResends:
		return ReasonResends
	default:
		return ReasonNone
	}
}

// backoff is a random part of a pause that doubles, so that callers who failed together spread out.
func (b *Budget) backoff(retries int, random float64) time.Duration {
	pause := b.settings.Base
	for range retries {
		if pause >= b.settings.Max {
			break
		}
		pause *= 2
	}
	return time.Duration(random * float64(min(pause, b.settings.Max)))
}
