package daemon

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/admission"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/request"
	"godwitcart/internal/routing"
	"godwitcart/internal/target"
)

// placer finds targets for the dispatcher by the admission controller.
type placer struct{ controller *admission.Controller }

// Place implements dispatch.Placer.
func (p *placer) Place(ctx context.Context, r *request.Request, excluded []string, retry bool) (dispatch.Placement, error) {
	grant, err := p.controller.Acquire(ctx, admission.Ticket{
		RequestID: r.ID, Account: r.Account, Class: r.Class, Priority: r.Priority, Share: r.Share,
		Limits:  admission.Limits{RequestsPerSecond: r.RequestsPerSecond, Concurrency: r.Concurrency},
		Service: r.Service, Variant: r.Variant, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		PrefixHashes: r.PrefixHashes, Deadline: r.Deadline, Excluded: excluded, Retry: retry,
	})
	if err != nil {
		return nil, err
	}
	return &placement{grant: grant}, nil
}

// placement adapts a grant to the dispatcher.
type placement struct{ grant *admission.Grant }

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
	p.grant.Release(routingOutcome(outcome))
}

// routingOutcome says what an attempt's end tells about its target. What the caller did is not
// held against the target.
func routingOutcome(outcome dispatch.Outcome) routing.Outcome {
	switch {
	case outcome.Err == nil && outcome.State == request.AttemptEnded:
		return routing.OutcomeCompleted
	case outcome.State == request.AttemptRefused:
		return routing.OutcomeRefused
	case outcome.Err == nil || errors.Is(outcome.Err, context.Canceled) || dispatch.IsCallerGone(outcome.Err):
		return routing.OutcomeCanceled
	default:
		return routing.OutcomeFailed
	}
}
