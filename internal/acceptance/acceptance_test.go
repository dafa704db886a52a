package acceptance_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// inForceWithin is the required maximum time from acceptance until the version is in force on every connected VM.
const inForceWithin = 4 * time.Second

// onCluster runs a test in simulated time on a cluster whose VMs are all ready.
func onCluster(t *testing.T, size int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size)
		for i := range c.vms {
			<-c.manager(i).Ready()
		}
		test(t, c)
	})
}

func (c *cluster) requireVersion(t require.TestingT, version uint64) {
	for i, member := range c.vms {
		require.Equal(t, version, c.manager(i).Version(), member.name)
	}
}

func TestAcceptedChangeIsInForceOnEveryVM(t *testing.T) {
	onCluster(t, 9, func(t *testing.T, c *cluster) {
		outcome, err := c.manager(3).Propose(t.Context(), changeShare("ann", 5))
		require.NoError(t, err)
		require.Equal(t, uint64(2), outcome.Version)
		require.Equal(t, "~ account a share=1 -> 5", outcome.Changes[0].String())
		c.requireVersion(t, 2)
	})
}

func TestInvalidAndEmptyChangesAreNotAccepted(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", -1))
		require.True(t, apierror.Is(err, apierror.KindBadRequest))
		outcome, err := c.manager(0).Propose(t.Context(), changeShare("ann", 1))
		require.NoError(t, err)
		require.Empty(t, outcome.Changes)
		dryRun := changeShare("ann", 2)
		dryRun.DryRun = true
		outcome, err = c.manager(0).Propose(t.Context(), dryRun)
		require.NoError(t, err)
		require.Len(t, outcome.Changes, 1)
		c.requireVersion(t, 1)
	})
}

func TestExactlyOneOfTwoConcurrentProposalsIsAccepted(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.setPeerFaults(peerFaults{slowStage: 100 * time.Millisecond})
		results := make(chan error, 2)
		for i, operator := range []string{"ann", "bob"} {
			go func() {
				_, err := c.manager(i).Propose(t.Context(), changeShare(operator, 10+i))
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		require.NoError(t, first)
		require.True(t, apierror.Is(second, apierror.KindConflict))
		winner := "ann"
		if c.manager(0).Current().Accounts["a"].Share == 11 {
			winner = "bob"
		}
		require.Contains(t, second.Error(), winner+" accepted version 2 first (change account a share=1")
		c.requireVersion(t, 2)
	})
}

func TestUnknownWriteOutcomeIsSettledByReadingBack(t *testing.T) {
	cases := map[string]objecttest.Fault{
		"answer lost":  {LoseResponse: true},
		"request lost": {LoseRequest: true},
		"write late":   {DeferWrite: true},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			onCluster(t, 3, func(t *testing.T, c *cluster) {
				failed := false
				c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
					if failed || call.Op != objecttest.OpPut || call.Key != "config/root" {
						return objecttest.Fault{}
					}
					failed = true
					return fault
				})
				_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
				require.NoError(t, err)
				c.store.Flush()
				synctest.Wait()
				c.requireVersion(t, 2)
			})
		})
	}
}

func TestPlatformOutageRejectsChangesAndServingContinues(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetOutage(true)
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
		require.Contains(t, err.Error(), "only it can accept a change")
		time.Sleep(time.Hour)
		_, err = c.manager(1).Decide(policy.Query{Key: testKey, Service: "cardstat"})
		require.NoError(t, err)
	})
}

func TestRejectionNamesTheUnreachableVM(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.moveToSide(2, 1)
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
		require.Contains(t, err.Error(), "vm-2 cannot be reached")
		c.heal()
		c.requireVersion(t, 1)
	})
}

// isolateAfterStaging isolates vm-2 after it has staged a change of class batch, which is then accepted.
func isolateAfterStaging(t *testing.T, c *cluster) {
	c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
		if call.Op == objecttest.OpPut && call.Key == rootKey {
			c.moveToSide(2, 1)
		}
		return objecttest.Fault{}
	})
	_, err := c.manager(0).Propose(t.Context(), changeBatchClass("ann", time.Minute))
	require.NoError(t, err)
	c.store.SetFaults(nil)
	require.Equal(t, uint64(1), c.manager(2).Version())
}

