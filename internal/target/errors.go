// Package target implements HTTP clients for targets: model engines and plain services.
//
// Its errors distinguish what is known about an attempt. RefusedError: the target reported that it did not run
// the call. NotSentError: no byte reached the target. UnknownOutcomeError: the call was sent and its outcome
// is unknown.
package target

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/request"
	"godwitcart/internal/wire/enginewire"
)

// RefusedError means that the target refused the call and did not run it.
type RefusedError struct {
	Target  string
	Refusal enginewire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused (%s): %s; try another target", e.Target, e.Refusal.Kind, e.Refusal.Message)
}

// NotSentError means that no connection was established, so the target did not run the call.
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

// UnknownOutcomeError means that the call was sent, but its response was not received completely.
type UnknownOutcomeError struct {
	Target string
	cause  error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("target %s broke off: %v; resume the attempt or ask the target for it", e.Target, e.cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// AttemptState returns the attempt state that follows from err, an error of this package.
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

// IsUnknownAttempt reports whether the target refused because it does not know the attempt.
func IsUnknownAttempt(err error) bool { return isRefusal(err, enginewire.RefusedUnknownAttempt) }

// IsLeaving reports whether the target refused because it is leaving.
func IsLeaving(err error) bool { return isRefusal(err, enginewire.RefusedLeaving) }

func isRefusal(err error, kind enginewire.RefusalKind) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Refusal.Kind == kind
}

// classifyTransportError distinguishes a failed dial from a call that was interrupted.
func classifyTransportError(name string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &NotSentError{Target: name, cause: err}
	}
	return &UnknownOutcomeError{Target: name, cause: err}
}

// NewUnknownOutcomeError returns an UnknownOutcomeError for an attempt whose outcome stays unknown because of cause.
func NewUnknownOutcomeError(name string, cause error) *UnknownOutcomeError {
	return &UnknownOutcomeError{Target: name, cause: &textOnlyError{cause: cause}}
}

// textOnlyError has the text of its cause, but does not unwrap to it. So the refusal of a resume is not mistaken
// for the refusal to run the attempt.
type textOnlyError struct{ cause error }

func (e *textOnlyError) Error() string { return e.cause.Error() }
