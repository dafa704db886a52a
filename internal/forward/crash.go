package forward

import (
	"context"
	"io"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/placement"
	"godwitcart/internal/poison"
	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
	"godwitcart/internal/tunnel"
	"godwitcart/internal/upstream"
)

// maxCrashes is the number of targets that may crash under one call. After that it is not sent again, whatever it has in
// common with others.
const maxCrashes = 2

// errBlocked is why a request is given up whose answer has not begun.
var errBlocked = errors.New("targets crash when they answer requests like this one")

// featuresOf returns what the call of an account may have in common with others under which targets crash.
func featuresOf(service, account string, call *Call) poison.Features {
	content := poison.ContentFeature(service, call.Method, call.URI, call.Body)
	request := poison.RequestFeature(content, account, append(slices.Clone(call.Prompt.SharedParts), call.Prompt.OwnPart), call.Body)
	if call.Prompt.Tokens == 0 {
		return poison.NewFeatures(request, content)
	}
	shared := make([]poison.Feature, len(call.Prompt.SharedParts))
	for i, part := range call.Prompt.SharedParts {
		shared[i] = poison.PartFeature(service, part)
	}
	return poison.NewFeatures(request, shared...)
}

// answer is a target's response to a call.
type answer struct {
	*upstream.Response
	// ctx ends with the call, and sooner if it is blocked before its answer has begun.
	ctx   context.Context
	trial *poison.Trial
}

// beginTrial records that the call is sent to the target. The context that it returns ends when the call is blocked before
// its answer has begun.
func (x *exchange) beginTrial(ctx context.Context, target roster.Target) (context.Context, *poison.Trial, *attemptError) {
	ctx, cancel := context.WithCancelCause(ctx)
	trial, err := x.options.Poison.Begin(targetlimit.IncarnationOf(target), x.call.ID, x.features, func() { cancel(errBlocked) })
	if err != nil {
		cancel(err)
		return nil, nil, &attemptError{notRun: true, final: true, outcome: placement.Canceled, cause: err}
	}
	return ctx, trial, nil
}

// endTrial records why the call got no answer from the target, and returns the failure. ctx is the one of beginTrial.
// A connection of its own says nothing of the target while this VM is cut off from all of them; one through another VM does.
func (x *exchange) endTrial(ctx context.Context, trial *poison.Trial, target roster.Target, failure *attemptError, isRelayed bool) *attemptError {
	if errors.Is(context.Cause(ctx), errBlocked) {
		trial.Done()
		return &attemptError{final: true, outcome: placement.Canceled, cause: errBlocked}
	}
	if ctx.Err() != nil || !isCrash(failure.cause) || x.options.Table.IsLeaving(target) || !isRelayed && x.options.Client.IsCutOff() {
		trial.Done()
		return failure
	}
	if trial.Crashed() {
		x.crashes++
	}
	return failure
}

// isCrash reports whether the error is the end of the process at the other end of the connection, as opposed to its
// silence.
func isCrash(err error) bool {
	var notSent *upstream.NotSentError
	return !errors.As(err, &notSent) && !upstream.IsCarrierLost(err) &&
		(errors.Is(err, tunnel.ErrTargetFailed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// mayRepeatAfterCrashes reports whether the call may be sent to another target: not after several have crashed under it,
// and not while it is under suspicion.
func (x *exchange) mayRepeatAfterCrashes() bool {
	return x.crashes == 0 || x.crashes < maxCrashes && x.options.Poison.MayRetry(x.features)
}

// blockedError returns the error for the caller of a call that crashes its targets, or nil for other causes.
func (x *exchange) blockedError(cause error) error {
	var blocked *poison.BlockedError
	switch {
	case !x.mayHaveRun && errors.As(cause, &blocked):
		return blocked
	case errors.Is(cause, errBlocked) || errors.As(cause, &blocked):
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "the request was given up: targets crash when they answer requests like it",
			"send it without the part that they have in common, or ask the operators")
	default:
		return nil
	}
}
