// Package claim decides how a non-idempotent request runs at most once: an
// entry claims the caller's key by compare-and-swap before it dispatches, and
// the agent's guard starts an attempt at most once.
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

// MaxAnswerBytes bounds the kept body: in base64 it stays under the
// key-value service's megabyte.
const MaxAnswerBytes = 512 << 10

// State says what a record settles about its key.
type State string

// The states of a record.
const (
	// StateClaimed is open: the attempt may run or have run.
	StateClaimed State = "claimed"
	// StateTombstoned means that the attempt did not run and never will; the key may be claimed anew.
	StateTombstoned State = "tombstoned"
	// StateDone carries the answer of the one run.
	StateDone State = "done"
	// StateResolved was settled by an operator.
	StateResolved State = "resolved"
)

// Answer is what the backend server answered.
type Answer struct {
	// Code is codes.OK, or says why the body is missing (codes.AnswerTooLarge).
	Code codes.Code `json:"code"`
	// Status is the backend server's HTTP status.
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	// Body is at most MaxAnswerBytes long.
	Body []byte `json:"body,omitempty"`
}

// Bound returns a, without its body where that is over MaxAnswerBytes.
func (a Answer) Bound() Answer {
	if len(a.Body) <= MaxAnswerBytes {
		return a
	}
	return Answer{Code: codes.AnswerTooLarge, Status: a.Status, ContentType: a.ContentType}
}

// Record is the value kept under a key in the key-value service.
type Record struct {
	State State `json:"state"`
	// Attempt is unique over all entries and submissions; it is never reused.
	Attempt string `json:"attempt"`
	// Agent and Incarnation name the only process that may run Attempt.
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// BodyDigest never changes while the key is held.
	BodyDigest string    `json:"body-digest"`
	ClaimedAt  time.Time `json:"claimed-at"`
	// SettledAt is zero while State is StateClaimed.
	SettledAt time.Time `json:"settled-at,omitzero"`
	// Answer is set in StateDone.
	Answer *Answer `json:"answer,omitempty"`
	// ResolvedBy and Outcome are set in StateResolved; Outcome is codes.OutcomeRan or codes.OutcomeNotRun.
	ResolvedBy string        `json:"resolved-by,omitempty"`
	Outcome    codes.Outcome `json:"outcome,omitempty"`
}

// Stored is a record with the index that the key-value service gave it.
type Stored struct {
	Record Record
	// Index rises with every write of the key; 0 stands for an absent key.
	Index uint64
}

// KeyPrefix begins the key of every claim.
const KeyPrefix = "claims/"

// Key returns the key-value service's key of a caller's idempotency key; two teams never share one.
func Key(team, key string) string {
	return KeyPrefix + url.PathEscape(team) + "/" + url.PathEscape(key)
}

// Encode writes r as JSON.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, ErrClaim.Wrap(err)
}

// Decode reads a record; unknown fields and inconsistent records are errors,
// since a guess about a claim could run an order twice.
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
		return ErrClaim.New("data after the end")
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
			return ErrClaim.New("done record without an answer")
		}
		return nil
	case StateResolved:
		if r.ResolvedBy == "" || r.Outcome != codes.OutcomeRan && r.Outcome != codes.OutcomeNotRun {
			return ErrClaim.New("resolved record without an operator or outcome")
		}
		return nil
	default:
		return ErrClaim.New("unknown state %q", r.State)
	}
}

// EncodeAnswer writes a for the message that tells it to an entry.
func EncodeAnswer(a Answer) ([]byte, error) {
	data, err := json.Marshal(a)
	return data, ErrClaim.Wrap(err)
}

// DecodeAnswer reads what EncodeAnswer wrote.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	err := decode(data, &a)
	return a, err
}

// Finish returns the record that an agent writes after its run, and false
// where the current one must stay and counts as written. It also replaces an operator's resolution
// of the same attempt: the run is a fact, the resolution was a judgement.
func Finish(current Record, attempt string, answer Answer, now time.Time) (Record, bool) {
	if current.Attempt != attempt || current.State == StateDone {
		return current, false
	}
	answer = answer.Bound()
	current.State = StateDone
	current.SettledAt = now
	current.Answer = &answer
	current.ResolvedBy = ""
	current.Outcome = ""
	return current, true
}

// Expired tells whether r may be deleted, by compare-and-swap on its index.
// An open claim never expires: its order may have run.
func (r Record) Expired(now time.Time, retention time.Duration) bool {
	return r.State != StateClaimed && !now.Before(r.SettledAt.Add(retention))
}

// Resolution is an operator's judgement about an open claim.
type Resolution struct {
	// By is the operator's name.
	By string
	// Outcome is codes.OutcomeRan or codes.OutcomeNotRun.
	Outcome codes.Outcome
	// Told is what the claim's agent said when it was asked just before.
	Told ToldState
	// InstanceGone is the operator's word that the claim's instance no longer exists.
	InstanceGone bool
}

// Resolve returns the settled record.
//
// Guards against a frozen or cut-off agent that still holds the attempt: a
// key freed as not run would run at another agent, and once more when the
// first wakes. So it is freed only where the agent can no longer start it.
func Resolve(current Record, r Resolution, now time.Time) (Record, error) {
	if current.State != StateClaimed {
		return current, ErrClaim.New("the claim is %s; nothing to resolve", current.State)
	}
	if r.Told == ToldRunning || r.Told == ToldDone {
		return current, ErrClaim.New("the agent says %s; no need to resolve", r.Told)
	}
	silent := r.Told == ToldUnreachable || r.Told == ToldBusy
	if silent && r.Outcome == codes.OutcomeNotRun && !r.InstanceGone {
		return current, ErrClaim.New("the agent gives no answer and may still start the attempt")
	}
	current.State = StateResolved
	current.SettledAt = now
	current.ResolvedBy = r.By
	current.Outcome = r.Outcome
	return current, current.check()
}
