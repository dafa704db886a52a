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

// inForceBound is the users' bound from acceptance to in force.
const inForceBound = 4 * time.Second

// onCluster runs a test on a cluster that is ready, in simulated time.
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

func TestProposeIsInForceEverywhere(t *testing.T) {
	onCluster(t, 9, func(t *testing.T, c *cluster) {
		outcome, err := c.manager(3).Propose(t.Context(), setShare("ann", 5))
		require.NoError(t, err)
		require.Equal(t, uint64(2), outcome.Version)
		require.Equal(t, "~ account a share=1 -> 5", outcome.Changes[0].String())
		c.requireVersion(t, 2)
	})
}

func TestProposeRejectsAnInvalidChangeAndOneThatChangesNothing(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", -1))
		require.True(t, apierror.Is(err, apierror.KindBadRequest))
		outcome, err := c.manager(0).Propose(t.Context(), setShare("ann", 1))
		require.NoError(t, err)
		require.Empty(t, outcome.Changes)
		dry := setShare("ann", 2)
		dry.DryRun = true
		outcome, err = c.manager(0).Propose(t.Context(), dry)
		require.NoError(t, err)
		require.Len(t, outcome.Changes, 1)
		c.requireVersion(t, 1)
	})
}

func TestOfRacingOperatorsExactlyOneWins(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.setPeerFaults(peerFaults{slowStage: 100 * time.Millisecond})
		results := make(chan error, 2)
		for i, operator := range []string{"ann", "bob"} {
			go func() {
				_, err := c.manager(i).Propose(t.Context(), setShare(operator, 10+i))
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

func TestLostWriteAnswerIsSettledByReadingBack(t *testing.T) {
	cases := map[string]objecttest.Fault{
		"answer lost":  {LoseAnswer: true},
		"request lost": {LoseRequest: true},
		"write late":   {Late: true},
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
				_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
				require.NoError(t, err)
				c.store.Flush()
				synctest.Wait()
				c.requireVersion(t, 2)
			})
		})
	}
}

func TestPlatformAwayRejectsAtOnceAndServingGoesOn(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetOutage(true)
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
		require.Contains(t, err.Error(), "only it can accept a change")
		time.Sleep(time.Hour)
		_, err = c.manager(1).Decide(policy.Query{Key: testKey, Service: "cardstat"})
		require.NoError(t, err)
	})
}

func TestUnreachableVMRejectsWithItsName(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.cut(2, 1)
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
		require.Contains(t, err.Error(), "vm-2 cannot be reached")
		c.heal()
		c.requireVersion(t, 1)
	})
}

// cutAfterStaging cuts vm-2 off when it has staged a change of class batch, which is then accepted.
func cutAfterStaging(t *testing.T, c *cluster) {
	c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
		if call.Op == objecttest.OpPut && call.Key == rootKey {
			c.cut(2, 1)
		}
		return objecttest.Fault{}
	})
	_, err := c.manager(0).Propose(t.Context(), setBatch("ann", time.Minute))
	require.NoError(t, err)
	c.store.SetFaults(nil)
	require.Equal(t, uint64(1), c.manager(2).Version())
}

func TestVMInDoubtServesWhatBothVersionsAgreeOn(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		cutAfterStaging(t, c)
		time.Sleep(inForceBound)
		cut := c.manager(2)
		require.True(t, cut.InDoubt())
		_, err := cut.Decide(policy.Query{Key: testKey, Service: "cardstat", Class: "kiosk"})
		require.NoError(t, err)
		_, err = cut.Decide(policy.Query{Key: testKey, Service: "cardstat", Class: "batch"})
		require.True(t, apierror.Is(err, apierror.KindNotRun))
		c.heal()
		time.Sleep(inForceBound)
		c.requireVersion(t, 2)
		require.False(t, cut.InDoubt())
	})
}

func TestRestartedVMInACutZoneWaitsForAPeerThatKnows(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		cutAfterStaging(t, c)
		c.cut(3, 1)
		c.restart(2)
		time.Sleep(time.Minute)
		// vm-3 heard the outcome before it was cut off, so it vouches for version 2.
		require.Equal(t, uint64(2), c.manager(2).Version())
		c.cut(3, 2)
		c.restart(2)
		time.Sleep(time.Minute)
		require.Zero(t, c.manager(2).Version())
		c.heal()
		time.Sleep(inForceBound)
		c.requireVersion(t, 2)
	})
}

