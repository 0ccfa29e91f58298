// Package codes defines the numbered result codes that callers, operators and the system's own
// processes receive. A test checks that docs/RESULT-CODES.md matches it.
package codes

import (
	"net/http"
	"time"
)

// Outcome states whether a request ran on a backend server, as far as that is known.
type Outcome string

// The outcomes. Only a process that knows that the request did not run may report OutcomeNotRun.
const (
	// OutcomeRan means that the backend server ran the request.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the request did not run and never will under this submission.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is a numbered result code.
type Code uint32

// The result codes. 1xxx: the caller's request; 2xxx: refused before it ran; 3xxx: while it runs;
// 4xxx: administration; 5xxx: between processes.
const (
	OK Code = 0

	BadRequest      Code = 1001
	BadToken        Code = 1002
	UnknownPipeline Code = 1003
	UnknownService  Code = 1004
	BodyTooLarge    Code = 1005
	KeyRequired     Code = 1006
	KeyConflict     Code = 1007
	BadDeadline     Code = 1008
	HeaderTooLarge  Code = 1009
	UnknownRoute    Code = 1010

	DeadlineUnmeetable Code = 2001
	Overloaded         Code = 2002
	TeamLimit          Code = 2003
	NoBackend          Code = 2004
	Draining           Code = 2005
	NotReady           Code = 2006
	NewerRevision      Code = 2007
	OtherIncarnation   Code = 2008
	ClaimsUnavailable  Code = 2009
	Tombstoned         Code = 2010
	StaleConfig        Code = 2011
	Preempted          Code = 2012
	Quarantined        Code = 2013
	OriginUnknown      Code = 2014

	DeadlineExceeded Code = 3001
	BackendFailed    Code = 3002
	BackendLost      Code = 3003
	AnswerIncomplete Code = 3004
	OutcomeNotKnown  Code = 3005
	InProgress       Code = 3006
	Canceled         Code = 3007
	AnswerTooLarge   Code = 3008

	ConfigConflict   Code = 4001
	ConfigInvalid    Code = 4002
	ChangeUnknown    Code = 4003
	StoreUnavailable Code = 4004
	Forbidden        Code = 4005
	NotFound         Code = 4006

	UnknownVersion Code = 5001
	Internal       Code = 5002
)

// Entry describes one result code, for answers and for the table in docs/RESULT-CODES.md.
type Entry struct {
	Code   Code
	Name   string
	Status int // HTTP status of the answer to the caller
	// Outcome is the default outcome of results with this code. A result may state a more precise one.
	Outcome Outcome
	Meaning string
}

// List returns every code in ascending order.
func List() []Entry {
	return []Entry{
		{OK, "ok", http.StatusOK, OutcomeRan, "the answer is whole"},
		{BadRequest, "bad-request", http.StatusBadRequest, OutcomeNotRun, "the request cannot be read; mend it"},
		{BadToken, "bad-token", http.StatusUnauthorized, OutcomeNotRun, "no team has this token"},
		{UnknownPipeline, "unknown-pipeline", http.StatusNotFound, OutcomeNotRun, "no pipeline has this name"},
		{UnknownService, "unknown-service", http.StatusNotFound, OutcomeNotRun, "no service has this name"},
		{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun, "the body is over the limit"},
		{KeyRequired, "key-required", http.StatusBadRequest, OutcomeNotRun, "a non-idempotent call needs an Idempotency-Key header"},
		{KeyConflict, "key-conflict", http.StatusUnprocessableEntity, OutcomeNotRun, "the key was used with another body; this body did not run"},
		{BadDeadline, "bad-deadline", http.StatusBadRequest, OutcomeNotRun, "the deadline header is no duration or out of range"},
		{HeaderTooLarge, "header-too-large", http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun, "a header is over the limit"},
		{UnknownRoute, "unknown-route", http.StatusNotFound, OutcomeNotRun, "the service has no such method and path"},
		{DeadlineUnmeetable, "deadline-unmeetable", http.StatusServiceUnavailable, OutcomeNotRun, "cannot finish in time; come back after retry-after"},
		{Overloaded, "overloaded", http.StatusServiceUnavailable, OutcomeNotRun, "queues are full; come back after retry-after"},
		{TeamLimit, "team-limit", http.StatusTooManyRequests, OutcomeNotRun, "the team is over its limit; come back after retry-after"},
		{NoBackend, "no-backend", http.StatusServiceUnavailable, OutcomeNotRun, "no backend server may take the work now"},
		{Draining, "draining", http.StatusServiceUnavailable, OutcomeNotRun, "the instance is stopping; send again at once, to another"},
		{NotReady, "not-ready", http.StatusServiceUnavailable, OutcomeNotRun, "the instance has no configuration yet"},
		{NewerRevision, "newer-revision", http.StatusServiceUnavailable, OutcomeNotRun, "decided under an older configuration than the agent's"},
		{OtherIncarnation, "other-incarnation", http.StatusServiceUnavailable, OutcomeNotRun, "the agent restarted since it was chosen"},
		{ClaimsUnavailable, "claims-unavailable", http.StatusServiceUnavailable, OutcomeNotRun, "the key-value service does not answer, so at-most-once cannot be held"},
		{Tombstoned, "tombstoned", http.StatusServiceUnavailable, OutcomeNotRun, "this attempt was given up on before it started"},
		{StaleConfig, "stale-config", http.StatusServiceUnavailable, OutcomeNotRun, "cut off for longer than stale-after allows"},
		{Preempted, "preempted", http.StatusServiceUnavailable, OutcomeNotRun, "gave way to higher priority"},
		{Quarantined, "quarantined", http.StatusServiceUnavailable, OutcomeNotRun, "the request crashes the servers that run it; sending it again changes nothing until their software is replaced"},
		{OriginUnknown, "origin-unknown", http.StatusServiceUnavailable, OutcomeNotRun, "the stream cannot go on: which software version began it is not known, and what another one writes does not fit"},
		{DeadlineExceeded, "deadline-exceeded", http.StatusGatewayTimeout, OutcomeUnknown, "the deadline passed; the outcome field says whether it ran"},
		{BackendFailed, "backend-failed", http.StatusBadGateway, OutcomeRan, "the backend server answered with an error"},
		{BackendLost, "backend-lost", http.StatusBadGateway, OutcomeUnknown, "the connection was lost after the request was sent"},
		{AnswerIncomplete, "answer-incomplete", http.StatusBadGateway, OutcomeUnknown, "the answer broke off; what came is no whole answer"},
		{OutcomeNotKnown, "outcome-unknown", http.StatusConflict, OutcomeUnknown, "the key may have run and will not be run again; an operator settles it"},
		{InProgress, "in-progress", http.StatusConflict, OutcomeUnknown, "another submission of the key is running; ask again after retry-after"},
		{Canceled, "canceled", 499, OutcomeUnknown, "the caller went away"},
		{AnswerTooLarge, "answer-too-large", http.StatusBadGateway, OutcomeRan, "the answer is over the limit"},
		{ConfigConflict, "config-conflict", http.StatusConflict, OutcomeNotRun, "another change came first; see its diff"},
		{ConfigInvalid, "config-invalid", http.StatusUnprocessableEntity, OutcomeNotRun, "the configuration does not pass the checks"},
		{ChangeUnknown, "change-unknown", http.StatusServiceUnavailable, OutcomeUnknown, "the write's answer was lost; ask again with this change id"},
		{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, OutcomeNotRun, "the key-value service does not answer"},
		{Forbidden, "forbidden", http.StatusForbidden, OutcomeNotRun, "the operator's role does not allow this"},
		{NotFound, "not-found", http.StatusNotFound, OutcomeNotRun, "no such object"},
		{UnknownVersion, "unknown-version", http.StatusBadGateway, OutcomeNotRun, "the peer speaks another protocol version"},
		{Internal, "internal", http.StatusInternalServerError, OutcomeUnknown, "a fault of the system itself"},
	}
}

// GetEntry returns the entry of c, or the entry of Internal if c is not listed.
func GetEntry(c Code) Entry {
	entries := List()
	for _, e := range entries {
		if e.Code == c {
			return e
		}
	}
	return entries[len(entries)-1]
}

// Name returns the kebab-case name of c.
func (c Code) Name() string {
	return GetEntry(c).Name
}

// Result is the result of a request. The caller and admin APIs encode it as their error body.
type Result struct {
	Code       Code
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration // how long the caller should wait before a retry; zero: not stated
}

// NewResult returns a Result with the default outcome of c.
func NewResult(c Code, detail string) *Result {
	return &Result{Code: c, Outcome: GetEntry(c).Outcome, Detail: detail}
}

// WithRetryAfter returns a copy of r that asks the caller to wait for d before a retry.
func (r Result) WithRetryAfter(d time.Duration) *Result {
	r.RetryAfter = d
	return &r
}

// WithOutcome returns a copy of r with the outcome o.
func (r Result) WithOutcome(o Outcome) *Result {
	r.Outcome = o
	return &r
}

// Error implements the error interface.
func (r *Result) Error() string {
	return r.Code.Name() + " (" + string(r.Outcome) + "): " + r.Detail
}
