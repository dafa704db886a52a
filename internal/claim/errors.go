package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

const (
	remedyRepeat = "repeat the request with the same Idempotency-Key"
	// minRetryAfter and maxRetryAfter bound what refusals tell callers to wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// fullRetryAfter is told while a shard waits for claims to expire.
	fullRetryAfter = time.Minute
)

var (
	errBusy  = errors.New("too many claims are waiting")
	errFull  = errors.New("the shard holds as many claims as it may until some expire")
	errEnded = errors.New("this VM is stopping")
	// errWithdrawn answers a claim of an attempt that was given up before.
	errWithdrawn = errors.New("the attempt was given up")
	errTries     = errors.New("other writers came first too often")
)

// refuse returns the error of a request that was not dispatched for want of a claim.
func refuse(cause error) error {
	wait := max(minRetryAfter, min(retryAfter(cause), maxRetryAfter))
	if errors.Is(cause, errFull) {
		wait = fullRetryAfter
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

// lostClaim is returned to a holder whose claim is gone or held by another attempt.
func lostClaim(key string, current *entry) error {
	if current == nil {
		return apierror.New(apierror.KindConflict, "the claim does not exist or has expired", "do not dispatch the attempt")
	}
	return apierror.Newf(apierror.KindConflict, "do not dispatch the attempt",
		"the claim is %s and held by attempt %q", current.State, current.AttemptID)
}