func TestStartingVMDoesNotTrustAPeerInDoubt(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.cut(2, 1)
				c.cut(3, 1)
			}
			return objecttest.Fault{}
		})
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
		require.NoError(t, err)
		c.store.SetFaults(nil)
		c.restart(2)
		time.Sleep(time.Hour)
		require.Equal(t, uint64(1), c.manager(3).Version())
		require.Zero(t, c.manager(2).Version())
	})
}

func TestRestartedVMWithoutPeersWaitsForTheEndOfProposals(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				return objecttest.Fault{Delay: time.Second}
			}
			return objecttest.Fault{}
		})
		accepted := make(chan error)
		go func() {
			_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
			accepted <- err
		}()
		time.Sleep(100 * time.Millisecond)
		// vm-2 has staged the proposal and forgets it; it still reads the old root.
		c.link(2, 1, false)
		c.restart(2)
		time.Sleep(500 * time.Millisecond)
		c.link(2, 1, true)
		require.NoError(t, <-accepted)
		time.Sleep(time.Hour)
		require.Zero(t, c.manager(2).Version())
	})
}

func TestVMThatRestartsWhileAChangeIsStagedHoldsItAgain(t *testing.T) {
	onCluster(t, 4, func(t *testing.T, c *cluster) {
		c.setPeerFaults(peerFaults{slowStage: 100 * time.Millisecond})
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.cut(2, 1)
			}
			return objecttest.Fault{}
		})
		accepted := make(chan error)
		go func() {
			_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
			accepted <- err
		}()
		// vm-2 has staged the change and forgets it; vm-3, which it asks, has not staged it yet.
		time.Sleep(250 * time.Millisecond)
		c.link(2, 1, false)
		c.link(3, 1, false)
		c.restart(2)
		<-c.manager(2).Ready()
		c.link(2, 0, false)
		c.link(3, 0, false)
		require.NoError(t, <-accepted)
		time.Sleep(inForceBound)
		require.Equal(t, uint64(1), c.manager(2).Version())
		require.True(t, c.manager(2).InDoubt())
	})
}

func TestLateStageCallOfADecidedProposalIsRefused(t *testing.T) {
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

func TestLateAnswerOfAPeerDoesNotBringAnOlderVersionBack(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		cutAfterStaging(t, c)
		c.link(2, 0, true)
		c.setPeerFaults(peerFaults{slowReply: time.Minute})
		c.manager(2).Observe("vm-0", 2)
		time.Sleep(time.Second)
		// Version 2 is on its way from vm-0; before it arrives, version 3 is accepted.
		c.link(2, 0, false)
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", 7))
		require.NoError(t, err)
		c.requireVersion(t, 3)
		time.Sleep(time.Hour)
		c.requireVersion(t, 3)
	})
}

func TestAbandonedProposalIsSettledAsRejected(t *testing.T) {
	onCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Key == rootKey {
				c.cut(0, 1)
				return objecttest.Fault{Late: true}
			}
			return objecttest.Fault{}
		})
		_, err := c.manager(0).Propose(t.Context(), setShare("ann", 5))
		require.True(t, apierror.Is(err, apierror.KindOutcomeUnknown))
		c.store.SetFaults(nil)
		time.Sleep(20 * time.Second)
		require.False(t, c.manager(1).InDoubt())
		c.heal()
		time.Sleep(inForceBound)
		c.requireVersion(t, 1)
		require.False(t, c.manager(0).InDoubt())
		require.Equal(t, 1, c.manager(1).Current().Accounts["a"].Share)
	})
}

func TestHistoryAndRollBack(t *testing.T) {
	onCluster(t, 2, func(t *testing.T, c *cluster) {
		manager := c.manager(0)
		for share := 2; share <= 4; share++ {
			_, err := manager.Propose(t.Context(), setShare("ann", share))
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
		_, err = manager.At(context.Background(), 99)
		require.True(t, apierror.Is(err, apierror.KindNotFound))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	onCluster(t, 1, func(t *testing.T, c *cluster) {
		const kept = 256
		for share := 2; share <= kept+10; share++ {
			_, err := c.manager(0).Propose(t.Context(), setShare("ann", share))
			require.NoError(t, err)
		}
		history, err := c.manager(0).History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, kept)
		oldest := history[kept-1].Version
		_, err = c.manager(0).At(t.Context(), oldest)
		require.NoError(t, err)
		_, err = c.manager(0).At(t.Context(), oldest-1)
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
