package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/peer/peerpb"
)

var (
	vmNames = []string{"vm-a", "vm-b", "vm-c"}
	errLink = errors.New("the link failed")
)

// maxCallDuration is longer than any call between VMs can be in flight.
const maxCallDuration = 10 * time.Second

// linkFault is a fault of one call between VMs.
type linkFault struct {
	loseRequest, loseAnswer bool
	// delay is the time for which the request is in flight.
	delay time.Duration
}

// network connects managers. With a nil network every VM writes directly.
type network struct {
	mu       sync.Mutex
	managers map[string]*claim.Manager
	faultFor func(to string) linkFault
}

func newNetwork() *network {
	return &network{managers: make(map[string]*claim.Manager), faultFor: func(string) linkFault { return linkFault{} }}
}

// join connects a manager to the network. It replaces an earlier manager of the same name.
func (n *network) join(name string, manager *claim.Manager) *claim.Forwarder {
	forwarder := claim.NewForwarder(manager, claim.ForwarderOptions{Self: name, Sender: n, MaxDirectVMs: 1})
	if n != nil {
		n.mu.Lock()
		n.managers[name] = manager
		n.mu.Unlock()
		forwarder.SetFleet(vmNames)
	}
	return forwarder
}

func (n *network) setFleet(forwarder *claim.Forwarder, entryVMs []string) {
	if n != nil {
		forwarder.SetFleet(entryVMs)
	}
}

func (n *network) setFaultFunc(faultFor func(to string) linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultFor = faultFor
}

// setFaults makes a share of the calls fail. The seed determines the sequence of faults.
func (n *network) setFaults(seed uint64, percent int) {
	if n == nil {
		return
	}
	random := rand.New(rand.NewPCG(seed, 1))
	n.setFaultFunc(func(string) linkFault {
		if random.IntN(100) >= percent {
			return linkFault{delay: time.Duration(random.IntN(5)) * time.Millisecond}
		}
		return []linkFault{{loseRequest: true}, {loseAnswer: true}, {delay: time.Duration(random.IntN(1500)) * time.Millisecond}}[random.IntN(3)]
	})
}

func (n *network) route(vm string) (*claim.Manager, linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.managers[vm], n.faultFor(vm)
}

// Claims implements claim.Sender. The receiver executes a sent request even if the sender stops
// waiting.
func (n *network) Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	manager, fault := n.route(vm)
	if fault.loseRequest || manager == nil {
		return nil, errLink
	}
	replies := make(chan *peerpb.ClaimsReply, 1)
	go func() {
		time.Sleep(fault.delay)
		reply, _ := manager.Claims(context.WithoutCancel(ctx), request)
		n.mu.Lock()
		defer n.mu.Unlock()
		if fault.loseAnswer || n.managers[vm] != manager {
			reply = nil
		}
		replies <- reply
	}()
	select {
	case reply := <-replies:
		if reply != nil {
			return reply, nil
		}
	case <-ctx.Done():
	}
	return nil, errLink
}

func TestForwardedClaimsMatchOracleUnderFaults(t *testing.T) { checkModel(t, newNetwork) }

func TestForwardedClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, links := objecttest.NewStore(), newNetwork()
				store.SetFaults(objecttest.RandomFaults(seed, 20))
				links.setFaults(seed, 40)
				history := recordHistory(t, links, store, store.Flush, 8, seed)
				time.Sleep(maxCallDuration)
				require.True(t, porcupine.CheckOperations(claimModel.ToModel(), history))
			})
		})
	}
}

// withBatcher starts three VMs with one shard, and passes run the shard's batcher and another VM.
func withBatcher(t *testing.T, run func(t *testing.T, m *model, batcher, other *vmProcess)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &model{t: t, store: objecttest.NewStore(), network: newNetwork()}
		calledVM := ""
		m.network.setFaultFunc(func(to string) linkFault { calledVM = to; return linkFault{} })
		for _, name := range vmNames {
			m.vms = append(m.vms, m.startVM(name))
			defer m.vms[len(m.vms)-1].cancel()
		}
		for _, vm := range m.vms {
			_, won, err := vm.forwarder.Claim(t.Context(), record("warm-"+vm.name, vm.name))
			require.NoError(t, err)
			require.True(t, won)
		}
		var batcher, other *vmProcess
		for _, vm := range m.vms {
			if vm.name == calledVM {
				batcher = vm
			} else {
				other = vm
			}
		}
		run(t, m, batcher, other)
		time.Sleep(maxCallDuration)
	})
}

