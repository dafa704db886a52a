package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// generation is the state of one generation request while it is served.
type generation struct {
	*Dispatcher
	request *request.Request
	record  *request.Record
	sink    Sink

	attempts int
	excluded []string
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	claim      requestClaim
	// joined is set while the response is relayed from the attempt of an earlier duplicate.
	joined bool
	// lastAttempt is the attempt that the next steps of the record name.
	lastAttempt string
	tokens      int
}

// Generate serves one generation request into sink and returns the final error, if any. The record ends in the state
// that is reported to the caller.
func (d *Dispatcher) Generate(ctx context.Context, r *request.Request, record *request.Record, sink Sink) error {
	d.options.Budget.Earn(r.Service)
	g := &generation{Dispatcher: d, request: r, record: record, sink: sink, claim: d.newRequestClaim(r)}
	err := g.finalError(ctx, g.run(ctx))
	g.claim.finish(err, g.mayHaveRun, claim.Ending{Tokens: g.tokens})
	g.recordEnd(err)
	return err
}

// run makes attempts until one succeeds or no other is allowed.
func (g *generation) run(ctx context.Context) error {
	for {
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, errClaimReleased) {
			continue
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if err := g.prepareRetry(failed); err != nil {
			return err
		}
		retries.Inc(1)
		g.transition(request.StateWaiting, "", "retry: "+failed.Error())
	}
}

// attemptError is the failure of one attempt; another attempt may be allowed.
type attemptError struct {
	state  request.AttemptState
	target string
	cause  error
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// prepareRetry returns nil if another attempt is allowed after the failed one, and charges the retry budget for it.
// Otherwise it returns failed. Retries after a refusal by a target that is leaving are not charged.
func (g *generation) prepareRetry(failed *attemptError) error {
	g.excluded = append(g.excluded, failed.target)
	if !request.MayRetry(failed.state, g.request.NonIdempotent, g.sink.Delivered()) {
		return failed
	}
	if g.attempts >= maxAttempts {
		return failed
	}
	if !target.IsLeaving(failed.cause) && !g.options.Budget.Spend(g.request.Service) {
		return failed
	}
	g.sink.Reset()
	return nil
}

// attempt places and runs one attempt, or joins that of an earlier duplicate of the request. Another attempt is allowed
// only after an attemptError.
func (g *generation) attempt(ctx context.Context) error {
	placement, duplicate, err := g.claim.place(ctx, g.options.Placer, g.excluded, g.attempts > 0)
	if err != nil {
		return g.refuse(ctx, err)
	}
	if duplicate != nil {
		return g.join(ctx, duplicate)
	}
	binding := Binding{Address: placement.Address(), Attempt: g.options.NewID()}
	existing, err := g.claim.acquire(ctx, binding)
	if err != nil || existing != nil {
		placement.Release(Outcome{State: request.AttemptNotSent})
	}
	if err != nil {
		return g.refuse(ctx, err)
	}
	if existing != nil {
		return g.join(ctx, existing)
	}
	g.attempts++
	g.lastAttempt = binding.Attempt
	g.transition(request.StateDispatched, binding.Address.Name, placement.Reason())
	return g.runAttempt(ctx, placement, binding)
}

// refuse ends a request that was not placed or not claimed, unless an earlier duplicate of it can be joined.
func (g *generation) refuse(ctx context.Context, refusal error) error {
	existing, err := g.claim.checkRefusal(ctx, refusal)
	if existing != nil {
		return g.join(ctx, existing)
	}
	return err
}

// runAttempt starts the attempt, relays it until it ends and releases its placement. It returns an *attemptError if the
// attempt failed, or the error itself if the caller disconnected or the context ended.
func (g *generation) runAttempt(ctx context.Context, placement Placement, binding Binding) error {
	follower := &follower{
		Dispatcher: g.Dispatcher, record: g.record, sink: g.sink, binding: binding,
		relay: request.NewSequencer(binding.Attempt, 0), observer: placement,
		replaceable: !g.request.NonIdempotent,
	}
	stream, err := g.options.Engines.Start(ctx, binding.Address, g.engineRequest(binding))
	if err == nil {
		err = follower.follow(ctx, stream)
	} else if !target.AttemptState(err).DidNotRun() {
		err = follower.resume(ctx, err)
	}
	state := finalAttemptState(err)
	g.tokens = follower.relay.Next()
	placement.Release(Outcome{State: state, Tokens: g.tokens, Err: err})
	if err == nil {
		return nil
	}
	g.mayHaveRun = g.mayHaveRun || !state.DidNotRun()
	g.cancelUnlessWanted(ctx, err, binding, state)
	if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) {
		return err
	}
	return &attemptError{state: state, target: binding.Address.Name, cause: err}
}

func (g *generation) engineRequest(binding Binding) target.Generation {
	generation := enginewire.GenerationRequest{
		AttemptID: binding.Attempt,
		RequestID: g.request.ID,
		Model:     g.request.Variant.Model,
		Adapter:   g.request.Variant.Adapter,
		Version:   g.request.Variant.Version,
		Prompt:    g.request.Prompt,
		MaxTokens: g.request.MaxTokens,
		Seed:      g.request.Seed,
		Priority:  g.request.Priority,
	}
	return target.Generation{GenerationRequest: generation, AtMostOnce: g.request.NonIdempotent}
}