func TestVMInDoubtServesRequestsOnWhichBothVersionsAgree(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		isolateAfterStaging(t, c)
		time.Sleep(inForceWithin)
		isolated := c.manager(2)
		require.True(t, isolated.InDoubt())
		_, err := isolated.Decide(policy.Query{Key: testKey, Service: "cardstat", Class: "kiosk"})
		require.NoError(t, err)
		_, err = isolated.Decide(policy.Query{Key: testKey, Service: "cardstat", Class: "batch"})
		require.True(t, apierror.Is(err, apierror.KindNotRun))
		c.heal()
		time.Sleep(inForceWithin)
		c.requireVersion(t, 2)
		require.False(t, isolated.InDoubt())
	})
}

// TestRestartedVMInPartitionWaitsForPeerWithOutcome restarts an isolated VM that had staged a change. With a peer that
// knows the outcome on its side it must obtain version 2; alone, it must not serve until the partition ends.
func TestRestartedVMInPartitionWaitsForPeerWithOutcome(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		isolateAfterStaging(t, c)
		c.moveToSide(3, 1)
		c.restart(2)
		time.Sleep(time.Minute)
		// vm-3 received the outcome before it was isolated, so it confirms version 2.
		require.Equal(t, uint64(2), c.manager(2).Version())
		c.moveToSide(3, 2)
		c.restart(2)
		time.Sleep(time.Minute)
		require.Zero(t, c.manager(2).Version())
		c.heal()
		time.Sleep(inForceWithin)
		c.requireVersion(t, 2)
	})
}

// TestStartingVMDoesNotTrustPeerInDoubt isolates vm-2 and vm-3 together after both have staged a change, which is then
// accepted, and restarts vm-2. vm-3 does not know the outcome, so vm-2 must not serve its version 1.
func TestStartingVMDoesNotTrustPeerInDoubt(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.moveToSide(2, 1)
				c.moveToSide(3, 1)
			}
			return objecttest.Fault{}
		})
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
		require.NoError(t, err)
		c.store.SetFaults(nil)
		c.restart(2)
		time.Sleep(time.Hour)
		require.Equal(t, uint64(1), c.manager(3).Version())
		require.Zero(t, c.manager(2).Version())
	})
}

// TestRestartedVMWithoutPeersWaitsForProposalsToEnd restarts vm-2 after it has staged a change and before the root is
// written. vm-2 can read the old root but reaches no peer. It must not serve that version, since the change can still
// be accepted.
func TestRestartedVMWithoutPeersWaitsForProposalsToEnd(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				return objecttest.Fault{Delay: time.Second}
			}
			return objecttest.Fault{}
		})
		proposeResult := make(chan error)
		go func() {
			_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
			proposeResult <- err
		}()
		time.Sleep(100 * time.Millisecond)
		// The restart makes vm-2 lose the staged proposal, and vm-2 still reads the old root.
		c.setLink(2, 1, false)
		c.restart(2)
		time.Sleep(500 * time.Millisecond)
		c.setLink(2, 1, true)
		require.NoError(t, <-proposeResult)
		time.Sleep(time.Hour)
		require.Zero(t, c.manager(2).Version())
	})
}

// TestVMRestartedDuringStagingStagesAgain restarts vm-2 after the first round of staging. The next round must stage the
// change again; otherwise vm-2, isolated when the change is accepted, would serve version 1 without being in doubt.
func TestVMRestartedDuringStagingStagesAgain(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		c.setPeerFaults(peerFaults{slowStage: 100 * time.Millisecond})
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.moveToSide(2, 1)
			}
			return objecttest.Fault{}
		})
		proposeResult := make(chan error)
		go func() {
			_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
			proposeResult <- err
		}()
		// The restart makes vm-2 lose the staged change. vm-3, which it then asks, has not staged the change yet.
		time.Sleep(250 * time.Millisecond)
		c.setLink(2, 1, false)
		c.setLink(3, 1, false)
		c.restart(2)
		<-c.manager(2).Ready()
		c.setLink(2, 0, false)
		c.setLink(3, 0, false)
		require.NoError(t, <-proposeResult)
		time.Sleep(inForceWithin)
		require.Equal(t, uint64(1), c.manager(2).Version())
		require.True(t, c.manager(2).InDoubt())
	})
}

