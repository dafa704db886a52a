package inforce_test

import (
	"context"
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
