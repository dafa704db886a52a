package object

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// ErrUnchanged is returned by a Mutation that finds nothing to change.
var ErrUnchanged = errors.New("object unchanged")

// NotFoundError says that an object does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *NotFoundError) Unwrap() error {
	return apierror.Newf(apierror.KindNotFound, "create it, or check the key", "object %q does not exist", e.Key)
}

// ConflictError says that a conditional update met another version; the update did not take effect.
type ConflictError struct {
	Key string
	// Expected is the version that the writer had read.
	Expected uint64
	// Current is the object as it stands; its Version is zero when it does not exist.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *ConflictError) Unwrap() error {
	return apierror.Newf(apierror.KindConflict, "apply the change to the current version and write again",
		"object %q has version %d, the write expected %d", e.Key, e.Current.Version, e.Expected)
}

// UnknownOutcomeError says that a write may or may not have taken effect, and that it may
// still take effect later.
type UnknownOutcomeError struct {
	Key   string
	cause error
}

// NewUnknownOutcomeError returns the error of a write to key whose answer was lost.
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

// UnavailableError says that the store cannot be reached or refused the call; the call had no effect.
type UnavailableError struct {
	// RetryAfter is how long to wait before the next call.
	RetryAfter time.Duration
	// Throttled tells a used-up rate from an outage.
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

// TooLargeError says that a value exceeds the store's limit; the write was not sent.
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

// IsNotFound reports whether err says that the object does not exist.
func IsNotFound(err error) bool { return errors.HasType(err, (*NotFoundError)(nil)) }

// IsUnknownOutcome reports whether err leaves open if a write took effect.
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
