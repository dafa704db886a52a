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

// Claims is what the dispatcher needs of the claims on non-idempotent requests; *claim.Book
// implements it.
type Claims interface {
	Claim(ctx context.Context, record claim.Record) (existing claim.Record, won bool, err error)
	Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error
	End(key, attempt string, ending claim.Ending)
	Release(key, attempt string)
	// Lookup reads a claim; without one the error's kind is not_found.
	Lookup(ctx context.Context, key string) (claim.Record, error)
}

// Locator finds the address of a target that a claim names.
type Locator interface {
	Locate(targetName string) (target.Address, bool)
}

// claimant holds the claim of one request.
//
// Invariant: an attempt of a request that needs a claim is sent only after take returned nil, nil
// for it.
type claimant struct {
	claims  Claims
	request *request.Request
	vm      string
	// held is the attempt that the claim names; empty while nothing is claimed.
	held string
	// owned is set once the claim was won, after which no other copy can have run.
	owned bool
}

func (d *Dispatcher) newClaimant(r *request.Request) claimant {
	return claimant{claims: d.options.Claims, request: r, vm: d.options.VM}
}

// take claims the request for the attempt, or moves the claim to it from an attempt that did not
// run. It returns the record of a copy that came first, if there is one.
func (c *claimant) take(ctx context.Context, binding Binding) (*claim.Record, error) {
	if !c.request.NeedsClaim() {
		return nil, nil
	}
	if c.held != "" {
		return nil, c.rebind(ctx, binding)
	}
	existing, won, err := c.claims.Claim(ctx, c.record(binding))
	if err != nil {
		return nil, err
	}
	if !won {
		return &existing, nil
	}
	c.held = binding.Attempt
	c.owned = true
	return nil, nil
}

// refuse checks a refusal before the claim was won: "not run" is said of a request, not of one of its
// copies. It returns the record of a copy that may have run, or the error to answer with.
func (c *claimant) refuse(ctx context.Context, refusal error) (*claim.Record, error) {
	if !c.request.NeedsClaim() || c.owned || ctx.Err() != nil {
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

func (c *claimant) record(binding Binding) claim.Record {
	return claim.Record{
		Key: c.request.ClaimKey(), Digest: c.request.Digest, Account: c.request.Account, RequestID: c.request.ID,
		AttemptID: binding.Attempt, Target: binding.Address.Name, VM: c.vm, ClaimedAt: time.Now(),
		State: claim.StateClaimed,
	}
}

// rebind gives both attempts up when the claim cannot be moved: neither was sent.
func (c *claimant) rebind(ctx context.Context, binding Binding) error {
	err := c.claims.Rebind(ctx, c.request.ClaimKey(), c.held, binding.Attempt, binding.Address.Name)
	if err != nil {
		c.claims.Release(c.request.ClaimKey(), c.held)
		c.claims.Release(c.request.ClaimKey(), binding.Attempt)
		c.held = ""
		return err
	}
	c.held = binding.Attempt
	return nil
}

// settle records how the claimed request ended. mayHaveRun tells whether any attempt may have run.
func (c *claimant) settle(err error, mayHaveRun bool, ending claim.Ending) {
	if c.held == "" {
		return
	}
	if err != nil && !mayHaveRun {
		c.claims.Release(c.request.ClaimKey(), c.held)
		return
	}
	ending.Outcome = claim.OutcomeAnswered
	if err != nil {
		ending.Outcome = claim.OutcomeUnknown
		ending.Error = apierror.KindOf(err)
	}
	c.claims.End(c.request.ClaimKey(), c.held, ending)
}

// checkCopy refuses a key that was used for other content.
func checkCopy(r *request.Request, existing *claim.Record) error {
	if existing.Digest == r.Digest {
		return nil
	}
	return apierror.New(apierror.KindConflict, "the Idempotency-Key was used for a request with other content",
		"use a new key for a new request")
}

// joinWindow bounds the time for which a copy waits for the attempt of the first: its claim is written
// before it is sent, and it moves when a target refuses it.
const joinWindow = 5 * time.Second

// errClaimFree says that the first copy of a request gave its claim up without having run.
var errClaimFree = errors.New("the earlier copy of the request did not run")

// join answers a copy of a claimed request from the generation of the first: the engine keeps it
// for a while, from its first token on. It returns errClaimFree when the request may be claimed again.
func (g *generation) join(ctx context.Context, existing *claim.Record) error {
	if err := checkCopy(g.request, existing); err != nil {
		return err
	}
	window, cancel := context.WithTimeout(ctx, joinWindow)
	defer cancel()
	wait := firstResumeWait
	for {
		err := g.joinAttempt(ctx, existing)
		if err == nil || ctx.Err() != nil || IsCallerGone(err) {
			return err
		}
		if g.sink.Delivered() > 0 {
			return resumeError(ctx, err)
		}
		if existing.State != claim.StateClaimed || !pause.For(window, wait) {
			return copyError(existing, err)
		}
		wait = min(2*wait, maxResumeWait)
		if existing, err = g.reread(ctx, existing); err != nil {
			return err
		}
	}
}

// joinAttempt follows the attempt that a claim names, from its first token.
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
		g.move(request.StateDispatched, address.Name, "joined the attempt of an earlier copy of the request")
	}
	stream, err := g.options.Engines.Resume(ctx, address, existing.AttemptID, 0)
	if err != nil {
		return err
	}
	follower := &follower{
		Dispatcher: g.Dispatcher, record: g.record, sink: g.sink, observer: noObserver{},
		binding: Binding{Address: address, Attempt: existing.AttemptID},
		relay:   request.NewRelay(existing.AttemptID, 0),
	}
	return follower.follow(ctx, stream)
}

// reread reads how the claim stands now; the record it had stays when the platform does not answer.
func (g *generation) reread(ctx context.Context, existing *claim.Record) (*claim.Record, error) {
	current, err := g.options.Claims.Lookup(ctx, g.request.ClaimKey())
	switch {
	case apierror.Is(err, apierror.KindNotFound) || err == nil && current.State == claim.StateNotRun:
		g.joined = false
		g.sink.Reset()
		g.move(request.StateWaiting, "", errClaimFree.Error())
		return nil, errClaimFree
	case err != nil:
		return existing, nil
	default:
		g.sink.Reset()
		return &current, nil
	}
}

// copyError tells a copy how the first request stands when its answer cannot be had.
func copyError(existing *claim.Record, cause error) error {
	switch {
	case existing.State == claim.StateClaimed:
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "a copy of the request was sent and its outcome is not known",
			"repeat the request with the same Idempotency-Key later").WithRetryAfter(retryAfterFailure)
	case existing.Ending != nil && existing.Ending.Outcome == claim.OutcomeAnswered:
		return apierror.Wrap(cause, apierror.KindConflict, "the request ran to its end"+endingText(existing.Ending)+" and its answer is not kept",
			"use the answer that the first copy received; a new key would run the request again")
	default:
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "the request may have run and its answer was lost",
			"find out whether it took effect before sending it with a new key")
	}
}

// endingText says what is known of an answer that is not kept.
func endingText(ending *claim.Ending) string {
	if ending.Status == 0 {
		return ""
	}
	return " with status " + strconv.Itoa(ending.Status)
}
