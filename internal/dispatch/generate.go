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

// generation is the state of one request while it is driven.
type generation struct {
	*Dispatcher
	request *request.Request
	record  *request.Record
	sink    Sink

	attempts int
	excluded []string
	// mayHaveRun is set once an attempt has an outcome that is not "did not run".
	mayHaveRun bool
	claimant   claimant
	// joined is set when the answer comes from an earlier copy of the request.
	joined bool
	// lastAttempt is the attempt that the request's record names.
	lastAttempt string
	tokens      int
}

// Generate answers one generation request into sink and returns the final error, if any.
// The record ends in the state that the caller is told.
func (d *Dispatcher) Generate(ctx context.Context, r *request.Request, record *request.Record, sink Sink) error {
	d.options.Budget.Earn(r.Service)
	g := &generation{Dispatcher: d, request: r, record: record, sink: sink, claimant: d.newClaimant(r)}
	err := g.finalError(ctx, g.run(ctx))
	g.claimant.settle(err, g.mayHaveRun, claim.Ending{Tokens: g.tokens})
	g.recordEnd(err)
	return err
}

// run makes attempts until one ends or no other may follow.
func (g *generation) run(ctx context.Context) error {
	for {
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, errClaimFree) {
			continue
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if err := g.checkRetry(failed); err != nil {
			return err
		}
		retries.Inc(1)
		g.move(request.StateWaiting, "", "retry: "+failed.Error())
	}
}

// attemptError is the end of one attempt that another may follow.
type attemptError struct {
	state  request.AttemptState
	target string
	cause  error
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// checkRetry returns nil when another attempt may follow the failed one.
func (g *generation) checkRetry(failed *attemptError) error {
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

// attempt places and drives one attempt, or joins that of an earlier copy of the request. Only an
// attemptError may be followed by another attempt.
func (g *generation) attempt(ctx context.Context) error {
	placement, copied, err := g.claimant.place(ctx, g.options.Placer, g.excluded, g.attempts > 0)
	if err != nil {
		return g.refuse(ctx, err)
	}
	if copied != nil {
		return g.join(ctx, copied)
	}
	binding := Binding{Address: placement.Address(), Attempt: g.options.NewID()}
	existing, err := g.claimant.take(ctx, binding)
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
	g.move(request.StateDispatched, binding.Address.Name, placement.Reason())
	return g.drive(ctx, placement, binding)
}

// refuse ends a request that was not placed or not claimed, unless an earlier copy of it can be joined.
func (g *generation) refuse(ctx context.Context, refusal error) error {
	existing, err := g.claimant.refuse(ctx, refusal)
	if existing != nil {
		return g.join(ctx, existing)
	}
	return err
}

// drive starts the attempt and follows it to its end.
func (g *generation) drive(ctx context.Context, placement Placement, binding Binding) error {
	follower := &follower{
		Dispatcher: g.Dispatcher, record: g.record, sink: g.sink, binding: binding,
		relay: request.NewRelay(binding.Attempt, 0), observer: placement,
		movable: !g.request.NonIdempotent,
	}
	stream, err := g.options.Engines.Start(ctx, binding.Address, g.wire(binding))
	if err == nil {
		err = follower.follow(ctx, stream)
	} else if !target.AttemptState(err).DidNotRun() {
		err = follower.resume(ctx, err)
	}
	state := endState(err)
	g.tokens = follower.relay.Next()
	placement.Release(Outcome{State: state, Tokens: g.tokens, Err: err})
	if err == nil {
		return nil
	}
	g.mayHaveRun = g.mayHaveRun || !state.DidNotRun()
	g.abandon(ctx, err, binding, state)
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return err
	}
	return &attemptError{state: state, target: binding.Address.Name, cause: err}
}

func (g *generation) wire(binding Binding) enginewire.GenerationRequest {
	return enginewire.GenerationRequest{
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
}

// endState returns what is known of an attempt whose drive returned err.
func endState(err error) request.AttemptState {
	if err == nil {
		return request.AttemptEnded
	}
	return target.AttemptState(err)
}

// abandon cancels an attempt that may be running and that nobody will read. An attempt that another
// reader may still want is left to the engine, which ends it when it has had no reader for a while: one whose
// caller may come back with its cursor, and one that copies of a claimed request may have joined.
func (g *generation) abandon(ctx context.Context, err error, binding Binding, state request.AttemptState) {
	if state.DidNotRun() {
		return
	}
	callerLeft := errors.Is(err, errCallerGone) || errors.Is(context.Cause(ctx), context.Canceled)
	byOperator := apierror.Is(context.Cause(ctx), apierror.KindCanceled)
	if callerLeft && g.request.Resumable || g.claimant.held != "" && !byOperator {
		return
	}
	g.cancelAttempt(binding)
}

// finalError turns the last error into the one that the caller is told.
func (g *generation) finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ended := contextError(ctx); ended != nil {
		return ended
	}
	if errors.Is(err, errCallerGone) {
		return apierror.Wrap(err, apierror.KindCanceled, "the caller closed its connection", "send the request again")
	}
	var failed *attemptError
	if !errors.As(err, &failed) {
		return g.refusal(err)
	}
	return g.attemptsExhausted(failed)
}

// refusal passes on an error of placing or claiming, but never as "not run" when an earlier
// attempt may have run.
func (g *generation) refusal(err error) error {
	if !g.mayHaveRun || g.joined {
		return err
	}
	return apierror.Wrap(err, apierror.KindOutcomeUnknown,
		"an earlier attempt may have run and no other target took the request",
		"repeat the request if running it twice is harmless").WithRetryAfter(retryAfterFailure)
}

// retryAfterFailure is when a caller whose request failed at its targets is told to come back.
const retryAfterFailure = 2 * time.Second

func (g *generation) attemptsExhausted(failed *attemptError) error {
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

// contextError returns the final error of a request whose context has ended, or nil.
func contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return nil
	}
	var typed *apierror.Error
	if errors.As(cause, &typed) {
		return typed
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return apierror.New(apierror.KindDeadlineExceeded, "the deadline passed before the answer was complete",
			"allow more time or ask for fewer tokens")
	}
	return apierror.New(apierror.KindCanceled, "the caller closed its connection", "send the request again")
}

// move records a transition. A transition that is not allowed is a fault of this program, which the
// registry keeps out of its state; serving the caller goes on.
func (g *generation) move(state request.State, targetName, reason string) {
	moveRecord(g.record, request.Step{
		At: time.Now(), State: state, Target: targetName, Attempt: g.lastAttempt, Reason: reason,
	})
}

func (g *generation) recordEnd(err error) {
	step := finalStep(err, g.record.State(), g.mayHaveRun)
	step.Attempt = g.lastAttempt
	moveRecord(g.record, step)
}
