package inforce_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/boottime"
	"godwitcart/internal/inforce"
)

// runOutage runs a reader, whose clock has the given rate, through an outage that begins right after a read, and calls step each
// 50 ms with the time since that read at most.
func runOutage(t *testing.T, clockRate float64, mayOthersServe bool, length time.Duration, step func(poller *inforce.Poller, sinceRead time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		const stepTime = 50 * time.Millisecond
		source := &platform{}
		source.version.Store(4)
		started := time.Now()
		poller := inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin,
			MayOthersServe: func() bool { return mayOthersServe },
			Now:            func() boottime.Instant { return boottime.Instant(clockRate*float64(time.Since(started))) + 1 },
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = poller.Run(ctx) }()
		time.Sleep(3 * time.Second)
		reads := source.reads.Load()
		for source.reads.Load() == reads {
			time.Sleep(stepTime)
		}
		readAt := time.Now().Add(-stepTime) // at the earliest
		source.down.Store(true)
		for began := time.Now(); time.Since(began) < length; time.Sleep(stepTime) {
			step(poller, time.Since(readAt))
		}
		source.down.Store(false)
		time.Sleep(stepTime)
		cancel()
	})
}

// TestProofCountsUpToTheBound guards against keys that are refused well before they must be, and against keys that are accepted
// later than the bound where this VM's clock is slow.
func TestProofCountsUpToTheBound(t *testing.T) {
	for _, rate := range []float64{1, 0.98} {
		var lastAccepted time.Duration
		runOutage(t, rate, false, 8*time.Second, func(poller *inforce.Poller, sinceRead time.Duration) {
			if poller.CanAcceptKeys() {
				lastAccepted = sinceRead
			}
		})
		t.Logf("clock rate %v: accepted for %v", rate, lastAccepted)
		require.LessOrEqual(t, lastAccepted, revokedWithin+50*time.Millisecond, "clock rate %v; the read is dated a step too early", rate)
		require.Greater(t, lastAccepted, revokedWithin*95/100, "clock rate %v", rate)
	}
}

// TestRefusedCallersReturnIntoTheOutage guards against callers who come back while the platform is still away: they have one
// more attempt. At least half of those refused in an outage of 6 to 9 s are to find it ended.
func TestRefusedCallersReturnIntoTheOutage(t *testing.T) {
	for length := 6 * time.Second; length <= 9*time.Second; length += time.Second {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			refused, found := 0, 0
			began := time.Duration(0)
			runOutage(t, 1, false, length, func(poller *inforce.Poller, sinceRead time.Duration) {
				if began == 0 {
					began = sinceRead
				}
				if poller.CanAcceptKeys() {
					return
				}
				refused++
				wait := poller.ReturnWait()
				require.LessOrEqual(t, wait, sinceRead*5/8, "longer than half of the outage and its spread")
				if sinceRead-began+wait > length {
					found++
				}
			})
			t.Logf("%d of %d", found, refused)
			require.NotZero(t, refused)
			require.GreaterOrEqual(t, 2*found, refused)
		})
	}
}

// TestCallersOfACutOffVMReturnSoon checks that callers are not kept away by the outage of a VM that is cut off from the others,
// which may serve them.
func TestCallersOfACutOffVMReturnSoon(t *testing.T) {
	runOutage(t, 1, true, 8*time.Second, func(poller *inforce.Poller, _ time.Duration) {
		require.Less(t, poller.ReturnWait(), time.Second)
	})
}

// TestEndOfOutageIsTold checks that the end of an outage is told once, when the new proof is there.
func TestEndOfOutageIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &platform{}
		source.version.Store(4)
		started := time.Now()
		var told atomic.Int64
		var poller *inforce.Poller
		poller = inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin,
			Now: func() boottime.Instant { return boottime.Instant(time.Since(started)) + 1 },
			Regained: func() {
				told.Add(1)
				require.True(t, poller.CanAcceptKeys())
				require.False(t, poller.HasLostPlatform())
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = poller.Run(ctx) }()
		time.Sleep(time.Second)
		source.down.Store(true)
		time.Sleep(2 * revokedWithin)
		require.False(t, poller.CanAcceptKeys())
		source.down.Store(false)
		time.Sleep(2 * revokedWithin)
		require.Equal(t, int64(1), told.Load())
		cancel()
	})
}
