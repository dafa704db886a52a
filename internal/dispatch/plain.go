package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/pause"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
)

// PlainCaller is the client for plain services.
type PlainCaller interface {
	Call(ctx context.Context, address target.Address, call target.PlainCall) (*http.Response, error)
}

// Body is the body of a caller's request. It can be sent again as long as all of it is buffered.
type Body interface {
	// Open returns the body from its start, or false if it has been read without being buffered.
	Open() (io.Reader, bool)
	// Length returns the body's length in bytes, or -1 if it is unknown.
	Length() int64
}

// PlainResponse is the response of a plain service. Finish must be called once its body has been read.
type PlainResponse struct {
	*http.Response
	finish func(err error) error
}

// Finish closes the response; err is nil if the caller has received the complete body. It returns the final error.
func (r *PlainResponse) Finish(err error) error {
	r.Response.Body.Close()
	return r.finish(err)
}

// plainRun is the state of one call to a plain service while it is served.
type plainRun struct {
	*Dispatcher
	request *request.Request
	record  *request.Record
	call    target.PlainCall
	body    Body

	attempts   int
	excluded   []string
	mayHaveRun bool
	claim      requestClaim
}

// Call serves one call to a plain service. On success the caller of Call must call Finish on the response.
func (d *Dispatcher) Call(ctx context.Context, r *request.Request, record *request.Record, call target.PlainCall, body Body) (*PlainResponse, error) {
	d.options.Budget.Earn(r.Service)
	run := &plainRun{Dispatcher: d, request: r, record: record, call: call, body: body, claim: d.newRequestClaim(r)}
	run.call.AtMostOnce = r.NonIdempotent
	run.call.RequestID = r.ID
	run.call.ContentLength = body.Length()
	response, err := run.run(ctx)
	if err == nil {
		return response, nil
	}
	err = run.finalError(ctx, err)
	run.claim.finish(err, run.mayHaveRun, claim.Ending{})
	recordStep(record, finalStep(err, record.State(), run.mayHaveRun))
	return nil, err
}

// run makes attempts until one succeeds or no other is allowed.
func (p *plainRun) run(ctx context.Context) (*PlainResponse, error) {
	for {
		response, err := p.attempt(ctx)
		if err == nil {
			return response, nil
		}
		if errors.Is(err, errClaimReleased) && ctx.Err() == nil {
			continue
		}
		var failed *attemptError
		if !errors.As(err, &failed) || ctx.Err() != nil || !p.prepareRetry(failed) {
			return nil, err
		}
		retries.Inc(1)
		p.transition(request.StateWaiting, "", "retry: "+failed.Error())
	}
}

// prepareRetry reports whether another attempt is allowed after the failed one, and charges the retry budget for it.
// Retries after a refusal by a target that is leaving are not charged.
func (p *plainRun) prepareRetry(failed *attemptError) bool {
	p.excluded = append(p.excluded, failed.target)
	if !request.MayRetry(failed.state, p.request.NonIdempotent, 0) || p.attempts >= maxAttempts {
		return false
	}
	if _, replayable := p.body.Open(); !replayable {
		return false
	}
	return target.IsLeaving(failed.cause) || p.options.Budget.Spend(p.request.Service)
}

// attempt places the call and sends it, and hedges it if no response arrives in time.
func (p *plainRun) attempt(ctx context.Context) (*PlainResponse, error) {
	placement, duplicate, err := p.claim.place(ctx, p.options.Placer, p.excluded, p.attempts > 0)
	if err != nil {
		return nil, p.refuse(ctx, err)
	}
	if duplicate != nil {
		return nil, p.awaitOriginal(ctx, duplicate)
	}
	binding := Binding{Address: placement.Address(), Attempt: p.options.NewID()}
	if err := p.acquireClaim(ctx, binding); err != nil {
		placement.Release(Outcome{State: request.AttemptNotSent})
		return nil, err
	}
	p.attempts++
	p.transition(request.StateDispatched, binding.Address.Name, placement.Reason())
	hedged := newHedgedCall(p, ctx)
	hedged.start(placement, binding)
	return hedged.firstResponse()
}

