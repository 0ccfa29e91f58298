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

// halves divides a budget into what is open and what is kept for faults.
const halves = 2

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

// Budget holds what a service may still send more than once. Half of it is
// kept for faults: a minute of overload would empty it else, and a replica lost
// right after could not be made up for. Callers would get errors for work that
// another replica had room for.
type Budget struct {
	settings Settings
	// open may be used after any result, kept only after faults; each is at most half of Cap.
	open float64
	kept float64
}

// NewBudget returns a budget with its reserve.
func NewBudget(s Settings) *Budget {
	half := min(s.Reserve, s.Cap) / halves
	return &Budget{settings: s, open: half, kept: half}
}

// Tokens returns the number of calls that may be sent once more now.
func (b *Budget) Tokens() float64 { return b.open + b.kept }

// OnFirst notes a first attempt, which earns its share of a retry.
func (b *Budget) OnFirst() {
	b.open = min(b.settings.Cap/halves, b.open+b.settings.Share/halves)
	b.kept = min(b.settings.Cap/halves, b.kept+b.settings.Share/halves)
}

// withdraw takes one call from the open half; false when it holds less.
func (b *Budget) withdraw() bool {
	if b.open < 1 {
		return false
	}
	b.open--
	return true
}

// withdrawFault takes one call from what is kept for faults, and from the open half when that is used.
func (b *Budget) withdrawFault() bool {
	if b.kept < 1 {
		return b.withdraw()
	}
	b.kept--
	return true
}

// pay takes the call that follows the attempt from the budget.
func (b *Budget) pay(a Attempt) bool {
	switch a.Code {
	case codes.Overloaded, codes.DeadlineUnmeetable:
		return b.withdraw()
	default:
		return b.withdrawFault()
	}
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
	if class != classMoved && !b.pay(a) {
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