// finalAttemptState returns the state of an attempt that ended with err.
func finalAttemptState(err error) request.AttemptState {
	if err == nil {
		return request.AttemptEnded
	}
	return target.AttemptState(err)
}

// cancelUnlessWanted cancels an attempt that may be running and has no reader left. An attempt is not canceled if its
// caller may resume it with a cursor, or if duplicates of a claimed request may have joined it; the engine stops it
// once it has had no reader for a while.
func (g *generation) cancelUnlessWanted(ctx context.Context, err error, binding Binding, state request.AttemptState) {
	if state.DidNotRun() {
		return
	}
	callerDisconnected := errors.Is(err, errCallerDisconnected) || errors.Is(context.Cause(ctx), context.Canceled)
	canceledByOperator := apierror.Is(context.Cause(ctx), apierror.KindCanceled)
	if callerDisconnected && g.request.Resumable || g.claim.attempt != "" && !canceledByOperator {
		return
	}
	g.cancelAttempt(binding)
}

// finalError returns the error that the caller receives for the last error.
func (g *generation) finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctxErr := contextError(ctx, g.mayHaveRun); ctxErr != nil {
		return ctxErr
	}
	if errors.Is(err, errCallerDisconnected) {
		return apierror.Wrap(err, apierror.KindCanceled, "the caller closed its connection", "send the request again")
	}
	var failed *attemptError
	if !errors.As(err, &failed) {
		return g.refusalError(err)
	}
	return g.exhaustedError(failed)
}

// refusalError returns an error of placing or claiming, but never as "not run" if an earlier attempt may have run.
func (g *generation) refusalError(err error) error {
	if !g.mayHaveRun || g.joined {
		return err
	}
	return apierror.Wrap(err, apierror.KindOutcomeUnknown,
		"an earlier attempt may have run and no other target took the request",
		"repeat the request if running it twice is harmless").WithRetryAfter(retryAfterFailure)
}

// retryAfterFailure is the Retry-After of a request that failed at its targets.
const retryAfterFailure = 2 * time.Second

// exhaustedError returns the error that the caller receives if the last attempt failed and no other is allowed.
func (g *generation) exhaustedError(failed *attemptError) error {
	switch {
	case g.sink.Delivered() > 0:
		return apierror.Wrap(failed, apierror.KindGenerationLost,
			"the generation broke off and cannot be continued",
			"discard what was received and send the request again").WithRetryAfter(retryAfterFailure)
	case g.mayHaveRun || !failed.state.DidNotRun():
		return apierror.Wrap(failed, apierror.KindOutcomeUnknown,
			"the target broke off and may have run the request",
			"repeat it with the same Idempotency-Key to learn how it ended, or as a new request if running it twice is harmless").
			WithRetryAfter(retryAfterFailure)
	default:
		return apierror.Wrap(failed, apierror.KindNotRun,
			"no target took the request; it did not run",
			"send it again").WithRetryAfter(retryAfterFailure)
	}
}

// ErrStopping is the cause of the end of a request's context when its entry VM stops before the answer is complete.
var ErrStopping = errors.New("this entry VM stops")

// stoppingError returns the final error of a request whose entry VM stops before the answer is complete.
func stoppingError(mayHaveRun bool) error {
	if mayHaveRun {
		return apierror.Wrap(ErrStopping, apierror.KindOutcomeUnknown, "this entry VM stopped before the answer was complete",
			"repeat it with the same Idempotency-Key to learn how it ended, or as a new request if running it twice is harmless").
			WithRetryAfter(retryAfterFailure)
	}
	return apierror.Wrap(ErrStopping, apierror.KindNotRun, "this entry VM stopped; the request did not run",
		"send it again; the balancer leads to another entry VM").WithRetryAfter(retryAfterStop)
}

// retryAfterStop is the Retry-After of a request that did not run because its entry VM stopped.
const retryAfterStop = time.Second

// contextError returns the final error of a request whose context has ended, or nil if it has not.
func contextError(ctx context.Context, mayHaveRun bool) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return nil
	}
	if errors.Is(cause, ErrStopping) {
		return stoppingError(mayHaveRun)
	}
	var apiErr *apierror.Error
	if errors.As(cause, &apiErr) {
		return apiErr
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return apierror.New(apierror.KindDeadlineExceeded, "the deadline passed before the answer was complete",
			"allow more time or ask for fewer tokens")
	}
	return apierror.New(apierror.KindCanceled, "the caller closed its connection", "send the request again")
}

// transition records a state transition. A transition that is not allowed is a bug of this program; the record rejects
// it, and the request is served regardless.
func (g *generation) transition(state request.State, targetName, reason string) {
	recordStep(g.record, request.Step{
		At: time.Now(), State: state, Target: targetName, Attempt: g.lastAttempt, Reason: reason,
	})
}

func (g *generation) recordEnd(err error) {
	step := finalStep(err, g.record.State(), g.mayHaveRun)
	step.Attempt = g.lastAttempt
	recordStep(g.record, step)
}
