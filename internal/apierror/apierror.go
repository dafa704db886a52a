// Package apierror defines the typed errors that callers and operators receive.
//
// An Error has a Kind for programs to branch on, a message that says what happened, and a remedy that says what
// to do next. It can wrap any other error, which errors.Is and errors.As of github.com/cockroachdb/errors find.
package apierror

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies a failure. Its value is part of the API for callers.
type Kind string

// The kinds of error.
const (
	// KindBadRequest means that the input is malformed or out of range.
	KindBadRequest Kind = "bad_request"
	// KindUnauthenticated means that the API key or operator token is missing or unknown.
	KindUnauthenticated Kind = "bad_key"
	// KindForbidden means that the account or operator lacks the permission.
	KindForbidden Kind = "forbidden"
	// KindNotFound means that a named object does not exist.
	KindNotFound Kind = "not_found"
	// KindUnknownModel means that no service runs the named model, adapter or version.
	KindUnknownModel Kind = "unknown_model"
	// KindConflict means that the request conflicts with a concurrent change or with an earlier request that has the
	// same idempotency key.
	KindConflict Kind = "conflict"
	// KindTooLarge means that the body exceeds a limit.
	KindTooLarge Kind = "too_large"
	// KindRateLimited means that the client account exceeded its own limit; the request did not run.
	KindRateLimited Kind = "rate_limited"
	// KindOverloaded means that no target has free capacity; the request did not run.
	KindOverloaded Kind = "overloaded"
	// KindNotRun means that the request certainly did not run on any target.
	KindNotRun Kind = "not_run"
	// KindOutcomeUnknown means that it is unknown whether the request ran.
	KindOutcomeUnknown Kind = "outcome_unknown"
	// KindGenerationLost means that a generation was interrupted after tokens were delivered and cannot be resumed.
	KindGenerationLost Kind = "generation_lost"
	// KindDeadlineExceeded means that the deadline passed before the response was complete.
	KindDeadlineExceeded Kind = "deadline_exceeded"
	// KindCanceled means that the caller or an operator canceled the request.
	KindCanceled Kind = "canceled"
	// KindUnavailable means that a dependency, such as the platform, is unreachable.
	KindUnavailable Kind = "unavailable"
	// KindInternal means an internal error of godwitcart.
	KindInternal Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	// Remedy tells the reader what to do; it is never empty in an error sent to a caller.
	Remedy string
	// RetryAfter is how long the caller should wait before it retries; zero means that repeating the same request
	// does not help.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of the kind with a message and a remedy.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return New(kind, fmt.Sprintf(format, args...), remedy)
}

// Wrap returns an error of the kind that keeps cause for errors.Is and errors.As.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	wrapped := New(kind, message, remedy)
	wrapped.cause = cause
	return wrapped
}

// WithRetryAfter returns a copy that tells the caller to retry after wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Message)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// FromError returns the first Error in err's chain, or an Error of KindInternal if there is none. The message of
// the latter hides err's text from callers.
func FromError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, KindInternal, "godwitcart failed", "report the request id to the operators")
}

// KindOf returns the kind of the first Error in err's chain, or KindInternal if there is none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return KindInternal
}

// Is reports whether the first Error in err's chain has the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}

// HTTPStatus returns the HTTP status code of responses with the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case KindBadRequest:
		return http.StatusBadRequest
	case KindUnauthenticated:
		return http.StatusUnauthorized
	case KindForbidden:
		return http.StatusForbidden
	case KindNotFound, KindUnknownModel:
		return http.StatusNotFound
	case KindConflict:
		return http.StatusConflict
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindRateLimited:
		return http.StatusTooManyRequests
	case KindOverloaded, KindNotRun, KindUnavailable:
		return http.StatusServiceUnavailable
	case KindOutcomeUnknown, KindGenerationLost:
		return http.StatusBadGateway
	case KindDeadlineExceeded:
		return http.StatusGatewayTimeout
	case KindCanceled:
		return statusClientClosedRequest
	default:
		return http.StatusInternalServerError
	}
}

// statusClientClosedRequest is nginx's non-standard status for a request that its caller canceled.
const statusClientClosedRequest = 499
