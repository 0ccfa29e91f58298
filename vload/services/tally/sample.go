// Package tally counts the results of the requests of a run by class, team, priority and phase.
package tally

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Ending is how a request ended.
type Ending string

// The endings. Every offered request has exactly one of them.
const (
	// EndingComplete is an answer read to its end, in time or late.
	EndingComplete Ending = "whole"
	// EndingRefused is an answer with a result code other than 0 or an HTTP status other than 2xx.
	EndingRefused Ending = "refused"
	// EndingIncomplete is an answer that breaks off, lacks its end record, has a wrong number of
	// tokens or is malformed.
	EndingIncomplete Ending = "incomplete"
	// EndingTimeout means that no complete answer arrived within the deadline plus the scenario's
	// wait for late answers.
	EndingTimeout Ending = "timeout"
	// EndingConnection means that the request failed before an answer began.
	EndingConnection Ending = "connection"
	// EndingNotSent means that the request was not sent, because the limit of requests in flight
	// was reached.
	EndingNotSent Ending = "not-sent"
)

// Endings returns every ending in the order of the report.
func Endings() []Ending {
	return []Ending{EndingComplete, EndingRefused, EndingIncomplete, EndingTimeout, EndingConnection, EndingNotSent}
}

// Sample is the result of one offered request.
type Sample struct {
	// Phase and Class are indices into the scenario.
	Phase  int
	Class  int
	Ending Ending
	// CodeName is the name of the result code, or "http-" and the status; set for EndingRefused
	// only.
	CodeName string
	Outcome  codes.Outcome
	// Latency is measured from the intended send time: if the sender itself is held up during a
	// stall of the server, the stall still shows.
	Latency time.Duration
	// SendLag is how long after the intended send time the load tool started to send the request.
	SendLag time.Duration
	// FirstToken is the time from the intended send time to the first token, or 0 without tokens.
	FirstToken time.Duration
	// Gaps are the times between successive tokens. Add does not retain the slice.
	Gaps   []time.Duration
	Tokens int
	// RetryAfter is the wait that the answer advised, or 0 if it advised none.
	RetryAfter time.Duration
	// PromptID is the same number for equal prompts of the class.
	PromptID uint64
	// TextDigest is a digest of the answer's text, or 0 if the text is not compared.
	TextDigest uint64
	// RequestID is empty if the answer has none or if the class may legitimately get an id again.
	RequestID string
	// InTime is set for a complete answer with code 0 within the deadline.
	InTime bool
}
