package daemon

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object/objecttest"
)

// follow runs a drainFollower on the store, as one entry VM does.
func follow(ctx context.Context, running *sync.WaitGroup, store *objecttest.Store) *drainFollower {
	d := newDrainFollower(store, func() {})
	running.Go(func() { _ = d.Run(ctx) })
	return d
}

func TestDrainsReachEveryVMAndSurviveOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		first, second := follow(ctx, &running, store), follow(ctx, &running, store)
		synctest.Wait()

		require.NoError(t, first.SetDrained(ctx, "anna", "lm-1", true))
		synctest.Wait()
		owner, drained := second.Owner("lm-1")
		require.True(t, drained)
		require.Equal(t, "anna", owner)

		store.SetOutage(true)
		time.Sleep(time.Minute)
		require.True(t, second.Drained("lm-1"), "an outage must not put a drained target back into service")
		err := first.SetDrained(ctx, "anna", "lm-1", false)
		require.Equal(t, apierror.KindUnavailable, apierror.KindOf(err))
		require.True(t, first.Drained("lm-1"))

		store.SetOutage(false)
		require.NoError(t, first.SetDrained(ctx, "anna", "lm-1", false))
		time.Sleep(time.Minute)
		require.False(t, second.Drained("lm-1"))
		late := follow(ctx, &running, store)
		synctest.Wait()
		require.False(t, late.Drained("lm-1"))

		cancel()
		running.Wait()
	})
}

func TestSetDrainedSucceedsWhenResponseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		d := newDrainFollower(store, func() {})
		store.LoseResponses(1)
		require.NoError(t, d.SetDrained(t.Context(), "anna", "lm-1", true))
		require.True(t, d.Drained("lm-1"))
	})
}