func TestLateStageCallForDecidedProposalIsRefused(t *testing.T) {
	onCluster(t, 1, func(t *testing.T, c *cluster) {
		next := c.manager(0).Current().Clone()
		next.Version = 2
		request := &peerpb.StageRequest{ProposalId: "p", BaseVersion: 1, Configuration: policy.Encode(next)}
		_, err := c.manager(0).Conclude(t.Context(), &peerpb.ConcludeRequest{ProposalId: "p"})
		require.NoError(t, err)
		reply, err := c.manager(0).Stage(t.Context(), request)
		require.NoError(t, err)
		require.False(t, reply.Staged)
		request.ProposalId = "q"
		reply, err = c.manager(0).Stage(t.Context(), request)
		require.NoError(t, err)
		require.True(t, reply.Staged, reply.Reason)
	})
}

func TestLatePeerReplyDoesNotRestoreOlderVersion(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		isolateAfterStaging(t, c)
		c.setLink(2, 0, true)
		c.setPeerFaults(peerFaults{slowReply: time.Minute})
		c.manager(2).Observe("vm-0", 2)
		time.Sleep(time.Second)
		// vm-0 has sent version 2 to vm-2, and version 3 is accepted before that reply arrives.
		c.setLink(2, 0, false)
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 7))
		require.NoError(t, err)
		c.requireVersion(t, 3)
		time.Sleep(time.Hour)
		c.requireVersion(t, 3)
	})
}

// TestAbandonedProposalIsSettledAsRejected isolates the proposer at its write of the root, which reaches the platform
// only after another VM has fenced the proposal. The late write must fail, and all VMs must keep version 1.
func TestAbandonedProposalIsSettledAsRejected(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.moveToSide(0, 1)
				return objecttest.Fault{DeferWrite: true}
			}
			return objecttest.Fault{}
		})
		_, err := c.manager(0).Propose(t.Context(), changeShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindOutcomeUnknown))
		c.store.SetFaults(nil)
		time.Sleep(20 * time.Second)
		require.False(t, c.manager(1).InDoubt())
		c.heal()
		time.Sleep(inForceWithin)
		c.requireVersion(t, 1)
		require.False(t, c.manager(0).InDoubt())
		require.Equal(t, 1, c.manager(1).Current().Accounts["a"].Share)
	})
}

func TestHistoryAndRollBack(t *testing.T) {
	onCluster(t, 2, func(t *testing.T, c *cluster) {
		manager := c.manager(0)
		for share := 2; share <= 4; share++ {
			_, err := manager.Propose(t.Context(), changeShare("ann", share))
			require.NoError(t, err)
		}
		back := acceptance.RollBack(t.Context(), c.manager(1), "bob", 2)
		outcome, err := c.manager(1).Propose(t.Context(), back)
		require.NoError(t, err)
		require.Equal(t, uint64(5), outcome.Version)
		require.Equal(t, 2, manager.Current().Accounts["a"].Share)
		history, err := manager.History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, 5)
		require.Equal(t, "bob", history[0].Operator)
		require.Equal(t, "roll back to 2", history[0].Summary)
		require.Equal(t, "seed", history[4].Summary)
		_, err = manager.ConfigurationAt(context.Background(), 99)
		require.True(t, apierror.Is(err, apierror.KindNotFound))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	onCluster(t, 1, func(t *testing.T, c *cluster) {
		const maxVersions = 256
		for share := 2; share <= maxVersions+10; share++ {
			_, err := c.manager(0).Propose(t.Context(), changeShare("ann", share))
			require.NoError(t, err)
		}
		history, err := c.manager(0).History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, maxVersions)
		oldest := history[maxVersions-1].Version
		_, err = c.manager(0).ConfigurationAt(t.Context(), oldest)
		require.NoError(t, err)
		_, err = c.manager(0).ConfigurationAt(t.Context(), oldest-1)
		require.True(t, apierror.Is(err, apierror.KindNotFound))
	})
}

func TestOversizedConfigurationIsRefused(t *testing.T) {
	onCluster(t, 1, func(t *testing.T, c *cluster) {
		change := acceptance.Change{Operator: "ann", Apply: func(configuration *policy.Configuration) error {
			for number := range 9_000 {
				name := fmt.Sprintf("service-with-a-long-name-%d", number)
				configuration.Services[name] = policy.Service{Name: name, Kind: policy.KindPlain}
			}
			return nil
		}}
		_, err := c.manager(0).Propose(t.Context(), change)
		require.True(t, apierror.Is(err, apierror.KindTooLarge))
		c.requireVersion(t, 1)
	})
}
