package kvapi

import (
	"errors"
	"fmt"
	"net"

	"github.com/zeebo/errs"
)

// ErrKV is the class of every error of this package.
var ErrKV = errs.Class("key-value service") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// ErrKeyNotExist reports that a key does not exist.
type ErrKeyNotExist struct {
	Key string
	// Index is the service's index at the time of the response. A watch from it observes the creation
	// of the key.
	Index uint64
}

// Error returns a message with the key.
func (e *ErrKeyNotExist) Error() string {
	return fmt.Sprintf("key %s does not exist", e.Key)
}

// IsErrKeyNotExist reports whether err is or wraps an ErrKeyNotExist.
func IsErrKeyNotExist(err error) bool {
	var target *ErrKeyNotExist
	return errors.As(err, &target)
}

// ErrSessionNotExist reports that a session has expired or was destroyed.
type ErrSessionNotExist struct {
	Session string
}

// Error returns a message with the session.
func (e *ErrSessionNotExist) Error() string {
	return fmt.Sprintf("session %s does not exist", e.Session)
}

// IsErrSessionNotExist reports whether err is or wraps an ErrSessionNotExist.
func IsErrSessionNotExist(err error) bool {
	var target *ErrSessionNotExist
	return errors.As(err, &target)
}

// ErrNotSent reports that a call was certainly not applied, because no part of it left this
// process.
type ErrNotSent struct {
	Cause error
}

// Error returns a message with the cause.
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

// ErrStatus reports a response with an unexpected status.
type ErrStatus struct {
	Status int
	Detail string
}

// Error returns a message with the status and the start of the body.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// IsErrStatus reports whether err is or wraps an ErrStatus.
func IsErrStatus(err error) bool {
	var target *ErrStatus
	return errors.As(err, &target)
}

// newRequestError wraps the error of a request. It returns an ErrNotSent if the connection could
// not be opened, since no part of the request left this process then. Otherwise the outcome is
// unknown.
func newRequestError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	return ErrKV.Wrap(err)
}
