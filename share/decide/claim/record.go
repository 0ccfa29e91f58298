// Package claim makes non-idempotent requests run at most once. An entry claims the caller's
// idempotency key by compare-and-swap before it dispatches an attempt (Submission), and the agent
// starts each attempt at most once (Guard).
//
// The types decide only: Step takes an event and returns actions for the caller to carry out.
package claim

import (
	"bytes"
	"encoding/json"
	"io"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/codes"
)

// ErrClaim is the class of errors of this package.
var ErrClaim = errs.Class("claim") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// MaxAnswerBytes limits the body of a stored answer, so that in base64 it stays below the key-value
// service's limit of a megabyte.
const MaxAnswerBytes = 512 << 10

// State is the state of a record.
type State string

// The states of a record.
const (
	// StateClaimed is an open claim: the attempt may run later, be running or have run.
	StateClaimed State = "claimed"
	// StateTombstoned means that the attempt did not run and never will; the key may be claimed again.
	StateTombstoned State = "tombstoned"
	// StateDone means that the attempt ran; the record holds its answer.
	StateDone State = "done"
	// StateResolved means that an operator settled the claim.
	StateResolved State = "resolved"
)

// Answer is the answer of the backend server.
type Answer struct {
	// Code is codes.OK, or codes.AnswerTooLarge if the body was too large to keep.
	Code codes.Code `json:"code"`
	// Status is the backend server's HTTP status.
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	// Body is at most MaxAnswerBytes long.
	Body []byte `json:"body,omitempty"`
}

// WithoutOversizedBody returns a, or a copy without the body and with codes.AnswerTooLarge if the
// body exceeds MaxAnswerBytes.
func (a Answer) WithoutOversizedBody() Answer {
	if len(a.Body) <= MaxAnswerBytes {
		return a
	}
	return Answer{Code: codes.AnswerTooLarge, Status: a.Status, ContentType: a.ContentType}
}

// Record is the value stored under a key in the key-value service.
type Record struct {
	State State `json:"state"`
	// Attempt is unique across all entries and submissions and is never reused.
	Attempt string `json:"attempt"`
	// Agent and Incarnation identify the only process that may run Attempt.
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// BodyDigest never changes while the key has a record.
	BodyDigest string    `json:"body-digest"`
	ClaimedAt  time.Time `json:"claimed-at"`
	// SettledAt is zero in StateClaimed.
	SettledAt time.Time `json:"settled-at,omitzero"`
	// Answer is set in StateDone.
	Answer *Answer `json:"answer,omitempty"`
	// ResolvedBy and Outcome are set in StateResolved; Outcome is codes.OutcomeRan or
	// codes.OutcomeNotRun.
	ResolvedBy string        `json:"resolved-by,omitempty"`
	Outcome    codes.Outcome `json:"outcome,omitempty"`
}

// Stored is a record with its index in the key-value service.
type Stored struct {
	Record Record
	// Index increases with every write of the key; 0 means that the key is absent.
	Index uint64
}

// KeyPrefix is the prefix of the keys of all claims.
const KeyPrefix = "claims/"

// Key returns the key in the key-value service for a team's idempotency key. Keys of different
// teams never collide.
func Key(team, key string) string {
	return KeyPrefix + url.PathEscape(team) + "/" + url.PathEscape(key)
}

// Encode returns r as JSON.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, ErrClaim.Wrap(err)
}

// Decode parses a record. Unknown fields and inconsistent records are errors, because a wrong guess
// about a claim could run its request twice.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := decode(data, &r); err != nil {
		return Record{}, err
	}
	return r, r.check()
}

func decode(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return ErrClaim.Wrap(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return ErrClaim.New("unexpected data after the JSON value")
	}
	return nil
}

func (r Record) check() error {
	if r.Attempt == "" || r.Agent == "" || r.Incarnation == "" || r.BodyDigest == "" {
		return ErrClaim.New("record without attempt, agent, incarnation or body digest")
	}
	switch r.State {
	case StateClaimed, StateTombstoned:
		return nil
	case StateDone:
		if r.Answer == nil {
			return ErrClaim.New("the record is done but has no answer")
		}
		return nil
	case StateResolved:
		if r.ResolvedBy == "" || r.Outcome != codes.OutcomeRan && r.Outcome != codes.OutcomeNotRun {
			return ErrClaim.New("resolved record without an operator or outcome")
		}
		return nil
	default:
		return ErrClaim.New("the record has the unknown state %q", r.State)
	}
}

// EncodeAnswer returns a as JSON for an agent's report to an entry.
func EncodeAnswer(a Answer) ([]byte, error) {
	data, err := json.Marshal(a)
	return data, ErrClaim.Wrap(err)
}

// DecodeAnswer parses the result of EncodeAnswer.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	err := decode(data, &a)
	return a, err
}

// Finish returns the record that an agent writes after a run. It returns false if the current
// record must stay; the answer then counts as written. It also replaces an operator's resolution of
// the same attempt, because the agent knows that the attempt ran and the operator may have been
// wrong.
func Finish(current Record, attempt string, answer Answer, now time.Time) (Record, bool) {
	if current.Attempt != attempt || current.State == StateDone {
		return current, false
	}
	answer = answer.WithoutOversizedBody()
	current.State = StateDone
	current.SettledAt = now
	current.Answer = &answer
	current.ResolvedBy = ""
	current.Outcome = ""
	return current, true
}

// Expired reports whether r may be deleted, by compare-and-swap on its index. An open claim never
// expires, because its request may have run.
func (r Record) Expired(now time.Time, retention time.Duration) bool {
	return r.State != StateClaimed && !now.Before(r.SettledAt.Add(retention))
}

// Resolution is an operator's decision on an open claim.
type Resolution struct {
	// Operator is the operator's name.
	Operator string
	// Outcome is codes.OutcomeRan or codes.OutcomeNotRun.
	Outcome codes.Outcome
	// Reported is the state that the claim's agent reported just before.
	Reported ReportedState
	// InstanceGone is the operator's assurance that the claim's instance no longer exists.
	InstanceGone bool
}

// Resolve returns the settled record.
//
// It settles a claim as not run only if the agent can no longer start the attempt. Otherwise the
// request could run at another agent under the freed key, and again when the first agent, which was
// frozen or disconnected, starts the attempt that it still holds.
func Resolve(current Record, r Resolution, now time.Time) (Record, error) {
	if current.State != StateClaimed {
		return current, ErrClaim.New("the claim is %s; nothing to resolve", current.State)
	}
	if r.Reported == ReportedRunning || r.Reported == ReportedDone {
		return current, ErrClaim.New("the agent says %s; no need to resolve", r.Reported)
	}
	mayStillStart := r.Reported == ReportedUnreachable || r.Reported == ReportedBusy
	if mayStillStart && r.Outcome == codes.OutcomeNotRun && !r.InstanceGone {
		return current, ErrClaim.New("the agent gives no answer and may still start the attempt")
	}
	current.State = StateResolved
	current.SettledAt = now
	current.ResolvedBy = r.Operator
	current.Outcome = r.Outcome
	return current, current.check()
}
