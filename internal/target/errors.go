// Package target binds godwitcart to its targets over HTTP: model engines and plain services.
//
// Its errors keep apart what is known of an attempt. RefusedError: the target said that it did not
// run the call. NotSentError: no byte reached the target. BrokenError: the call was sent and
// its outcome is not known.
package target

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/request"
	"godwitcart/internal/wire/enginewire"
)

// RefusedError says that the target refused and did not run the call.
type RefusedError struct {
	Target  string
	Refusal enginewire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused (%s): %s; try another target", e.Target, e.Refusal.Kind, e.Refusal.Message)
}

// NotSentError says that the connection could not be made, so that the target did not run the call.
type NotSentError struct {
	Target string
	cause  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %s cannot be reached: %v; try another target", e.Target, e.cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// BrokenError says that the call was sent and that its answer was not received whole.
type BrokenError struct {
	Target string
	cause  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("target %s broke off: %v; resume the attempt or ask the target for it", e.Target, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// AttemptState returns what err, an error of this package, says of the attempt.
func AttemptState(err error) request.AttemptState {
	var refused *RefusedError
	var notSent *NotSentError
	switch {
	case errors.As(err, &refused):
		return request.AttemptRefused
	case errors.As(err, &notSent):
		return request.AttemptNotSent
	default:
		return request.AttemptUnknown
	}
}

// IsUnknownAttempt reports whether the target said that it does not know the attempt.
func IsUnknownAttempt(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Refusal.Kind == enginewire.RefusedUnknownAttempt
}

// IsLeaving reports whether the target said that it is leaving.
func IsLeaving(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Refusal.Kind == enginewire.RefusedLeaving
}

// classify tells a connection that was never made from a call that broke off.
func classify(name string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &NotSentError{Target: name, cause: err}
	}
	return &BrokenError{Target: name, cause: err}
}

// NewBrokenError returns a BrokenError for an attempt whose fate stays unknown because of cause.
func NewBrokenError(name string, cause error) *BrokenError {
	return &BrokenError{Target: name, cause: &opaqueError{cause: cause}}
}

// opaqueError keeps the text of a cause without its type, so that a refusal to resume is not taken
// for a refusal to run.
type opaqueError struct{ cause error }

func (e *opaqueError) Error() string { return e.cause.Error() }
