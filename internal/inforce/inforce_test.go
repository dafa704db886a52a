package inforce_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/boottime"
	"godwitcart/internal/inforce"
	"godwitcart/internal/object"
	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
)

// platform is a Reader whose version and availability are set by the test.
type platform struct {
	version atomic.Uint64
	down    atomic.Bool
	reads   atomic.Int64
	// delay is how long a read takes.
	delay time.Duration
	// isSilent makes reads wait in vain for an answer.
	isSilent atomic.Bool
}

// ReadConfiguration implements inforce.Reader.
func (p *platform) ReadConfiguration(ctx context.Context) (*policy.RouteTable, error) {
	p.reads.Add(1)
	if p.isSilent.Load() {
		<-ctx.Done()
		return nil, object.NewUnavailableError(0, false, ctx.Err())
	}
	if p.delay > 0 && !pause.For(ctx, p.delay) {
		return nil, ctx.Err()
	}
	if p.down.Load() {
		return nil, errors.New("the platform is unavailable")
	}
	return policy.BuildRouteTable(policy.RouteTableParts{Version: p.version.Load()}), nil
}

// clock is a boot-time clock that also counts a simulated suspension of the VM.
type clock struct {
	started   time.Time
	suspended time.Duration
}

func (c *clock) now() boottime.Instant {
	return boottime.Instant(time.Since(c.started)+c.suspended) + 1
}

const (
	inForceWithin = 2 * time.Second
	revokedWithin = 5 * time.Second
)

func run(t *testing.T, isReader func() bool, test func(*inforce.Poller, *platform, *clock)) {
	synctest.Test(t, func(t *testing.T) {
		source := &platform{}
		source.version.Store(4)
		c := &clock{started: time.Now()}
		poller := inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin, IsReader: isReader, Now: c.now,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = poller.Run(ctx)
		}()
		synctest.Wait()
		test(poller, source, c)
		cancel()
		<-done
	})
}

// TestVersionIsInForceWithinBoundAndNeverDecreases checks that a new version is in force within the bound, and that an
// older version from the platform does not replace it.
func TestVersionIsInForceWithinBoundAndNeverDecreases(t *testing.T) {
	run(t, nil, func(poller *inforce.Poller, source *platform, _ *clock) {
		require.Equal(t, uint64(4), poller.Current().Version)
		source.version.Store(9)
		time.Sleep(inForceWithin)
		require.Equal(t, uint64(9), poller.Current().Version)
		source.version.Store(5)
		time.Sleep(2 * inForceWithin)
		require.Equal(t, uint64(9), poller.Current().Version)
	})
}

// TestKeysAreRefusedOnceProofExpires checks that keys are accepted while the platform answers, that they are refused
// within the bound after it stops answering, and that they are accepted again after an outage.
func TestKeysAreRefusedOnceProofExpires(t *testing.T) {
	run(t, nil, func(poller *inforce.Poller, source *platform, _ *clock) {
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			require.True(t, poller.CanAcceptKeys())
		}
		source.down.Store(true)
		time.Sleep(revokedWithin)
		require.False(t, poller.CanAcceptKeys())
		source.down.Store(false)
		time.Sleep(300 * time.Millisecond)
		require.True(t, poller.CanAcceptKeys(), "keys are still refused after the platform is back")
	})
}

// TestVersionWaitsForRetryAfterSilentRead guards against a version that is in force late at a VM that is not the leader of its zone,
// since one read was on a connection that went silent. The reads after an outage stay rare.
func TestVersionWaitsForRetryAfterSilentRead(t *testing.T) {
	const readInterval = time.Second
	synctest.Test(t, func(t *testing.T) {
		source := &platform{}
		source.version.Store(4)
		poller := inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin, IsZoneLeader: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = poller.Run(ctx)
		}()
		synctest.Wait()
		source.isSilent.Store(true)
		time.Sleep(readInterval + 500*time.Millisecond) // a read is in progress
		source.isSilent.Store(false)
		source.version.Store(9)
		time.Sleep(readInterval)
		require.Equal(t, uint64(9), poller.Current().Version)

		source.isSilent.Store(true)
		time.Sleep(5 * time.Second)
		reads := source.reads.Load()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, source.reads.Load()-reads, int64(time.Minute/(2*readInterval)))
		cancel()
		<-done
	})
}

// TestProofAgesDuringSuspension checks that the age of a proof includes the time for which the VM was suspended.
func TestProofAgesDuringSuspension(t *testing.T) {
	run(t, nil, func(poller *inforce.Poller, _ *platform, c *clock) {
		require.True(t, poller.CanAcceptKeys())
		c.suspended = revokedWithin
		require.False(t, poller.CanAcceptKeys())
	})
}

// TestFirstReadIsBegunAnew guards against VMs that start together and read a large configuration all at once: a read that
// is given up before it is complete has to be made again, and none of them serves.
func TestFirstReadIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &platform{delay: 2 * time.Second}
		source.version.Store(4)
		poller := inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin, IsZoneLeader: func() bool { return false },
		})
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		_ = poller.Run(ctx)
		require.NotNil(t, poller.Current())
	})
}

// TestPeerProofsReplaceReads checks that a VM that receives fresh proofs does not read the platform, that it reads a
// newer version at once, and that it ignores proofs for a version other than its own.
func TestPeerProofsReplaceReads(t *testing.T) {
	run(t, func() bool { return false }, func(poller *inforce.Poller, source *platform, c *clock) {
		readsBefore := source.reads.Load()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			poller.RecordProof(4, c.now()-boottime.Instant(time.Second))
			require.True(t, poller.CanAcceptKeys())
		}
		require.Equal(t, readsBefore, source.reads.Load())
		source.version.Store(6)
		poller.RecordProof(6, c.now())
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, uint64(6), poller.Current().Version)
		source.down.Store(true)
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			poller.RecordProof(5, c.now())
			poller.RecordProof(7, c.now())
		}
		require.False(t, poller.CanAcceptKeys(), "a proof for another version counts")
	})
}

// TestRetryDelayDependsOnRole counts reads while the platform is unavailable: the zone leader, which others rely on,
// retries after a short delay; the other VMs retry rarely, to limit the load on the platform.
func TestRetryDelayDependsOnRole(t *testing.T) {
	const outage = 10 * time.Second
	reads := func(isLeader bool) (count int64) {
		synctest.Test(t, func(t *testing.T) {
			source := &platform{}
			source.down.Store(true)
			poller := inforce.NewPoller(inforce.Options{
				Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin,
				IsZoneLeader: func() bool { return isLeader },
			})
			ctx, cancel := context.WithTimeout(context.Background(), outage)
			defer cancel()
			_ = poller.Run(ctx)
			count = source.reads.Load()
		})
		return count
	}
	require.Greater(t, reads(true), int64(50))
	require.LessOrEqual(t, reads(false), int64(20))
}

// TestKeysAreRefusedWhileTheFirstVersionIsAnnounced guards against a VM that is ready and refuses keys as unchecked until its first version has been announced.
func TestKeysAreRefusedWhileTheFirstVersionIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &platform{}
		source.version.Store(4)
		var poller *inforce.Poller
		accepted := make(chan bool, 1)
		poller = inforce.NewPoller(inforce.Options{
			Reader: source, Logger: log.New(io.Discard), InForceWithin: inForceWithin, RevokedWithin: revokedWithin,
			Now:     (&clock{started: time.Now()}).now,
			Changed: func(*policy.RouteTable) { accepted <- poller.CanAcceptKeys() },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go poller.Run(ctx)
		require.True(t, <-accepted)
		cancel()
		synctest.Wait()
	})
}
