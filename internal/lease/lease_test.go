package lease_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lease"
	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
	_ "godwitcart/internal/rapidseed"
)

const term = 6 * time.Second

func newManager(store object.Store, holder string) *lease.Manager {
	return lease.NewManager(lease.Options{Store: store, Holder: holder, Term: term})
}

// renew renews a lease in the background. stop releases the lease and waits.
func renew(t *testing.T, toRenew *lease.Lease) (stop func() error) {
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- toRenew.KeepAlive(ctx) }()
	return func() error {
		cancel()
		return <-result
	}
}

func TestTakeoverWaitsForAWholeTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		first, err := newManager(store, "a").Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.True(t, first.Valid(time.Now()))

		other := newManager(store, "b")
		_, err = other.Acquire(t.Context(), "duty")
		var heldErr *lease.HeldError
		require.ErrorAs(t, err, &heldErr)
		require.Equal(t, "a", heldErr.Holder)
		require.Equal(t, term, heldErr.RetryAfter)
		require.Equal(t, apierror.KindConflict, apierror.KindOf(err))

		time.Sleep(term)
		require.False(t, first.Valid(time.Now()), "the holder did not renew")
		second, err := other.Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.Greater(t, second.Fencing(), first.Fencing())
		require.False(t, second.PredecessorExpiry().After(time.Now()))
		require.Error(t, first.KeepAlive(t.Context()), "a holder that was paused detects that it lost the lease")
		require.False(t, first.Valid(time.Now()))
	})
}

func TestRenewalKeepsLeaseUntilRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		first, err := newManager(store, "a").Acquire(t.Context(), "duty")
		require.NoError(t, err)
		stop := renew(t, first)
		other := newManager(store, "b")
		for range 10 {
			time.Sleep(term)
			_, err = other.Acquire(t.Context(), "duty")
			require.Error(t, err)
			require.True(t, first.Valid(time.Now()))
		}
		require.NoError(t, stop())
		<-first.Lost()
		second, err := other.Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.Greater(t, second.Fencing(), first.Fencing())
		require.True(t, second.PredecessorExpiry().After(time.Now()), "orders of the earlier holder may be in flight")
	})
}

// TestValidityStartsBeforeRenewalIsSent delays responses by half a term. If the holder measured validity from the
// response, it would still consider the lease valid when another manager may acquire it.
func TestValidityStartsBeforeRenewalIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		holderStore := objecttest.NewVMStore(store)
		first, err := newManager(holderStore, "a").Acquire(t.Context(), "duty")
		require.NoError(t, err)
		store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			return objecttest.Fault{ResponseDelay: term / 2}
		})
		stop := renew(t, first)
		time.Sleep(term / 2)
		other := newManager(store, "b")
		_, err = other.Acquire(t.Context(), "duty")
		require.Error(t, err)
		holderStore.BlockWrites()
		time.Sleep(term)
		require.False(t, first.Valid(time.Now()), "the other manager may take over now")
		_, err = other.Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.Error(t, stop())
	})
}

func TestFencingIncreasesAfterDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		first, err := newManager(store, "a").Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.NoError(t, store.Delete(t.Context(), lease.Prefix+"duty", first.Fencing()))
		second, err := newManager(store, "b").Acquire(t.Context(), "duty")
		require.NoError(t, err)
		require.Greater(t, second.Fencing(), first.Fencing())
	})
}

func TestLeaseSurvivesShortFaultsButNotOutage(t *testing.T) {
	faults := []objecttest.Fault{{LoseResponse: true}, {LoseRequest: true}, {DeferWrite: true}, {Unavailable: true}, {Delay: time.Second}}
	for i, fault := range faults {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.NewStore()
				l, err := newManager(store, "a").Acquire(t.Context(), "duty")
				require.NoError(t, err)
				store.SetFaults(func(call objecttest.Call) objecttest.Fault {
					if call.Number%3 == 0 {
						return objecttest.Fault{}
					}
					return fault
				})
				stop := renew(t, l)
				time.Sleep(10 * term)
				require.True(t, l.Valid(time.Now()))
				store.SetOutage(true)
				<-l.Lost()
				require.False(t, l.Valid(time.Now()))
				require.Equal(t, apierror.KindConflict, apierror.KindOf(stop()))
			})
		})
	}
}

func TestRunExclusiveRunsTaskOnOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		running, maxRunning, runs := 0, 0, 0
		done := make(chan error, 3)
		for i := range 3 {
			go func() {
				done <- newManager(store, fmt.Sprint(i)).RunExclusive(ctx, "duty", func(ctx context.Context, _ *lease.Lease) error {
					running++
					runs++
					maxRunning = max(maxRunning, running)
					timer := time.NewTimer(time.Minute)
					select {
					case <-timer.C:
					case <-ctx.Done():
					}
					running--
					return errors.New("ends")
				})
			}()
		}
		time.Sleep(10 * time.Minute)
		cancel()
		for range 3 {
			require.NoError(t, <-done)
		}
		require.Equal(t, 1, maxRunning)
		require.Greater(t, runs, 5)
	})
}

// TestAtMostOneValidHolderUnderFaults checks that at most one manager holds a valid lease at any time,
// and that fencing tokens increase, even if messages are lost or delayed and holders pause.
func TestAtMostOneValidHolderUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(r *rapid.T) {
			store := objecttest.NewStore()
			managers := []*lease.Manager{newManager(store, "a"), newManager(store, "b"), newManager(store, "c")}
			leases := make([]*lease.Lease, len(managers))
			stops := make([]func() error, len(managers))
			highest := uint64(0)
			drawFault := func(r *rapid.T) objecttest.Fault {
				return rapid.SampledFrom([]objecttest.Fault{
					{}, {LoseResponse: true}, {LoseRequest: true}, {DeferWrite: true}, {Conflict: true}, {Unavailable: true}, {Delay: 4 * time.Second},
					{ResponseDelay: 4 * time.Second},
				}).Draw(r, "fault")
			}
			r.Repeat(map[string]func(*rapid.T){
				"acquire": func(r *rapid.T) {
					i := rapid.IntRange(0, len(managers)-1).Draw(r, "vm")
					if acquired, err := managers[i].Acquire(t.Context(), "duty"); err == nil {
						require.Greater(r, acquired.Fencing(), highest)
						highest = acquired.Fencing()
						leases[i] = acquired
					}
				},
				"keep": func(r *rapid.T) {
					i := rapid.IntRange(0, len(managers)-1).Draw(r, "vm")
					if leases[i] != nil && stops[i] == nil {
						stops[i] = renew(t, leases[i])
					}
				},
				"stop": func(r *rapid.T) {
					i := rapid.IntRange(0, len(managers)-1).Draw(r, "vm")
					if stops[i] != nil {
						_ = stops[i]()
						stops[i], leases[i] = nil, nil
					}
				},
				"faults": func(r *rapid.T) {
					faults := []objecttest.Fault{drawFault(r), drawFault(r), drawFault(r)}
					store.SetFaults(func(call objecttest.Call) objecttest.Fault { return faults[call.Number%len(faults)] })
				},
				"flush": func(*rapid.T) { store.Flush() },
				"wait": func(r *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 7000).Draw(r, "ms")) * time.Millisecond)
				},
				"": func(r *rapid.T) {
					valid := 0
					for _, l := range leases {
						if l != nil && l.Valid(time.Now()) {
							valid++
						}
					}
					require.LessOrEqual(r, valid, 1)
				},
			})
			for _, stop := range stops {
				if stop != nil {
					_ = stop()
				}
			}
		})
	})
}
