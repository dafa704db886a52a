package claim_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// start runs a manager with two small shards. stop ends it and waits until it has stopped.
func start(ctx context.Context, store object.Store, change func(*claim.Options)) (manager *claim.Manager, stop func()) {
	options := claim.Options{Store: store, Shards: 2, Slots: 4, SegmentEntries: 3, Tick: time.Hour}
	if change != nil {
		change(&options)
	}
	manager = claim.NewManager(options)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- manager.Run(ctx) }()
	return manager, sync.OnceFunc(func() {
		cancel()
		<-done
	})
}

func record(key, attempt string) claim.Record {
	return claim.Record{Key: key, RequestID: "r-" + attempt, AttemptID: attempt, VM: "vm"}
}

// runWithManager runs a test with a store and a manager in virtual time.
func runWithManager(t *testing.T, change func(*claim.Options), run func(t *testing.T, store *objecttest.Store, manager *claim.Manager)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		manager, cancel := start(t.Context(), store, change)
		defer cancel()
		run(t, store, manager)
	})
}

func mustClaim(t *testing.T, manager *claim.Manager, key, attempt string, wantWon bool) claim.Record {
	t.Helper()
	existing, won, err := manager.Claim(t.Context(), record(key, attempt))
	require.NoError(t, err)
	require.Equal(t, wantWon, won, "claim of %q by %q met %+v", key, attempt, existing)
	return existing
}

func TestClaimLifecycle(t *testing.T) {
	runWithManager(t, nil, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
		key := claim.Key("acme", "k1")
		mustClaim(t, manager, key, "a1", true)
		require.Equal(t, "a1", mustClaim(t, manager, key, "b1", false).AttemptID)

		require.NoError(t, manager.Rebind(t.Context(), key, "a1", "a2", "target-2"))
		require.NoError(t, manager.Rebind(t.Context(), key, "a1", "a2", "target-2"), "repeating an applied rebind succeeds")
		err := manager.Rebind(t.Context(), key, "a1", "a3", "target-3")
		require.Equal(t, apierror.KindConflict, apierror.KindOf(err))

		manager.End(key, "a1", claim.Ending{Outcome: claim.OutcomeFailed})
		manager.End(key, "a2", claim.Ending{Outcome: claim.OutcomeAnswered, Tokens: 7})
		time.Sleep(2 * time.Second)
		other, cancel := start(t.Context(), store, nil)
		defer cancel()
		found, err := other.Lookup(t.Context(), key)
		require.NoError(t, err)
		require.Equal(t, claim.StateEnded, found.State)
		require.Equal(t, &claim.Ending{Outcome: claim.OutcomeAnswered, Tokens: 7}, found.Ending)
		require.Equal(t, "target-2", found.Target)
		require.Equal(t, claim.StateEnded, mustClaim(t, other, key, "c1", false).State)
	})
}

func TestReleasedClaimCanBeClaimedAgain(t *testing.T) {
	runWithManager(t, nil, func(t *testing.T, _ *objecttest.Store, manager *claim.Manager) {
		mustClaim(t, manager, "k", "a", true)
		manager.Release("k", "other")
		time.Sleep(2 * time.Second)
		mustClaim(t, manager, "k", "b", false)
		manager.Release("k", "a")
		time.Sleep(2 * time.Second)
		mustClaim(t, manager, "k", "b", true)
		_, err := manager.Lookup(t.Context(), "unclaimed")
		require.Equal(t, apierror.KindNotFound, apierror.KindOf(err))
	})
}

func TestOutageRefusesClaimsAsNotRun(t *testing.T) {
	runWithManager(t, nil, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
		store.SetOutage(true)
		for i := range 3 {
			_, won, err := manager.Claim(t.Context(), record("k", fmt.Sprint("a", i)))
			require.False(t, won)
			require.Equal(t, apierror.KindNotRun, apierror.KindOf(err), "%v", err)
			require.ErrorContains(t, err, "try again later")
		}
		reads := store.Count(objecttest.OpGet) + store.Count(objecttest.OpList)
		require.LessOrEqual(t, reads, 3, "later claims are refused without calling the store")
		store.SetOutage(false)
		time.Sleep(2 * time.Second)
		mustClaim(t, manager, "k", "b", true)
	})
}

func TestClaimSurvivesLostWriteResponses(t *testing.T) {
	for name, fault := range map[string]objecttest.Fault{
		"answer": {LoseResponse: true}, "request": {LoseRequest: true}, "late": {DeferWrite: true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithManager(t, nil, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
				mustClaim(t, manager, "warm", "w", true)
				faultyWrites := 2
				store.SetFaults(func(call objecttest.Call) objecttest.Fault {
					if call.Op != objecttest.OpPut || faultyWrites == 0 {
						return objecttest.Fault{}
					}
					faultyWrites--
					return fault
				})
				mustClaim(t, manager, "k", "a", true)
				store.Flush()
				mustClaim(t, manager, "k", "b", false)
			})
		})
	}
}

