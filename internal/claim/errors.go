package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

const (
	remedyRepeat = "repeat the request with the same Idempotency-Key"
	// minRetryAfter and maxRetryAfter limit the retry delay that refusals report to clients.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// fullShardRetryAfter is the retry delay reported while a shard waits for claims to expire.
	fullShardRetryAfter = time.Minute
)

var (
	errQueueFull = errors.New("too many claims are waiting")
	errShardFull = errors.New("the shard holds as many claims as it may until some expire")
	errStopping  = errors.New("this VM is stopping")
	// errWithdrawn is the result of a claim whose attempt was withdrawn earlier.
	errWithdrawn        = errors.New("the attempt was given up")
	errTooManyConflicts = errors.New("other writers came first too often")
)

// notRunError returns the error for a request that could not be claimed and therefore was not
// dispatched.
func notRunError(cause error) error {
	wait := max(minRetryAfter, min(retryAfter(cause), maxRetryAfter))
	if errors.Is(cause, errShardFull) {
		wait = fullShardRetryAfter
	}
	return apierror.Wrap(cause, apierror.KindNotRun, "the request could not be claimed and did not run", remedyRepeat).
		WithRetryAfter(wait)
}

func retryAfter(cause error) time.Duration {
	var typed *apierror.Error
	if unavailable, ok := object.AsUnavailable(cause); ok {
		return unavailable.RetryAfter
	}
	if errors.As(cause, &typed) {
		return typed.RetryAfter
	}
	return time.Second
}

// lostClaimError returns the error for an attempt that does not hold its claim: the claim is missing,
// has ended, or belongs to another attempt.
func lostClaimError(key string, current *entry) error {
	if current == nil {
		return apierror.New(apierror.KindConflict, "the claim does not exist or has expired", "do not dispatch the attempt")
	}
	return apierror.Newf(apierror.KindConflict, "do not dispatch the attempt",
		"the claim is %s and held by attempt %q", current.State, current.AttemptID)
}
