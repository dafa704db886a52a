package command

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// cancelTimeout limits the wait for the peers.
const cancelTimeout = 2 * time.Second

// Peers sends cancellations to the other entry VMs.
type Peers interface {
	// VMs returns the names of the other entry VMs that are expected to be live.
	VMs() []string
	Cancel(ctx context.Context, vm string, request *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Canceler cancels a request on whichever VM serves it.
type Canceler struct {
	// CancelLocal cancels a request that this VM serves and reports whether there was one.
	CancelLocal func(request, reason string) bool
	Peers       Peers
}

// Cancel cancels the request on this VM or on a peer and reports whether one of them served it. If no VM that
// responded serves it and some peers did not respond, the error is of kind KindOutcomeUnknown.
func (c *Canceler) Cancel(ctx context.Context, request, reason string) (bool, error) {
	if c.CancelLocal(request, reason) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var found, unanswered atomic.Bool
	var group sync.WaitGroup
	for _, vm := range c.Peers.VMs() {
		group.Go(func() {
			reply, err := c.Peers.Cancel(ctx, vm, &peerpb.CancelRequest{RequestId: request, Reason: reason})
			switch {
			case err != nil:
				unanswered.Store(true)
			case reply.Found:
				found.Store(true)
			}
		})
	}
	group.Wait()
	if !found.Load() && unanswered.Load() {
		return false, apierror.Newf(apierror.KindOutcomeUnknown, "repeat the command when \"show requests\" names no unreachable VM",
			"no VM that answered serves the request %q, but some did not answer", request)
	}
	return found.Load(), nil
}
