package command

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// cancelTimeout bounds the wait for the peers.
const cancelTimeout = 2 * time.Second

// Peers reaches the other entry VMs.
type Peers interface {
	// VMs names the other entry VMs that should be live.
	VMs() []string
	Cancel(ctx context.Context, vm string, request *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Canceler cancels a request on whichever VM serves it.
type Canceler struct {
	// Local cancels a request of this VM and reports whether there was one.
	Local func(request, reason string) bool
	Peers Peers
}

// Cancel cancels the request here or at a peer. When none that answered serves it and some did
// not answer, the error is of kind KindOutcomeUnknown.
func (c *Canceler) Cancel(ctx context.Context, request, reason string) (bool, error) {
	if c.Local(request, reason) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var found, silent atomic.Bool
	var group sync.WaitGroup
	for _, vm := range c.Peers.VMs() {
		group.Go(func() {
			reply, err := c.Peers.Cancel(ctx, vm, &peerpb.CancelRequest{RequestId: request, Reason: reason})
			switch {
			case err != nil:
				silent.Store(true)
			case reply.Found:
				found.Store(true)
			}
		})
	}
	group.Wait()
	if !found.Load() && silent.Load() {
		return false, apierror.Newf(apierror.KindOutcomeUnknown, "repeat the command when \"show requests\" names no unreachable VM",
			"no VM that answered serves the request %q, but some did not answer", request)
	}
	return found.Load(), nil
}
