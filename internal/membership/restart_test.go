package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// restartingTarget is a target that leaves and is restarted in place, while the list contains it all the time.
type restartingTarget struct {
	mu     sync.Mutex
	report enginewire.LoadReport
}

func (r *restartingTarget) set(incarnation string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = enginewire.LoadReport{Incarnation: incarnation, Leaving: leaving}
}

// Probe implements Prober.
func (r *restartingTarget) Probe(context.Context, VM) (enginewire.LoadReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report, nil
}

// List implements Lister.
func (r *restartingTarget) List(context.Context) (platformwire.VMList, error) {
	return listOf(false), nil
}

// TestRestartedTargetBecomesEligible checks that a target restarted in place is detected, with and without an
// incarnation of its own, by entry VMs that watch it and by those that do not. The latter must find it by their own
// probes, because the test has no gossip.
func TestRestartedTargetBecomesEligible(t *testing.T) {
	for name, incarnations := range map[string][2]string{"engine": {"x", "y"}, "plain service": {"", ""}} {
		for _, self := range []string{"a-1", "not-a-watcher"} {
			t.Run(name+" "+self, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkRestart(t, self, incarnations) })
			})
		}
	}
}

// checkRestart checks that the target is eligible under its first incarnation, not while leaving, and again under its
// second one; an empty incarnation means that the target reports none.
func checkRestart(t *testing.T, self string, incarnations [2]string) {
	target := &restartingTarget{}
	directory := New(Options{Self: self, Zone: "a"})
	poller := NewPoller(PollerOptions{Directory: directory, Prober: target, Lister: target})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { poller.Run(ctx) })
	for _, phase := range []struct {
		incarnation string
		leaving     bool
	}{{incarnations[0], false}, {incarnations[0], true}, {incarnations[1], false}} {
		target.set(phase.incarnation, phase.leaving)
		time.Sleep(3 * ConfirmationTTL)
		require.Equal(t, !phase.leaving, directory.IsEligible("lm-1", time.Now()))
	}
	cancel()
	running.Wait()
}
