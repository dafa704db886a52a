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

// leavingScenario is the state shared by the fakes of one test: a target that starts to leave and a lagging list.
type leavingScenario struct {
	mu              sync.Mutex
	leavingAt       time.Time
	firstObservedAt time.Time
	// unannounced means that the target itself does not report that it is leaving.
	unannounced bool
}

const testListLag = 10 * time.Second

var errPartitioned = errors.New("no route")

// scenarioNode is one entry VM in the scenario.
type scenarioNode struct {
	*leavingScenario
	directory *Directory
	// cutTarget, cutPeers and cutPlatform disconnect the node from the moment at which the target starts to leave.
	cutTarget, cutPeers, cutPlatform bool
	// stopPolling stops the probes and list reads at that moment.
	stopPolling bool
}

func (s *leavingScenario) leavingFor(duration time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leavingAt.IsZero() && time.Since(s.leavingAt) >= duration
}

// Probe implements Prober. A cut connection hangs until the timeout instead of failing at once.
func (s *scenarioNode) Probe(ctx context.Context, _ VM) (enginewire.LoadReport, error) {
	if s.cutTarget && s.leavingFor(0) {
		<-ctx.Done()
		return enginewire.LoadReport{}, errPartitioned
	}
	leaving := s.leavingFor(0) && !s.unannounced
	if leaving {
		s.recordFirstObservation()
	}
	return enginewire.LoadReport{Incarnation: "x", Leaving: leaving}, nil
}

func (s *leavingScenario) recordFirstObservation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstObservedAt.IsZero() {
		s.firstObservedAt = time.Now()
	}
}

// List implements Lister.
func (s *scenarioNode) List(context.Context) (platformwire.VMList, error) {
	if s.cutPlatform && s.leavingFor(0) {
		return platformwire.VMList{}, errPartitioned
	}
	marked := s.leavingFor(testListLag)
	if marked {
		s.recordFirstObservation()
	}
	return listOf(marked), nil
}

// exchange sends requests to the peer periodically, as gossip does.
func (s *scenarioNode) exchange(ctx context.Context, peer *scenarioNode) {
	for ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		if (s.cutPeers || peer.cutPeers) && s.leavingFor(0) {
			continue
		}
		requestedAt := time.Now()
		request := s.directory.DigestRequest("a", requestedAt)
		s.directory.MergeReply(request, peer.directory.DigestReply(request, requestedAt), requestedAt)
	}
}

// TestLeavingTargetIsIneligibleWithinConfirmationTTL checks that a leaving target gets no new work later than
// ConfirmationTTL after the first observation of its leaving. The list lags by ten seconds; in addition the platform
// is unavailable, or one entry VM is disconnected from its peers, the target or both, or its poller hangs, from the
// moment at which the target starts to leave.
func TestLeavingTargetIsIneligibleWithinConfirmationTTL(t *testing.T) {
	failures := map[string]scenarioNode{
		"no failure":                   {},
		"platform unavailable":         {cutPlatform: true},
		"disconnected from peers":      {cutPeers: true, cutPlatform: true},
		"disconnected from target":     {cutTarget: true, cutPlatform: true},
		"disconnected from all":        {cutTarget: true, cutPeers: true, cutPlatform: true},
		"only the list left reachable": {cutTarget: true, cutPeers: true},
		"poller hangs":                 {cutPeers: true, cutPlatform: true, stopPolling: true},
	}
	for name, node := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLeaving(t, node, node.cutPlatform, false) })
		})
	}
}

// TestListedLeavingReachesNodeWithoutPlatform checks that a leaving target gets no new work later than
// ConfirmationTTL after the first observation of its leaving, also if it is reclaimed without reporting it and only one
// of two entry VMs can read the list.
func TestListedLeavingReachesNodeWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkLeaving(t, scenarioNode{cutPlatform: true}, false, true) })
}

// checkLeaving runs a connected entry VM and a partitioned one until the target leaves and for 20 s after that. With
// platformDown, the connected one cannot read the list from then on.
func checkLeaving(t *testing.T, partitioned scenarioNode, platformDown, unannounced bool) {
	ctx, cancel := context.WithCancel(t.Context())
	scenario := &leavingScenario{unannounced: unannounced}
	connected := &scenarioNode{leavingScenario: scenario, cutPlatform: platformDown, directory: New(Options{Self: "a-1", Zone: "a"})}
	partitioned.leavingScenario, partitioned.directory = scenario, New(Options{Self: "a-2", Zone: "a"})
	var running sync.WaitGroup
	stoppableCtx, stopPolling := context.WithCancel(ctx)
	for _, s := range []*scenarioNode{connected, &partitioned} {
		poller := NewPoller(PollerOptions{Directory: s.directory, Prober: s, Lister: s})
		pollCtx := ctx
		if s.stopPolling {
			pollCtx = stoppableCtx
		}
		running.Go(func() { poller.Run(pollCtx) })
	}
	running.Go(func() { connected.exchange(ctx, &partitioned) })
	running.Go(func() { partitioned.exchange(ctx, connected) })
	time.Sleep(6 * time.Second)
	for _, s := range []*scenarioNode{connected, &partitioned} {
		require.True(t, s.directory.IsEligible("lm-1", time.Now()))
	}
	scenario.mu.Lock()
	scenario.leavingAt = time.Now()
	scenario.mu.Unlock()
	if partitioned.stopPolling {
		stopPolling()
	}
	for time.Since(scenario.leavingAt) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
		for _, s := range []*scenarioNode{connected, &partitioned} {
			eligible := s.directory.IsEligible("lm-1", time.Now())
			require.False(t, eligible && isPastDeadline(scenario), "%s still dispatches %s after the target started to leave",
				s.directory.options.Self, time.Since(scenario.leavingAt))
		}
	}
	require.False(t, scenario.firstObservedAt.IsZero())
	stopPolling()
	cancel()
	running.Wait()
}

func isPastDeadline(scenario *leavingScenario) bool {
	scenario.mu.Lock()
	defer scenario.mu.Unlock()
	return !scenario.firstObservedAt.IsZero() && time.Since(scenario.firstObservedAt) > ConfirmationTTL
}

// TestStaleTargetsAreProbedByNonWatchers runs only the entry VM of three that does not watch the target. The list
// still contains the two watchers, which are down, so the target must be confirmed by the third.
func TestStaleTargetsAreProbedByNonWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listOf(false)
		entries := []VM{{Name: "a-1", Zone: "a"}, {Name: "a-2", Zone: "a"}, {Name: "a-3", Zone: "a"}}
		watching := newWatcherCandidates("", entries).watchers(VM{Name: "lm-1", Zone: "a"})
		list.VMs = append(list.VMs, platformwire.VM{Name: "a-3", Role: "entry", Zone: "a"})
		for _, entry := range entries {
			if entry.Name == watching[0] || entry.Name == watching[1] {
				continue
			}
			scenario := &leavingScenario{leavingAt: time.Now(), unannounced: true}
			node := &scenarioNode{leavingScenario: scenario, cutPlatform: true, directory: New(Options{Self: entry.Name, Zone: "a"})}
			require.NoError(t, node.directory.ApplyList(list, time.Now()))
			poller := NewPoller(PollerOptions{Directory: node.directory, Prober: node, Lister: node, ListInterval: time.Hour})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { poller.Run(ctx) })
			time.Sleep(ConfirmationTTL)
			require.True(t, node.directory.IsEligible("lm-1", time.Now()))
			cancel()
			running.Wait()
		}
	})
}
