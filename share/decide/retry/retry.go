// Package retry decides whether a failed call of a stage is sent to another agent.
//
// A Budget belongs to one service at one entry. It is not safe for concurrent use: it belongs to
// one goroutine, or its caller guards it with a lock.
package retry

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Action is what to do after an attempt that produced no answer.
type Action string

// The actions.
const (
	// ActionStop returns the result to the caller.
	ActionStop Action = "stop"
	// ActionResend sends the call to another agent at once, since this attempt did not run.
	ActionResend Action = "resend"
	// ActionRetry sends the call to another agent after a backoff, since this attempt ran or may have
	// run.
	ActionRetry Action = "retry"
)

// Reason is why no other attempt follows.
type Reason string

// The reasons. ReasonNone goes with any action other than ActionStop.
const (
	ReasonNone          Reason = ""
	ReasonFinal         Reason = "final"
	ReasonNotIdempotent Reason = "not-idempotent"
	ReasonDelivered     Reason = "delivered"
	ReasonResends       Reason = "resends"
	ReasonBudget        Reason = "budget"
	ReasonDeadline      Reason = "deadline"
)

// budgetParts is the number of equal parts of a budget: the general one and the fault reserve.
const budgetParts = 2

// Settings are fixed for the life of a Budget.
type Settings struct {
	// Share is the share of first attempts that may be retried, 0 to 1.
	Share float64
	// InitialTokens is what a new budget holds, so that a service with little traffic can retry at
	// all.
	InitialTokens float64
	// MaxTokens is the most that a budget can accumulate. It limits the burst of retries after a
	// sudden failure.
	MaxTokens float64
	// MaxResends is the maximum number of resends of one stage of one request.
	MaxResends int
	// BaseBackoff is the upper limit of the backoff before the first retry. It doubles with each
	// further retry, up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// HedgeAfter is the time without an answer after which a second attempt may be sent; 0 turns
	// hedging off.
	HedgeAfter time.Duration
}

// DefaultSettings returns the default settings for a service with the given share of retries.
func DefaultSettings(share float64) Settings {
	return Settings{
		Share:         share,
		InitialTokens: 3,
		MaxTokens:     20,
		MaxResends:    3,
		BaseBackoff:   10 * time.Millisecond,
		MaxBackoff:    250 * time.Millisecond,
	}
}

// Attempt is an attempt that ended without an answer.
type Attempt struct {
	// Retries and Resends are the numbers of retries and resends of this stage so far.
	Retries int
	Resends int
	Code    codes.Code
	Outcome codes.Outcome
	// Idempotent is false if running the call a second time would do harm.
	Idempotent bool
	// Reclaimed is set for a non-idempotent call if its claim was moved to a new attempt and the old
	// attempt can never start. Only then may the call be resent.
	Reclaimed bool
	// Delivered is set once part of the answer was sent to the caller.
	Delivered bool
	// Remaining is the time left until the deadline; EstimatedTime is the predicted time of another
	// attempt.
	Remaining     time.Duration
	EstimatedTime time.Duration
}

// Decision is what to do after an attempt.
type Decision struct {
	Action Action
	Reason Reason
	// Backoff is the pause before the next attempt; 0 unless Action is ActionRetry.
	Backoff time.Duration
}

// Budget is the retry budget of a service. One token pays for one retry, hedge or resend; only
// resends after classRefused are free. Half of the budget is reserved for faults: otherwise a
// minute of overload would empty it, and if a replica were lost right afterwards, callers would get
// errors for work that another replica had capacity for.
type Budget struct {
	settings Settings
	// general may be used after any result, faultReserve only after faults. Each is at most half of
	// MaxTokens.
	general      float64
	faultReserve float64
}

// NewBudget returns a budget that holds InitialTokens, but at most MaxTokens.
func NewBudget(s Settings) *Budget {
	part := min(s.InitialTokens, s.MaxTokens) / budgetParts
	return &Budget{settings: s, general: part, faultReserve: part}
}

// Tokens returns the number of tokens in both halves of the budget.
func (b *Budget) Tokens() float64 { return b.general + b.faultReserve }

// OnFirstAttempt records a first attempt, which adds Share to the budget.
func (b *Budget) OnFirstAttempt() {
	b.general = min(b.settings.MaxTokens/budgetParts, b.general+b.settings.Share/budgetParts)
	b.faultReserve = min(b.settings.MaxTokens/budgetParts, b.faultReserve+b.settings.Share/budgetParts)
}

// withdraw takes one token from the general half. It returns false if there is none.
func (b *Budget) withdraw() bool {
	if b.general < 1 {
		return false
	}
	b.general--
	return true
}

// withdrawFault takes one token from the fault reserve, or from the general half if the reserve is
// used up. It returns false if both are.
func (b *Budget) withdrawFault() bool {
	if b.faultReserve < 1 {
		return b.withdraw()
	}
	b.faultReserve--
	return true
}

// charge takes a token for the call that follows the attempt. It returns false if none is
// available. After a refusal because of load, only the general half may be used.
func (b *Budget) charge(a Attempt) bool {
	switch a.Code {
	case codes.Overloaded, codes.DeadlineUnmeetable:
		return b.withdraw()
	default:
		return b.withdrawFault()
	}
}

// Decide returns what to do after the attempt and charges a following attempt to the budget. random
// is in [0, 1).
func (b *Budget) Decide(a Attempt, random float64) Decision {
	class := classify(a)
	if reason := b.stopReason(a, class); reason != ReasonNone {
		return stop(reason)
	}
	backoff := time.Duration(0)
	if class == classRan {
		backoff = b.backoff(a.Retries, random)
	}
	if a.Remaining < backoff+a.EstimatedTime {
		return stop(ReasonDeadline)
	}
	// A resend after classRefused is free. The refusal is not a sign of load, so it cannot cause a
	// retry storm: the agent did no work for the call, and MaxResends limits the resends. All others
	// are charged to the budget.
	if class != classRefused && !b.charge(a) {
		return stop(ReasonBudget)
	}
	if class == classRan {
		return Decision{Action: ActionRetry, Backoff: backoff}
	}
	return Decision{Action: ActionResend}
}

func stop(r Reason) Decision { return Decision{Action: ActionStop, Reason: r} }

// stopReason returns why no other attempt may follow regardless of the budget, or ReasonNone.
func (b *Budget) stopReason(a Attempt, c class) Reason {
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

// backoff returns a random part of a pause that doubles with each retry, so that calls that failed
// together are not retried at the same time.
func (b *Budget) backoff(retries int, random float64) time.Duration {
	pause := b.settings.BaseBackoff
	for range retries {
		if pause >= b.settings.MaxBackoff {
			break
		}
		pause *= 2
	}
	return time.Duration(random * float64(min(pause, b.settings.MaxBackoff)))
}
