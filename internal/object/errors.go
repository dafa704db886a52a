package object

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// ErrUnchanged is returned by a Mutation that has nothing to change; Update then returns the current object.
var ErrUnchanged = errors.New("object unchanged")

// NotFoundError is returned for an object that does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *NotFoundError) Unwrap() error {
	return apierror.Newf(apierror.KindNotFound, "create it, or check the key", "object %q does not exist", e.Key)
}

// ConflictError is returned for a conditional update whose expected version is not the current one; it had no effect.
type ConflictError struct {
	Key string
	// Expected is the version that the write was conditional on.
	Expected uint64
	// Current is the current object; its Version is zero if it does not exist.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *ConflictError) Unwrap() error {
	return apierror.Newf(apierror.KindConflict, "apply the change to the current version and write again",
		"object %q has version %d, the write expected %d", e.Key, e.Current.Version, e.Expected)
}

// UnknownOutcomeError is returned for a write that may or may not have taken effect, and that may
// still take effect later.
type UnknownOutcomeError struct {
	Key   string
	cause error
}

// NewUnknownOutcomeError returns the error of a write to key whose response was lost.
func NewUnknownOutcomeError(key string, cause error) *UnknownOutcomeError {
	return &UnknownOutcomeError{Key: key, cause: cause}
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *UnknownOutcomeError) Unwrap() error {
	return apierror.Wrap(e.cause, apierror.KindOutcomeUnknown,
		fmt.Sprintf("the write to object %q may or may not have taken effect", e.Key), "read the object back")
}

// UnavailableError is returned if the store cannot be reached or rejected the call; the call had no effect.
type UnavailableError struct {
	// RetryAfter is how long to wait before the next call.
	RetryAfter time.Duration
	// Throttled is set if the call exceeded a rate limit, and not if the store is down.
	Throttled bool
	cause     error
}

// NewUnavailableError returns the error of a call that had no effect.
func NewUnavailableError(retryAfter time.Duration, throttled bool, cause error) *UnavailableError {
	return &UnavailableError{RetryAfter: retryAfter, Throttled: throttled, cause: cause}
}

// Error implements error.
func (e *UnavailableError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *UnavailableError) Unwrap() error {
	message := "the platform's object API cannot be reached"
	if e.Throttled {
		message = "the rate of calls to the platform's object API is used up"
	}
	return apierror.Wrap(e.cause, apierror.KindUnavailable, message, "try again later").WithRetryAfter(e.RetryAfter)
}

// TooLargeError is returned for a value that exceeds the store's size limit; the write had no effect.
type TooLargeError struct {
	Key         string
	Size, Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *TooLargeError) Unwrap() error {
	return apierror.Newf(apierror.KindTooLarge, "split the value over several objects",
		"the value of object %q has %d bytes, the limit is %d", e.Key, e.Size, e.Limit)
}

// IsUnanswered reports whether the call's time ran out. Its connection may have gone silent while new ones work.
func IsUnanswered(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// IsNotFound reports whether err's chain has a NotFoundError.
func IsNotFound(err error) bool { return errors.HasType(err, (*NotFoundError)(nil)) }

// IsUnknownOutcome reports whether err's chain has an UnknownOutcomeError.
func IsUnknownOutcome(err error) bool { return errors.HasType(err, (*UnknownOutcomeError)(nil)) }

// AsConflict returns the ConflictError in err's chain.
func AsConflict(err error) (*ConflictError, bool) {
	var conflict *ConflictError
	found := errors.As(err, &conflict)
	return conflict, found
}

// AsUnavailable returns the UnavailableError in err's chain.
func AsUnavailable(err error) (*UnavailableError, bool) {
	var unavailable *UnavailableError
	found := errors.As(err, &unavailable)
	return unavailable, found
}
