package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/admission"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/membership"
	"godwitcart/internal/request"
	"godwitcart/internal/routing"
	"godwitcart/internal/target"
)

// placer obtains targets for the dispatcher from the admission controller.
type placer struct {
	controller *admission.Controller
	directory  *membership.Directory
	// observe receives the result of each attempt.
	observe func(name string, sentAt time.Time, err error)
}

// Place implements dispatch.Placer. It checks the granted target against the directory right before the
// attempt is sent, because the routing table behind the grant lags slightly behind the directory. A grant for a
// target that is no longer eligible is released, and another one is requested as a retry that excludes this target.
func (p *placer) Place(ctx context.Context, r *request.Request, excluded []string, retry bool) (dispatch.Placement, error) {
	excluded = slices.Clone(excluded)
	for {
		grant, err := p.controller.Acquire(ctx, newTicket(r, excluded, retry))
		if err != nil {
			return nil, err
		}
		if now := time.Now(); p.directory.IsEligible(grant.Target, now) {
			return &placement{placer: p, grant: grant, sentAt: now}, nil
		}
		grant.Release(routing.OutcomeCanceled)
		excluded = append(excluded, grant.Target)
		retry = true
	}
}

func newTicket(r *request.Request, excluded []string, retry bool) admission.Ticket {
	return admission.Ticket{
		RequestID: r.ID, Account: r.Account, Class: r.Class, Priority: r.Priority, Share: r.Share,
		Limits:  admission.Limits{RequestsPerSecond: r.RequestsPerSecond, Concurrency: r.Concurrency},
		Service: r.Service, Variant: r.Variant, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		PrefixHashes: r.PrefixHashes, Deadline: r.Deadline, Excluded: excluded, Retry: retry,
	}
}

// placement adapts a grant to the dispatcher.
type placement struct {
	placer *placer
	grant  *admission.Grant
	// sentAt is a time shortly before the attempt was sent.
	sentAt time.Time
}

// Address implements dispatch.Placement.
func (p *placement) Address() target.Address {
	return target.Address{Name: p.grant.Target, HostPort: p.grant.Choice.Address}
}

// Reason implements dispatch.Placement.
func (p *placement) Reason() string {
	return fmt.Sprintf("chosen in zone %s after %s, %.0f cached blocks",
		p.grant.Zone, p.grant.Waited, p.grant.CachedBlocks)
}

// Progress implements dispatch.Placement.
func (p *placement) Progress(tokens int) { p.grant.Progress(tokens) }

// Preempted implements dispatch.Placement.
func (p *placement) Preempted() { p.grant.Preempted() }

// Release implements dispatch.Placement.
func (p *placement) Release(outcome dispatch.Outcome) {
	p.placer.observe(p.grant.Target, p.sentAt, outcome.Err)
	p.grant.Release(routingOutcome(outcome))
}

// routingOutcome maps the end of an attempt to the outcome that routing records for the target. Cancellation
// and disconnection by the caller do not count as failures of the target.
func routingOutcome(outcome dispatch.Outcome) routing.Outcome {
	switch {
	case outcome.Err == nil && outcome.State == request.AttemptEnded:
		return routing.OutcomeCompleted
	case outcome.State == request.AttemptRefused:
		return routing.OutcomeRefused
	case outcome.Err == nil || errors.Is(outcome.Err, context.Canceled) || dispatch.IsCallerDisconnected(outcome.Err):
		return routing.OutcomeCanceled
	default:
		return routing.OutcomeFailed
	}
}
