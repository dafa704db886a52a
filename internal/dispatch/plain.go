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

// PlainCaller is what the dispatcher needs of plain services.
type PlainCaller interface {
	Call(ctx context.Context, address target.Address, call target.PlainCall) (*http.Response, error)
}

// Body is a caller's body that may be sent again as long as nothing of it was lost.
type Body interface {
	// Open returns the body from its start, or false when it has been read and was not kept.
	Open() (io.Reader, bool)
	// Length is the body's length in bytes, or -1 when it is not known.
	Length() int64
}

// Answer is the answer of a plain service. Close must be called when its body has been read.
type Answer struct {
	*http.Response
	finish func(err error)
}

// Finish ends the answer: err is nil when its body reached the caller whole.
func (a *Answer) Finish(err error) {
	a.Response.Body.Close()
	a.finish(err)
}

// plainRun is the state of one call to a plain service while it is driven.
type plainRun struct {
	*Dispatcher
	request *request.Request
	record  *request.Record
	call    target.PlainCall
	body    Body

	attempts   int
	excluded   []string
	mayHaveRun bool
	claimant   claimant
}

// Call answers one call to a plain service. On success the caller of Call must Finish the answer.
func (d *Dispatcher) Call(ctx context.Context, r *request.Request, record *request.Record, call target.PlainCall, body Body) (*Answer, error) {
	d.options.Budget.Earn(r.Service)
	run := &plainRun{Dispatcher: d, request: r, record: record, call: call, body: body, claimant: d.newClaimant(r)}
	run.call.RunOnce = r.NonIdempotent
	run.call.RequestID = r.ID
	run.call.ContentLength = body.Length()
	answer, err := run.run(ctx)
	if err == nil {
		return answer, nil
	}
	err = run.finalError(ctx, err)
	run.claimant.settle(err, run.mayHaveRun, claim.Ending{})
	moveRecord(record, finalStep(err, record.State(), run.mayHaveRun))
	return nil, err
}

func (p *plainRun) run(ctx context.Context) (*Answer, error) {
	for {
		answer, err := p.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		if errors.Is(err, errClaimFree) && ctx.Err() == nil {
			continue
		}
		var failed *attemptError
		if !errors.As(err, &failed) || ctx.Err() != nil || !p.mayRetry(failed) {
			return nil, err
		}
		retries.Inc(1)
		p.move(request.StateWaiting, "", "retry: "+failed.Error())
	}
}

func (p *plainRun) mayRetry(failed *attemptError) bool {
	p.excluded = append(p.excluded, failed.target)
	if !request.MayRetry(failed.state, p.request.NonIdempotent, 0) || p.attempts >= maxAttempts {
		return false
	}
	if _, whole := p.body.Open(); !whole {
		return false
	}
	return target.IsLeaving(failed.cause) || p.options.Budget.Spend(p.request.Service)
}

// attempt places the call and sends it, and hedges it when no answer comes.
func (p *plainRun) attempt(ctx context.Context) (*Answer, error) {
	placement, copied, err := p.claimant.place(ctx, p.options.Placer, p.excluded, p.attempts > 0)
	if err != nil {
		return nil, p.refuse(ctx, err)
	}
	if copied != nil {
		return nil, p.tellCopy(ctx, copied)
	}
	binding := Binding{Address: placement.Address(), Attempt: p.options.NewID()}
	if err := p.claim(ctx, binding); err != nil {
		placement.Release(Outcome{State: request.AttemptNotSent})
		return nil, err
	}
	p.attempts++
	p.move(request.StateDispatched, binding.Address.Name, placement.Reason())
	race := newRace(p, ctx)
	race.send(placement, binding)
	return race.first()
}

// fail ends one try at a target.
func (p *plainRun) fail(t *try) *attemptError {
	state := target.AttemptState(t.err)
	p.mayHaveRun = p.mayHaveRun || !state.DidNotRun()
	t.release(Outcome{State: state, Err: t.err})
	return &attemptError{state: state, target: t.binding.Address.Name, cause: t.err}
}

// claim claims the call for the attempt. The answer of a plain service is not kept, so a copy is told
// only how the first call stands.
func (p *plainRun) claim(ctx context.Context, binding Binding) error {
	existing, err := p.claimant.take(ctx, binding)
	if err != nil {
		return p.refuse(ctx, err)
	}
	if existing == nil {
		return nil
	}
	return p.tellCopy(ctx, existing)
}

// refuse ends a call that was not placed or not claimed.
func (p *plainRun) refuse(ctx context.Context, refusal error) error {
	existing, err := p.claimant.refuse(ctx, refusal)
	if existing != nil {
		return p.tellCopy(ctx, existing)
	}
	return err
}

// tellCopy tells a copy how the first call ended, and waits for its end if it is still running.
func (p *plainRun) tellCopy(ctx context.Context, existing *claim.Record) error {
	if err := checkCopy(p.request, existing); err != nil {
		return err
	}
	window, cancel := context.WithTimeout(ctx, joinWindow)
	defer cancel()
	wait := firstResumeWait
	for existing.State == claim.StateClaimed && pause.For(window, wait) {
		wait = min(2*wait, maxResumeWait)
		current, err := p.options.Claims.Lookup(ctx, p.request.ClaimKey())
		if apierror.Is(err, apierror.KindNotFound) || err == nil && current.State == claim.StateNotRun {
			return errClaimFree
		}
		if err == nil {
			existing = &current
		}
	}
	return copyError(existing, nil)
}

// answer hands over the answer of the try that came first.
func (p *plainRun) answer(t *try) *Answer {
	finish := func(err error) {
		p.claimant.settle(err, true, claim.Ending{Status: t.response.StatusCode})
		t.release(Outcome{State: endState(err), Err: err})
		moveRecord(p.record, finalStep(err, p.record.State(), true))
	}
	return &Answer{Response: t.response, finish: finish}
}

func (p *plainRun) move(state request.State, targetName, reason string) {
	moveRecord(p.record, request.Step{At: time.Now(), State: state, Target: targetName, Reason: reason})
}

func (p *plainRun) finalError(ctx context.Context, err error) error {
	if ended := contextError(ctx); ended != nil {
		return ended
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
