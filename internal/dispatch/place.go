package dispatch

import (
	"context"
	"time"

	"godwitcart/internal/claim"
	"godwitcart/internal/request"
)

// lookupAfter is how long a request that may be a copy waits for a target before its claim is looked
// up: reading an answer that exists needs no room, and the engine does not keep it for ever.
const lookupAfter = 250 * time.Millisecond

// placed is the result of placing a request.
type placed struct {
	placement Placement
	err       error
}

// place finds a target for the request's next attempt. Where that takes long, it also looks for a copy of
// the request that came first, and returns its record in place of a target.
func (c *claimant) place(ctx context.Context, placer Placer, excluded []string, retry bool) (Placement, *claim.Record, error) {
	if !c.request.NeedsClaim() || c.owned {
		placement, err := placer.Place(ctx, c.request, excluded, retry)
		return placement, nil, err
	}
	placing, cancel := context.WithCancel(ctx)
	results := make(chan placed, 1)
	go func() {
		placement, err := placer.Place(placing, c.request, excluded, retry)
		results <- placed{placement: placement, err: err}
	}()
	timer := time.NewTimer(lookupAfter)
	defer timer.Stop()
	select {
	case result := <-results:
		cancel()
		return result.placement, nil, result.err
	case <-timer.C:
	}
	if existing := c.lookup(ctx); existing != nil {
		cancel()
		go giveBack(results)
		return nil, existing, nil
	}
	result := <-results
	cancel()
	return result.placement, nil, result.err
}

// lookup returns the record of a copy that may have run, or nil when there is none or it cannot be read.
func (c *claimant) lookup(ctx context.Context) *claim.Record {
	existing, err := c.claims.Lookup(ctx, c.request.ClaimKey())
	if err != nil || existing.State == claim.StateNotRun {
		return nil
	}
	return &existing
}

// giveBack releases a placement that came too late to be wanted.
func giveBack(results <-chan placed) {
	if result := <-results; result.err == nil {
		result.placement.Release(Outcome{State: request.AttemptNotSent})
	}
}
