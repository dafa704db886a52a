package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/pause"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
)

// Claims stores the claims on non-idempotent requests; *claim.Manager and *claim.Forwarder implement it.
// The daemon passes a Forwarder.
type Claims interface {
	Claim(ctx context.Context, record claim.Record) (existing claim.Record, won bool, err error)
	Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error
	End(key, attempt string, ending claim.Ending)
	Release(key, attempt string)
	// Lookup reads a claim; if there is none, the error's kind is not_found.
	Lookup(ctx context.Context, key string) (claim.Record, error)
}

// Locator finds the address of a target that a claim names.
type Locator interface {
	Locate(targetName string) (target.Address, bool)
}

// requestClaim manages the claim of one request.
//
// Invariant: an attempt of a request that needs a claim is sent only after acquire has returned nil, nil for it.
type requestClaim struct {
	claims  Claims
	request *request.Request
	vm      string
	// attempt is the attempt that the claim names; empty while nothing is claimed.
	attempt string
	// won is set once the claim was won; from then on no duplicate of the request can have run.
	won bool
}

func (d *Dispatcher) newRequestClaim(r *request.Request) requestClaim {
	return requestClaim{claims: d.options.Claims, request: r, vm: d.options.VM}
}

// acquire claims the request for the attempt, or moves the claim to it from an attempt that did not run. If an earlier
// duplicate holds the claim, it returns that record.
func (c *requestClaim) acquire(ctx context.Context, binding Binding) (*claim.Record, error) {
	if !c.request.NeedsClaim() {
		return nil, nil
	}
	if c.attempt != "" {
		return nil, c.rebind(ctx, binding)
	}
	existing, won, err := c.claims.Claim(ctx, c.record(binding))
	if err != nil {
		return nil, err
	}
	if !won {
		return &existing, nil
	}
	c.attempt = binding.Attempt
	c.won = true
	return nil, nil
}

// checkRefusal checks a refusal that came before the claim was won: the caller may be told "not run" only if no
// duplicate of the request can have run. It returns the record of a duplicate that may have run, or the error for the
// caller: the refusal itself, or an unavailable error if the claim cannot be read.
func (c *requestClaim) checkRefusal(ctx context.Context, refusal error) (*claim.Record, error) {
	if !c.request.NeedsClaim() || c.won || ctx.Err() != nil {
		return nil, refusal
	}
	existing, err := c.claims.Lookup(ctx, c.request.ClaimKey())
	switch {
	case apierror.Is(err, apierror.KindNotFound):
		return nil, refusal
	case err != nil:
		return nil, apierror.Wrap(refusal, apierror.KindUnavailable,
			"this copy of the request did not run, and whether an earlier copy did cannot be read now",
			"repeat the request with the same Idempotency-Key").WithRetryAfter(retryAfterFailure)
	case existing.State == claim.StateNotRun:
		return nil, refusal
	default:
		return &existing, nil
	}
}

func (c *requestClaim) record(binding Binding) claim.Record {
	return claim.Record{
		Key: c.request.ClaimKey(), Digest: c.request.Digest, Account: c.request.Account, RequestID: c.request.ID,
		AttemptID: binding.Attempt, Target: binding.Address.Name, VM: c.vm, ClaimedAt: time.Now(),
		State: claim.StateClaimed,
	}
}

// rebind moves the claim to the attempt. If that fails it releases the claim for both attempts: neither has run.
func (c *requestClaim) rebind(ctx context.Context, binding Binding) error {
	err := c.claims.Rebind(ctx, c.request.ClaimKey(), c.attempt, binding.Attempt, binding.Address.Name)
	if err != nil {
		c.claims.Release(c.request.ClaimKey(), c.attempt)
		c.claims.Release(c.request.ClaimKey(), binding.Attempt)
		c.attempt = ""
		return err
	}
	c.attempt = binding.Attempt
	return nil
}

// finish records how the claimed request ended. mayHaveRun is true if any attempt may have run.
func (c *requestClaim) finish(err error, mayHaveRun bool, end claim.Ending) {
	if c.attempt == "" {
		return
	}
	if err != nil && !mayHaveRun {
		c.claims.Release(c.request.ClaimKey(), c.attempt)
		return
	}
	end.Outcome = claim.OutcomeAnswered
	if err != nil {
		end.Outcome = claim.OutcomeUnknown
		end.Error = apierror.KindOf(err)
	}
	c.claims.End(c.request.ClaimKey(), c.attempt, end)
}