// endFailedAttempt releases a failed attempt and returns its error.
func (p *plainRun) endFailedAttempt(attempt *plainAttempt) *attemptError {
	state := target.AttemptState(attempt.err)
	p.mayHaveRun = p.mayHaveRun || !state.DidNotRun()
	attempt.release(Outcome{State: state, Err: attempt.err})
	return &attemptError{state: state, target: attempt.binding.Address.Name, cause: attempt.err}
}

// acquireClaim claims the call for the attempt and returns nil if the attempt may be sent. The response of a plain
// service is not kept, so a duplicate only gets an error that tells how the original call ended.
func (p *plainRun) acquireClaim(ctx context.Context, binding Binding) error {
	existing, err := p.claim.acquire(ctx, binding)
	if err != nil {
		return p.refuse(ctx, err)
	}
	if existing == nil {
		return nil
	}
	return p.awaitOriginal(ctx, existing)
}

// refuse returns the error of a call that was not placed or not claimed. If an earlier duplicate may have run, it waits
// for that one's end first.
func (p *plainRun) refuse(ctx context.Context, refusal error) error {
	existing, err := p.claim.checkRefusal(ctx, refusal)
	if existing != nil {
		return p.awaitOriginal(ctx, existing)
	}
	return err
}

// awaitOriginal waits up to joinWindow for the original call to end, and returns the error that tells its duplicate how
// it ended. It returns errClaimReleased if the call may be claimed again.
func (p *plainRun) awaitOriginal(ctx context.Context, existing *claim.Record) error {
	if err := checkDigest(p.request, existing); err != nil {
		return err
	}
	window, cancel := context.WithTimeout(ctx, joinWindow)
	defer cancel()
	wait := firstResumeWait
	for existing.State == claim.StateClaimed && pause.For(window, wait) {
		wait = min(2*wait, maxResumeWait)
		current, err := p.options.Claims.Lookup(ctx, p.request.ClaimKey())
		if apierror.Is(err, apierror.KindNotFound) || err == nil && current.State == claim.StateNotRun {
			return errClaimReleased
		}
		if err == nil {
			existing = &current
		}
	}
	return duplicateError(existing, nil)
}

// newResponse returns the response of the attempt, which is released when the response is finished.
func (p *plainRun) newResponse(ctx context.Context, attempt *plainAttempt) *PlainResponse {
	p.mayHaveRun = true
	finish := func(err error) error {
		attempt.release(Outcome{State: finalAttemptState(err), Err: err})
		if err != nil {
			err = p.finalError(ctx, err)
		}
		p.claim.finish(err, true, claim.Ending{Status: attempt.response.StatusCode})
		recordStep(p.record, finalStep(err, p.record.State(), true))
		return err
	}
	return &PlainResponse{Response: attempt.response, finish: finish}
}

func (p *plainRun) transition(state request.State, targetName, reason string) {
	recordStep(p.record, request.Step{At: time.Now(), State: state, Target: targetName, Reason: reason})
}

// finalError returns the error that the caller receives for the last error.
func (p *plainRun) finalError(ctx context.Context, err error) error {
	if ctxErr := contextError(ctx, p.mayHaveRun); ctxErr != nil {
		return ctxErr
	}
	var failed *attemptError
	switch {
	case !errors.As(err, &failed) && !p.mayHaveRun:
		return err
	case p.mayHaveRun:
		return apierror.Wrap(err, apierror.KindOutcomeUnknown, "the call was sent and its answer was not received",
			"repeat it if running it twice is harmless, else ask the service whether it ran").WithRetryAfter(retryAfterFailure)
	default:
		return apierror.Wrap(err, apierror.KindNotRun, "no target took the call; it did not run",
			"send it again").WithRetryAfter(retryAfterFailure)
	}
}

// callerBody is the body of a call while it is sent. Its errors are the caller's: they say nothing of the target.
type callerBody struct{ io.Reader }

// Read implements io.Reader.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Mark(err, errCallerDisconnected)
	}
	return n, err
}
