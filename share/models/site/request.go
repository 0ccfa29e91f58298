package site

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Request is what the headers of a caller's request state in addition to its method, path
// and body.
type Request struct {
	// AttemptID is the caller's ID for this attempt. A retry by the caller has another ID.
	AttemptID string
	// CallerTimeout is how long the caller waits for the answer, counted from when it sent
	// the request; 0: unknown.
	CallerTimeout time.Duration
	// Key identifies the team. The ingress never passes it on.
	Key string
	// PromptTokens and MaxOutputTokens are the size of a generation request.
	PromptTokens    int
	MaxOutputTokens int
	// LengthHint is the caller's estimate of the output tokens, which is often far off; 0: none.
	LengthHint int
	// Parts are the pieces of the prompt that other requests share, in order. The last part
	// belongs to the caller's session.
	Parts []PromptPart
	// ItemCounts is the number of results that each stage produces for the request; a
	// missing number counts as 0.
	ItemCounts []int
	// ItemKey is the input of stages that take no results of other stages.
	ItemKey string
	// LastEventID is set if the caller resumes a stream. Resumes is then the ID of the attempt that
	// brought the first event of the stream; empty: not stated.
	LastEventID string
	Resumes     string
}

// PromptPart is a run of prompt tokens that is cached as a unit.
type PromptPart struct {
	ID     string
	Tokens int
}

// UpstreamHeaders are the values that the ingress sends to a backend server in addition to
// the caller's own headers.
type UpstreamHeaders struct {
	AttemptID string
	// Remaining is the time left for the request.
	Remaining time.Duration
	// ServerID is the intended backend server. Any other server that now has the address
	// refuses the request.
	ServerID string
	Team     string
	// Handles identify the results that an engine fetches; nil if the route has no stages.
	Handles []string
	// HasStages distinguishes a request that needs no results on a route with stages from a
	// request on a route without stages.
	HasStages bool
	// FetchFrom is the engine from which the receiving engine fetches the prompt parts that
	// it lacks. If not valid, the engine prefills them itself.
	FetchFrom netip.AddrPort
	// LastEventID is the event after which the stream resumes; empty: from the start.
	LastEventID string
	// Priority orders the request among others at its engine, from 0, the most urgent, to MaxPriority; nil:
	// the engine's default.
	Priority *int
}

// MaxPriority is the least urgent priority of a request at an engine.
const MaxPriority = 9

// Answer is the status and headers of a backend server's answer.
type Answer struct {
	Status int
	Header http.Header
	// AttemptID is the attempt that the answer belongs to.
	AttemptID string
	// Signed is set if the answer carries the backend server's signature.
	Signed bool
	// NotRun is set if the backend server states that it did not run the request.
	NotRun bool
	// Encoded is set if the body has a content encoding, so that it differs from the bytes
	// that the backend server produced.
	Encoded bool
	// Load is nil if the backend server does not report it.
	Load *Load
	// RateLimit is what the backend server states about the rate of requests that it takes.
	RateLimit RateLimit
	// Leaving is set if the backend server states that it leaves.
	Leaving bool
	// RetryAfter is how long the backend server, which turned the request away, wants no further
	// requests from this ingress; 0 if it does not state that.
	RetryAfter time.Duration
	// Unread holds the names of the headers that are not read, other than those of HTTP itself.
	Unread []string
}

// RateLimit is what an answer states about the rate of requests that its backend server takes from
// all ingresses together. It applies until an answer of that server states another one, or none.
type RateLimit struct {
	State RateLimitState
	// PerSecond is the rate in requests per second; finite and not negative, and 0 unless State is
	// RateLimited.
	PerSecond float64
}

// RateLimitState is whether an answer states a rate limit.
type RateLimitState string

// The states.
const (
	// RateUnlimited answers state no limit.
	RateUnlimited RateLimitState = ""
	// RateLimited answers state a limit.
	RateLimited RateLimitState = "limited"
	// RateUnreadable answers state a limit that is not a valid rate.
	RateUnreadable RateLimitState = "unreadable"
)

// String returns the rate, or the state if there is no rate.
func (r RateLimit) String() string {
	switch r.State {
	case RateLimited:
		return strconv.FormatFloat(r.PerSecond, 'g', -1, 64)
	case RateUnlimited:
		return "none"
	default:
		return string(r.State)
	}
}

// Load is the load that a backend server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the server at the moment, relative to the usual time; above 0
	// and finite, or 0 if the server does not state it.
	Pace float64
}

// String returns running, waiting, slots and pace, or "none" if the server did not report its load.
func (l *Load) String() string {
	if l == nil {
		return "none"
	}
	text := fmt.Sprintf("running=%d waiting=%d slots=%d", l.Running, l.Waiting, l.Slots)
	if l.Pace > 0 {
		text += fmt.Sprintf(" pace=%.2f", l.Pace)
	}
	return text
}

// Item is one result that a pool is asked to produce.
type Item struct {
	// AttemptID, Stage and Index identify the result.
	AttemptID string
	Stage     int
	Index     int
	// Remaining is the time until the result is no longer needed.
	Remaining time.Duration
	// Key is set for stages without inputs, Inputs for all others.
	Key    string
	Inputs []string
}

// ItemOutcome is how an item ended.
type ItemOutcome string

// The outcomes.
const (
	ItemMade ItemOutcome = "made"
	// ItemLate was not started because its remaining time had passed.
	ItemLate ItemOutcome = "late"
	// ItemInputGone failed because an input no longer exists.
	ItemInputGone ItemOutcome = "gone"
	// ItemNoRoom failed because there was no memory for the result.
	ItemNoRoom ItemOutcome = "no-room"
	ItemFailed ItemOutcome = "failed"
	// ItemRefused belongs to a call that the server refused without running it.
	ItemRefused ItemOutcome = "refused"
	// ItemUnknown belongs to a call that got no answer.
	ItemUnknown ItemOutcome = "unknown"
)

// BatchAnswer is a pool's answer to one call.
type BatchAnswer struct {
	// Results are in the order of the items.
	Results []ItemResult
	// Load is the load that the server reported with the answer; nil: none.
	Load *Load
	// RoundTrip is how long opening the connection took; 0: not measured.
	RoundTrip time.Duration
}

// ItemResult is the answer for one item.
type ItemResult struct {
	Outcome ItemOutcome
	// Handle identifies the result if it was produced.
	Handle string
}

// Record is one entry of the platform's store.
type Record struct {
	Key   string
	Value []byte
	// Revision is that of the last change of the record.
	Revision Revision
	// Deleted records hold the value from before, or none if it is not known. Their Revision is that of
	// the deletion.
	Deleted bool
	// Lease is the lease under which the record was written, if it comes from the store itself; zero: none,
	// or not known.
	Lease Lease
}
