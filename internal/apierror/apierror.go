// Package apierror defines the typed errors that callers and operators receive.
//
// An Error has a Kind that programs branch on, a message that says what
// happened, and a remedy that says what to do next. Errors from the Go standard
// library and from other packages are wrapped, so errors.Is and errors.As of
// github.com/cockroachdb/errors work across package borders.
package apierror

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a class of failure; its text is part of the callers' interface.
type Kind string

// The kinds of error.
const (
	// KindBadRequest means that the input is malformed or out of range.
	KindBadRequest Kind = "bad_request"
	// KindUnauthenticated means that the API key or operator token is missing or unknown.
	KindUnauthenticated Kind = "bad_key"
	// KindForbidden means that the account or operator may not do this.
	KindForbidden Kind = "forbidden"
	// KindNotFound means that a named object does not exist.
	KindNotFound Kind = "not_found"
	// KindUnknownModel means that no service runs the named model, adapter or version.
	KindUnknownModel Kind = "unknown_model"
	// KindConflict means that a concurrent change or a request with the same key came first.
	KindConflict Kind = "conflict"
	// KindTooLarge means that the body exceeds a limit.
	KindTooLarge Kind = "too_large"
	// KindRateLimited means that the client account exceeded its own limit; the request did not run.
	KindRateLimited Kind = "rate_limited"
	// KindOverloaded means that no target has room; the request did not run.
	KindOverloaded Kind = "overloaded"
	// KindNotRun means that the request certainly did not run on any target.
	KindNotRun Kind = "not_run"
	// KindOutcomeUnknown means that the request may or may not have run.
	KindOutcomeUnknown Kind = "outcome_unknown"
	// KindGenerationLost means that a generation broke off after tokens were delivered.
	KindGenerationLost Kind = "generation_lost"
	// KindDeadlineExceeded means that the deadline passed before the answer was complete.
	KindDeadlineExceeded Kind = "deadline_exceeded"
	// KindCanceled means that the caller or an operator canceled the request.
	KindCanceled Kind = "canceled"
	// KindUnavailable means that a dependency such as the platform cannot be reached.
	KindUnavailable Kind = "unavailable"
	// KindInternal means that godwitcart itself failed.
	KindInternal Kind = "internal"
)

// Error is a typed failure with its remedy.
type Error struct {
	Kind    Kind
	Message string
	// Remedy tells the reader what to do; it is never empty in an error sent to a caller.
	Remedy string
	// RetryAfter is how long the caller should wait before it comes back; zero means that
	// repeating the same request does not help.
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

// WithRetryAfter returns a copy that tells the caller when to come back.
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

// Typed returns the first Error in err's chain. Anything else is a fault of this program, whose text stays inside.
func Typed(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, KindInternal, "godwitcart failed", "report the request id to the operators")
}

// KindOf returns the kind of the first Error in err's chain, and KindInternal when there is none.
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

// HTTPStatus returns the status code that the kind is answered with.
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

// statusClientClosedRequest is the customary status for a request canceled by its caller.
const statusClientClosedRequest = 499