// expectClaim claims a key through a VM and checks which attempt holds it.
func expectClaim(t *testing.T, via *vmProcess, key, attempt, holder string) {
	t.Helper()
	existing, won, err := via.forwarder.Claim(t.Context(), record(key, attempt))
	require.NoError(t, err)
	require.Equal(t, attempt == holder, won)
	require.Equal(t, holder, existing.AttemptID)
}

func TestClaimIsWonDespiteForwardingFaults(t *testing.T) {
	for name, fault := range map[string]linkFault{
		"none": {}, "request lost": {loseRequest: true}, "answer lost": {loseAnswer: true}, "late": {delay: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withBatcher(t, func(t *testing.T, m *model, batcher, other *vmProcess) {
				m.network.setFaultFunc(func(string) linkFault { return fault })
				expectClaim(t, other, "k", "a", "a")
				time.Sleep(5 * time.Second)
				expectClaim(t, batcher, "k", "b", "a")
				require.NoError(t, other.forwarder.Rebind(t.Context(), "k", "a", "a2", "t"))
				time.Sleep(5 * time.Second)
				expectClaim(t, batcher, "k", "c", "a2")
				other.forwarder.End("k", "a2", claim.Ending{Outcome: claim.OutcomeAnswered})
				time.Sleep(5 * time.Second)
				found, err := other.forwarder.Lookup(t.Context(), "k")
				require.NoError(t, err)
				require.Equal(t, claim.StateEnded, found.State)
			})
		})
	}
}

func TestClaimIsWrittenDirectlyWhenBatcherCannotReachPlatform(t *testing.T) {
	withBatcher(t, func(t *testing.T, _ *model, batcher, other *vmProcess) {
		batcher.store.BlockWrites()
		expectClaim(t, other, "k", "a", "a")
	})
}

func TestClaimSurvivesBatcherCrashAfterWrite(t *testing.T) {
	withBatcher(t, func(t *testing.T, m *model, batcher, other *vmProcess) {
		m.network.setFaultFunc(func(string) linkFault { return linkFault{delay: 2 * time.Millisecond, loseAnswer: true} })
		won := make(chan bool, 1)
		go func() {
			_, ok, err := other.forwarder.Claim(t.Context(), record("k", "a"))
			won <- ok && err == nil
		}()
		time.Sleep(15 * time.Millisecond)
		batcher.store.BlockWrites()
		batcher.cancel()
		require.True(t, <-won)
		expectClaim(t, other, "k", "b", "a")
	})
}

// TestLateForwardedClaimOfRefusedRequestIsWithdrawn delivers a forwarded claim late: meanwhile the
// forwarding VM could not reach the platform either and has refused the request. The claim must not
// block the key, neither before nor after the late call.
func TestLateForwardedClaimOfRefusedRequestIsWithdrawn(t *testing.T) {
	withBatcher(t, func(t *testing.T, m *model, batcher, other *vmProcess) {
		next := linkFault{delay: 5 * time.Second}
		m.network.setFaultFunc(func(string) linkFault {
			fault := next
			next = linkFault{loseRequest: true}
			return fault
		})
		m.store.SetOutage(true)
		_, won, err := other.forwarder.Claim(t.Context(), record("k", "a"))
		require.False(t, won)
		require.Equal(t, apierror.KindNotRun, apierror.KindOf(err))
		m.store.SetOutage(false)
		time.Sleep(20 * time.Second)
		expectClaim(t, batcher, "k", "b", "b")
	})
}

// TestShutdownPreservesForwardedEndings stops a VM whose batchers do not answer. Run must not return before
// this VM's own manager has written the ending that could not be forwarded.
func TestShutdownPreservesForwardedEndings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, links := objecttest.NewStore(), newNetwork()
		manager := claim.NewManager(claim.Options{Store: store, Shards: 1, Slots: 4, Tick: time.Hour})
		forwarder := links.join("vm-a", manager)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- forwarder.Run(ctx) }()
		links.setFaultFunc(func(string) linkFault { return linkFault{loseRequest: true} })
		forwarder.SetFleet([]string{"gone-1", "gone-2"})
		_, won, err := forwarder.Claim(t.Context(), record("k", "a"))
		require.NoError(t, err)
		require.True(t, won)
		forwarder.End("k", "a", claim.Ending{Outcome: claim.OutcomeAnswered})
		cancel()
		require.NoError(t, <-done)
		successor, stop := start(t.Context(), store, func(o *claim.Options) { o.Shards = 1 })
		defer stop()
		require.Equal(t, claim.StateEnded, mustClaim(t, successor, "k", "b", false).State)
	})
}
