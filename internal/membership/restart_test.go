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

// restarting is a target that leaves and is started again in place, while the list names it all the time.
type restarting struct {
	mu     sync.Mutex
	report enginewire.LoadReport
}

func (r *restarting) set(incarnation string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = enginewire.LoadReport{Incarnation: incarnation, Leaving: leaving}
}

// Probe implements Prober.
func (r *restarting) Probe(context.Context, VM) (enginewire.LoadReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report, nil
}

// List implements Lister.
func (r *restarting) List(context.Context) (platformwire.VMList, error) { return listOf(false), nil }

// TestTargetThatLeftAndStartedAgainIsFound covers targets with and without an incarnation of their own,
// and entry VMs that watch the target and that do not: nobody tells the latter anything here.
func TestTargetThatLeftAndStartedAgainIsFound(t *testing.T) {
	for name, incarnations := range map[string][2]string{"engine": {"x", "y"}, "plain service": {"", ""}} {
		for _, self := range []string{"a-1", "not-a-watcher"} {
			t.Run(name+" "+self, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkRestart(t, self, incarnations) })
			})
		}
	}
}

func checkRestart(t *testing.T, self string, incarnations [2]string) {
	target := &restarting{}
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
		time.Sleep(3 * FreshFor)
		require.Equal(t, !phase.leaving, directory.MayDispatch("lm-1", time.Now()))
	}
	cancel()
	running.Wait()
}