// checkDigest rejects an idempotency key that was used for a request with different content.
func checkDigest(r *request.Request, existing *claim.Record) error {
	if existing.Digest == r.Digest {
		return nil
	}
	return apierror.New(apierror.KindConflict, "the Idempotency-Key was used for a request with other content",
		"use a new key for a new request")
}

// joinWindow bounds how long a duplicate waits for the attempt of the original request. The attempt may not be running
// yet, since its claim is written before it is sent, and the claim moves to another one if a target refuses it.
const joinWindow = 5 * time.Second

// errClaimReleased reports that the original request released its claim without having run.
var errClaimReleased = errors.New("the earlier copy of the request did not run")

// join serves a duplicate of a claimed request from the generation of the original, which the engine keeps for a while
// with all its tokens. While the claim is open and no token was delivered, it retries for up to joinWindow with the
// attempt that the claim then names. It returns errClaimReleased if the request may be claimed again.
func (g *generation) join(ctx context.Context, existing *claim.Record) error {
	if err := checkDigest(g.request, existing); err != nil {
		return err
	}
	window, cancel := context.WithTimeout(ctx, joinWindow)
	defer cancel()
	wait := firstResumeWait
	for {
		err := g.joinAttempt(ctx, existing)
		if err == nil || ctx.Err() != nil || IsCallerDisconnected(err) {
			return err
		}
		if g.sink.Delivered() > 0 {
			return resumeError(ctx, err)
		}
		if existing.State != claim.StateClaimed || !pause.For(window, wait) {
			return duplicateError(existing, err)
		}
		wait = min(2*wait, maxResumeWait)
		if existing, err = g.reloadClaim(ctx, existing); err != nil {
			return err
		}
	}
}

// joinAttempt relays the attempt that the claim names, from its first token.
func (g *generation) joinAttempt(ctx context.Context, existing *claim.Record) error {
	address, known := g.options.Locator.Locate(existing.Target)
	if !known {
		return errors.Newf("target %s is not known here", existing.Target)
	}
	if !g.joined {
		joins.Inc(1)
	}
	g.joined = true
	g.lastAttempt = existing.AttemptID
	if g.record.State() == request.StateWaiting {
		g.transition(request.StateDispatched, address.Name, "joined the attempt of an earlier copy of the request")
	}
	stream, err := g.options.Engines.Resume(ctx, address, existing.AttemptID, 0)
	if err != nil {
		return err
	}
	follower := &follower{
		Dispatcher: g.Dispatcher, record: g.record, sink: g.sink, observer: nopObserver{},
		binding: Binding{Address: address, Attempt: existing.AttemptID},
		relay:   request.NewSequencer(existing.AttemptID, 0),
	}
	return follower.follow(ctx, stream)
}

// reloadClaim reads the claim again and, if it could be read, resets the sink. It returns errClaimReleased if the claim
// was released or its request did not run, and the existing record if the claim cannot be read.
func (g *generation) reloadClaim(ctx context.Context, existing *claim.Record) (*claim.Record, error) {
	current, err := g.options.Claims.Lookup(ctx, g.request.ClaimKey())
	switch {
	case apierror.Is(err, apierror.KindNotFound) || err == nil && current.State == claim.StateNotRun:
		g.joined = false
		g.sink.Reset()
		g.transition(request.StateWaiting, "", errClaimReleased.Error())
		return nil, errClaimReleased
	case err != nil:
		return existing, nil
	default:
		g.sink.Reset()
		return &current, nil
	}
}

// duplicateError returns the error for a duplicate when the original's response is not available.
func duplicateError(existing *claim.Record, cause error) error {
	switch {
	case existing.State == claim.StateClaimed:
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "a copy of the request was sent and its outcome is not known",
			"repeat the request with the same Idempotency-Key later").WithRetryAfter(retryAfterFailure)
	case existing.Ending != nil && existing.Ending.Outcome == claim.OutcomeAnswered:
		return apierror.Wrap(cause, apierror.KindConflict, "the request ran to its end"+statusSuffix(existing.Ending)+" and its answer is not kept",
			"use the answer that the first copy received; a new key would run the request again")
	default:
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "the request may have run and its answer was lost",
			"find out whether it took effect before sending it with a new key")
	}
}

// statusSuffix describes the status of a response that is not kept; it is empty if there was none.
func statusSuffix(end *claim.Ending) string {
	if end.Status == 0 {
		return ""
	}
	return " with status " + strconv.Itoa(end.Status)
}
