package kvapi

import (
	"errors"
	"fmt"
	"net"

	"github.com/zeebo/errs"
)

// ErrKV is the class of every error of this package.
var ErrKV = errs.Class("key-value service") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// ErrKeyNotExist says that no such key exists.
type ErrKeyNotExist struct {
	Key string
	// Index is the service's index at the time of the answer; a watch from it sees the key's creation.
	Index uint64
}

// Error names the key.
func (e *ErrKeyNotExist) Error() string {
	return fmt.Sprintf("key %s does not exist", e.Key)
}

// IsErrKeyNotExist reports whether err says that no such key exists.
func IsErrKeyNotExist(err error) bool {
	var target *ErrKeyNotExist
	return errors.As(err, &target)
}

// ErrSessionNotExist says that the session has expired or was destroyed.
type ErrSessionNotExist struct {
	Session string
}

// Error names the session.
func (e *ErrSessionNotExist) Error() string {
	return fmt.Sprintf("session %s does not exist", e.Session)
}

// IsErrSessionNotExist reports whether err says that the session is gone.
func IsErrSessionNotExist(err error) bool {
	var target *ErrSessionNotExist
	return errors.As(err, &target)
}

// ErrNotSent says that a call was certainly not applied: nothing of it left this process.
type ErrNotSent struct {
	Cause error
}

// Error names the cause.
func (e *ErrNotSent) Error() string {
	return fmt.Sprintf("not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error {
	return e.Cause
}

// IsErrNotSent reports whether the call that failed with err was certainly not applied.
func IsErrNotSent(err error) bool {
	var target *ErrNotSent
	return errors.As(err, &target)
}

// ErrStatus is an answer of the service with an unexpected status.
type ErrStatus struct {
	Status int
	Detail string
}

// Error gives the status and the start of the body.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// IsErrStatus reports whether the service answered with an unexpected status.
func IsErrStatus(err error) bool {
	var target *ErrStatus
	return errors.As(err, &target)
}

// newCallError separates calls that never left this process from those of unknown outcome.
func newCallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	return ErrKV.Wrap(err)
}
