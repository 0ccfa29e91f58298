// Package tally counts what became of each request and sums it up by class,
// team, priority and phase.
package tally

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Ending says how a request ended.
type Ending string

// The endings. Each offered request has one of them.
const (
	// EndingWhole is an answer read to its end, in time or late.
	EndingWhole Ending = "whole"
	// EndingRefused is an answer with a result code other than 0, or an HTTP status that is no success.
	EndingRefused Ending = "refused"
	// EndingIncomplete is an answer that broke off, lacks its end record or has a wrong number of tokens.
	EndingIncomplete Ending = "incomplete"
	// EndingTimeout had no whole answer by the deadline and the wait for late answers.
	EndingTimeout Ending = "timeout"
	// EndingConnection failed before an answer began.
	EndingConnection Ending = "connection"
	// EndingNotSent met the bound on requests in flight.
	EndingNotSent Ending = "not-sent"
)

// Endings returns every ending in the order of the report.
func Endings() []Ending {
	return []Ending{EndingWhole, EndingRefused, EndingIncomplete, EndingTimeout, EndingConnection, EndingNotSent}
}

// Sample is what became of one offered request.
type Sample struct {
	// Phase and Class are indices into the scenario.
	Phase  int
	Class  int
	Ending Ending
	// CodeName is set for EndingRefused.
	CodeName string
	Outcome  codes.Outcome
	// Latency counts from the intended send time, so that a stalled sender cannot hide a stall.
	Latency time.Duration
	// SendLag is how long after the intended time the request left the load tool.
	SendLag time.Duration
	// FirstToken counts from the intended send time; 0: no token came.
	FirstToken time.Duration
	// Gaps are the times between tokens; Add does not keep the slice.
	Gaps   []time.Duration
	Tokens int
	// RetryAfter is 0 where the answer gave no advice.
	RetryAfter time.Duration
	// Prompt is a number that equal prompts of the class share.
	Prompt uint64
	// Text is a digest of the answer's text; 0: not checked.
	Text uint64
	// RequestID is empty where the answer named none or the id may repeat.
	RequestID string
	// InTime is set for a whole answer with code 0 within the deadline.
	InTime bool
}
