package dispatch

import (
	"context"
	"time"

	"godwitcart/internal/claim"
	"godwitcart/internal/request"
)

// lookupAfter is how long a request that may be a duplicate waits for a target before its claim is looked up: relaying
// an existing response needs no capacity, and the engine keeps it for a limited time only.
const lookupAfter = 250 * time.Millisecond

// placeResult is the result of placing a request.
type placeResult struct {
	placement Placement
	err       error
}

// place reserves a target for the request's next attempt. If that takes longer than lookupAfter, it looks once for an
// earlier duplicate of the request. If there is one, it returns the duplicate's record and no placement. The lookup is
// skipped if the request needs no claim or has already won it.
func (c *requestClaim) place(ctx context.Context, placer Placer, excluded []string, retry bool) (Placement, *claim.Record, error) {
	if !c.request.NeedsClaim() || c.won {
		placement, err := placer.Place(ctx, c.request, excluded, retry)
		return placement, nil, err
	}
	placeCtx, cancel := context.WithCancel(ctx)
	results := make(chan placeResult, 1)
	go func() {
		placement, err := placer.Place(placeCtx, c.request, excluded, retry)
		results <- placeResult{placement: placement, err: err}
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
		go releaseLatePlacement(results)
		return nil, existing, nil
	}
	result := <-results
	cancel()
	return result.placement, nil, result.err
}

// lookup returns the record of a duplicate that may have run, or nil if there is none or it cannot be read.
func (c *requestClaim) lookup(ctx context.Context) *claim.Record {
	existing, err := c.claims.Lookup(ctx, c.request.ClaimKey())
	if err != nil || existing.State == claim.StateNotRun {
		return nil
	}
	return &existing
}

// releaseLatePlacement releases a placement that was made after the request had stopped waiting for it.
func releaseLatePlacement(results <-chan placeResult) {
	if result := <-results; result.err == nil {
		result.placement.Release(Outcome{State: request.AttemptNotSent})
	}
}
