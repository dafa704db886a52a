package membership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// world is what the fakes of one test share: a target that begins to leave, a lagging list, and cuts.
type world struct {
	mu        sync.Mutex
	leavingAt time.Time
	firstSign time.Time
	// silent means that the target itself does not tell that it is leaving.
	silent bool
}

const testListLag = 10 * time.Second

var errCut = errors.New("no route")

// site is one entry VM's view of the world.
type site struct {
	*world
	directory *Directory
	// cutTarget, cutPeers and cutPlatform apply from the moment at which the target begins to leave.
	cutTarget, cutPeers, cutPlatform bool
	// stopPolling ends the probes and readings of the list at that moment.
	stopPolling bool
}

func (w *world) hasLeft(lag time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leavingAt.IsZero() && time.Since(w.leavingAt) >= lag
}

// Probe implements Prober. A cut link stalls without breaking.
func (s *site) Probe(ctx context.Context, _ VM) (enginewire.LoadReport, error) {
	if s.cutTarget && s.hasLeft(0) {
		<-ctx.Done()
		return enginewire.LoadReport{}, errCut
	}
	leaving := s.hasLeft(0) && !s.silent
	if leaving {
		s.signSeen()
	}
	return enginewire.LoadReport{Incarnation: "x", Leaving: leaving}, nil
}

func (w *world) signSeen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstSign.IsZero() {
		w.firstSign = time.Now()
	}
}

// List implements Lister.
func (s *site) List(context.Context) (platformwire.VMList, error) {
	if s.cutPlatform && s.hasLeft(0) {
		return platformwire.VMList{}, errCut
	}
	marked := s.hasLeft(testListLag)
	if marked {
		s.signSeen()
	}
	return listOf(marked), nil
}

// exchange asks peers again and again, as the gossip does.
func (s *site) exchange(ctx context.Context, peer *site) {
	for ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		if (s.cutPeers || peer.cutPeers) && s.hasLeft(0) {
			continue
		}
		asked := time.Now()
		ask := s.directory.Ask("a", asked)
		s.directory.MergeAnswer(ask, peer.directory.Answer(ask, asked), asked)
	}
}

// TestLeavingTargetGetsNoWorkThreeSecondsAfterTheFirstSign holds the promise against a list that lags
// ten seconds, a platform that is away, and an entry VM that is cut off from its peers, from the
// target, or from everything, or whose poller hangs, at the moment at which the target begins to leave.
func TestLeavingTargetGetsNoWorkThreeSecondsAfterTheFirstSign(t *testing.T) {
	cuts := map[string]site{
		"nothing cut":        {},
		"platform away":      {cutPlatform: true},
		"cut from peers":     {cutPeers: true, cutPlatform: true},
		"cut from target":    {cutTarget: true, cutPlatform: true},
		"cut from all":       {cutTarget: true, cutPeers: true, cutPlatform: true},
		"only the list left": {cutTarget: true, cutPeers: true},
		"poller hangs":       {cutPeers: true, cutPlatform: true, stopPolling: true},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLeaving(t, cut, cut.cutPlatform, false) })
		})
	}
}

// TestListedLeavingReachesVMsWithoutPlatform holds the promise for a target that is reclaimed without
// its knowing, when only one entry VM can read the list.
func TestListedLeavingReachesVMsWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkLeaving(t, site{cutPlatform: true}, false, true) })
}

func checkLeaving(t *testing.T, cut site, platformAway, silent bool) {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{silent: silent}
	healthy := &site{world: w, cutPlatform: platformAway, directory: New(Options{Self: "a-1", Zone: "a"})}
	cut.world, cut.directory = w, New(Options{Self: "a-2", Zone: "a"})
	var running sync.WaitGroup
	polling, stopPolling := context.WithCancel(ctx)
	for _, s := range []*site{healthy, &cut} {
		poller := NewPoller(PollerOptions{Directory: s.directory, Prober: s, Lister: s})
		mayStop := ctx
		if s.stopPolling {
			mayStop = polling
		}
		running.Go(func() { poller.Run(mayStop) })
	}
	running.Go(func() { healthy.exchange(ctx, &cut) })
	running.Go(func() { cut.exchange(ctx, healthy) })
	time.Sleep(6 * time.Second)
	for _, s := range []*site{healthy, &cut} {
		require.True(t, s.directory.MayDispatch("lm-1", time.Now()))
	}
	w.mu.Lock()
	w.leavingAt = time.Now()
	w.mu.Unlock()
	if cut.stopPolling {
		stopPolling()
	}
	for time.Since(w.leavingAt) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
		for _, s := range []*site{healthy, &cut} {
			dispatches := s.directory.MayDispatch("lm-1", time.Now())
			require.False(t, dispatches && pastBound(w), "%s still dispatches %s after the target began to leave",
				s.directory.options.Self, time.Since(w.leavingAt))
		}
	}
	require.False(t, w.firstSign.IsZero())
	stopPolling()
	cancel()
	running.Wait()
}

func pastBound(w *world) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.firstSign.IsZero() && time.Since(w.firstSign) > FreshFor
}

// TestTargetsOfDeadWatchersAreProbedByOthers runs one entry VM of three; the list still names the others.
func TestTargetsOfDeadWatchersAreProbedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listOf(false)
		entries := []VM{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}, {Name: "a-3", Zone: "a"}}
		watching := newRoster("", entries).watchers(VM{Name: "lm-1", Zone: "a"})
		list.VMs = append(list.VMs, platformwire.VM{Name: "a-3", Role: "entry", Zone: "a"})
		for _, entry := range entries {
			if entry.Name == watching[0] || entry.Name == watching[1] {
				continue
			}
			left := &world{leavingAt: time.Now(), silent: true}
			s := &site{world: left, cutPlatform: true, directory: New(Options{Self: entry.Name, Zone: "a"})}
			require.NoError(t, s.directory.ApplyList(list, time.Now()))
			poller := NewPoller(PollerOptions{Directory: s.directory, Prober: s, Lister: s, ListInterval: time.Hour})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { poller.Run(ctx) })
			time.Sleep(FreshFor)
			require.True(t, s.directory.MayDispatch("lm-1", time.Now()))
			cancel()
			running.Wait()
		}
	})
}