// TestLateClaimOfRefusedRequestIsReleased refuses a claim while its write is still in flight. The writer
// must release the claim, or the key would stay blocked. The delayed write takes effect either before or
// after that release.
func TestLateClaimOfRefusedRequestIsReleased(t *testing.T) {
	change := func(o *claim.Options) { o.Shards = 1 }
	for _, flushFirst := range []bool{true, false} {
		t.Run(fmt.Sprint(flushFirst), func(t *testing.T) {
			runWithManager(t, change, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
				mustClaim(t, manager, "warm", "w", true)
				store.SetFaults(func(call objecttest.Call) objecttest.Fault {
					late := call.Op == objecttest.OpPut
					return objecttest.Fault{DeferWrite: late, Unavailable: !late}
				})
				_, _, err := manager.Claim(t.Context(), record("k", "a"))
				require.Equal(t, apierror.KindNotRun, apierror.KindOf(err))
				store.SetFaults(nil)
				other, cancel := start(t.Context(), store, change)
				defer cancel()
				if flushFirst {
					store.Flush()
					mustClaim(t, other, "k", "b", false)
				}
				time.Sleep(5 * time.Second)
				store.Flush()
				mustClaim(t, other, "k", "c", true)
			})
		})
	}
}

func TestGroupCommitBatchesClaims(t *testing.T) {
	change := func(o *claim.Options) { o.Shards, o.SegmentEntries = 1, 1000 }
	for _, perSecond := range []float64{30, 3} {
		runWithManager(t, change, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
			manager.SetWritesPerSecond(perSecond)
			store.SetFaults(func(objecttest.Call) objecttest.Fault { return objecttest.Fault{Delay: 5 * time.Millisecond} })
			const claims = 100
			results := make(chan bool, claims)
			for i := range claims {
				go func() {
					_, won, err := manager.Claim(t.Context(), record(fmt.Sprint("k", i), fmt.Sprint("a", i)))
					results <- won && err == nil
				}()
				time.Sleep(5 * time.Millisecond)
			}
			for range claims {
				require.True(t, <-results)
			}
			require.LessOrEqual(t, store.Count(objecttest.OpPut), 1+int(perSecond))
		})
	}
}

// TestClaimsExpireBySharedTickAndFreeSlots fills a ring of two single-claim segments. A new key is refused
// until a segment expires and its slot is reused. An expired claim counts until then.
func TestClaimsExpireBySharedTickAndFreeSlots(t *testing.T) {
	change := func(o *claim.Options) {
		o.Shards, o.Slots, o.SegmentEntries = 1, 2, 1
		o.Tick, o.RetentionTicks = 10*time.Minute, 3
	}
	runWithManager(t, change, func(t *testing.T, store *objecttest.Store, manager *claim.Manager) {
		mustClaim(t, manager, "k0", "a0", true)
		mustClaim(t, manager, "k1", "a1", true)
		_, _, err := manager.Claim(t.Context(), record("k2", "a2"))
		require.Equal(t, apierror.KindNotRun, apierror.KindOf(err), "the ring is full")
		time.Sleep(20 * time.Minute)
		mustClaim(t, manager, "k0", "b0", false)
		time.Sleep(40 * time.Minute)
		mustClaim(t, manager, "k2", "a2", true)
		restarted, cancel := start(t.Context(), store, change)
		defer cancel()
		mustClaim(t, restarted, "k1", "b1", false)
		mustClaim(t, restarted, "k2", "b2", false)
	})
}

// TestStaleViewCatchesUpWithRing pauses a VM while others reuse slots of the ring. Its stale view must
// not hide the claims that were added meanwhile, whichever segment the view considers the head.
func TestStaleViewCatchesUpWithRing(t *testing.T) {
	change := func(o *claim.Options) {
		o.Shards, o.Slots, o.SegmentEntries = 1, 2, 3
		o.Tick, o.RetentionTicks = time.Minute, 2
	}
	for before := range 9 {
		for after := range 18 {
			runWithManager(t, change, func(t *testing.T, store *objecttest.Store, paused *claim.Manager) {
				active, cancel := start(t.Context(), store, change)
				defer cancel()
				next := func(i int) {
					time.Sleep(4 * time.Minute)
					mustClaim(t, active, fmt.Sprint("k", i), fmt.Sprint("a", i), true)
				}
				for i := range before {
					next(i)
				}
				mustClaim(t, paused, "first", "p", true)
				for i := range after {
					next(before + i)
				}
				if after%2 == 0 {
					_, _, err := paused.Claim(t.Context(), record("k0", "again"))
					require.NoError(t, err)
				}
				for i := max(before, before+after-3); i < before+after; i++ {
					mustClaim(t, paused, fmt.Sprint("k", i), "twice", false)
				}
			})
		}
	}
}

func TestShutdownFailsWaitersAndWritesEndings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		manager, cancel := start(t.Context(), store, nil)
		mustClaim(t, manager, "k", "a", true)
		manager.End("k", "a", claim.Ending{Outcome: claim.OutcomeAnswered})
		cancel()
		_, _, err := manager.Claim(t.Context(), record("k2", "a2"))
		require.Equal(t, apierror.KindNotRun, apierror.KindOf(err))
		successor, cancel := start(t.Context(), store, nil)
		defer cancel()
		found, err := successor.Lookup(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, claim.StateEnded, found.State)
	})
}
