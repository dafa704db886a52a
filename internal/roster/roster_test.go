package roster_test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/roster"
)

const prefix = "targets/"

// listener records the calls of a Follower.
type listener struct {
	mu      sync.Mutex
	targets map[string]roster.Target
	leaving []string
}

// TargetsListed implements roster.Listener.
func (l *listener) TargetsListed(targets map[string]roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

// TargetLeaving implements roster.Listener.
func (l *listener) TargetLeaving(target roster.Target) { l.leaving = append(l.leaving, target.ID) }

// TargetGone implements roster.Listener.
func (l *listener) TargetGone(target roster.Target) { l.leaving = append(l.leaving, target.ID) }

func (l *listener) usable() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		if !l.targets[id].Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

func (l *listener) isMissing(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets[id].Missing
}

func decode(stored object.Object) (roster.Target, error) {
	var target roster.Target
	if err := json.Unmarshal(stored.Value, &target); err != nil {
		return target, errors.Wrap(err, "malformed")
	}
	target.ID = strings.TrimPrefix(stored.Key, prefix)
	if target.StartedAt < 0 {
		return target, errors.Mark(errors.New("no start"), roster.ErrUnknownStart)
	}
	return target, nil
}

// fixture is a Follower that reads from a store in memory.
type fixture struct {
	t        *testing.T
	store    *objecttest.Store
	listener *listener
	follower *roster.Follower
	versions map[string]uint64
	// announced are the targets whose changes this VM would send to its peers.
	announced []string
	// colds are the targets that were said to be cold.
	colds []string
}

func run(t *testing.T, isReader func() bool, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: objecttest.NewStore(), listener: &listener{}, versions: make(map[string]uint64)}
		f.put("e1", roster.Target{StartedAt: 1})
		f.put("e2", roster.Target{StartedAt: 1})
		f.follower = roster.NewFollower(roster.Options{
			Store: f.store, Prefix: prefix, Decode: decode, Listener: f.listener, Logger: log.New(io.Discard), IsReader: isReader,
			TargetChanged: func(target roster.Target) { f.announced = append(f.announced, target.ID) },
			TargetCold:    func(target roster.Target) bool { f.colds = append(f.colds, target.ID); return true },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.follower.Run(ctx)
		}()
		f.settle(0)
		test(f)
		cancel()
		<-done
	})
}

// settle advances the time and then waits until all goroutines are blocked.
func (f *fixture) settle(wait time.Duration) {
	time.Sleep(wait)
	synctest.Wait()
}

func (f *fixture) put(id string, target roster.Target) {
	f.t.Helper()
	value, err := json.Marshal(target)
	require.NoError(f.t, err)
	f.write(id, value)
}

func (f *fixture) write(id string, value []byte) {
	f.t.Helper()
	written, err := f.store.Put(context.Background(), prefix+id, value, f.versions[id])
	require.NoError(f.t, err)
	f.versions[id] = written.Version
}

func (f *fixture) remove(id string) {
	f.t.Helper()
	require.NoError(f.t, f.store.Delete(context.Background(), prefix+id, f.versions[id]))
	delete(f.versions, id)
}

// TestTargetLifecycle checks that the usable targets follow starts, drains, removals and restarts.
func TestTargetLifecycle(t *testing.T) {
	run(t, nil, func(f *fixture) {
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		require.Equal(t, []string{"e1"}, f.listener.leaving)
		f.put("e1", roster.Target{StartedAt: 1})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable(), "a leaving target is used again within its incarnation")
		f.put("e1", roster.Target{StartedAt: 2})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.remove("e2")
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.listener.usable())
	})
}

// TestMalformedEntry checks that a malformed entry makes its target unusable and does not affect others.
func TestMalformedEntry(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.write("e3", []byte("\x00\xff"))
		f.write("e1", []byte(`{"Zone": 7}`))
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
	})
}

// TestEntryWithoutStartIsNoNewIncarnation checks that an entry that does not say when its target started neither drops the
// known target nor makes a new one of one that is leaving.
func TestEntryWithoutStartIsNoNewIncarnation(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(200 * time.Millisecond)
		for _, id := range []string{"e1", "e2", "e3"} {
			f.write(id, []byte(`{"StartedAt": -1}`))
		}
		f.settle(200 * time.Millisecond)
		f.put("e1", roster.Target{})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		require.Equal(t, int64(1), f.listener.targets["e1"].StartedAt)
		require.Equal(t, []string{"e1"}, f.listener.leaving)
	})
}

// TestCompactedHistoryIsRelisted checks that the list is read again if the platform has dropped the history of the
// changes since the last watch, here of a target that started to leave.
func TestCompactedHistoryIsRelisted(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.store.SetOutage(true)
		f.settle(300 * time.Millisecond)
		f.store.SetOutage(false)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.store.Compact()
		f.settle(time.Second)
		require.Equal(t, []string{"e2"}, f.listener.usable())
	})
}

// TestOutageMakesVMsListAgain guards against a list of several pages for each failed call of each VM during an outage, and
// after it: what has changed meanwhile comes with the next watch.
func TestOutageMakesVMsListAgain(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.settle(time.Second)
		listed := f.store.Count(objecttest.OpList)
		f.store.SetOutage(true)
		f.settle(8 * time.Second)
		f.store.SetOutage(false)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(2 * time.Second)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		require.Equal(t, listed, f.store.Count(objecttest.OpList))
	})
}

// TestVMThatBecomesReaderEndsItsRelaxedWatch guards against a reader whose list is seconds old, since the watch that it
// began before may return old answers.
func TestVMThatBecomesReaderEndsItsRelaxedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isReader atomic.Bool
		current, stale := objecttest.NewStore(), objecttest.NewStore()
		value, err := json.Marshal(roster.Target{StartedAt: 1})
		require.NoError(t, err)
		written, err := current.Put(context.Background(), prefix+"e1", value, 0)
		require.NoError(t, err)
		recorded := &listener{}
		follower := roster.NewFollower(roster.Options{
			Store: current, Relaxed: stale, Prefix: prefix, Decode: decode, Listener: recorded, Logger: log.New(io.Discard), IsReader: isReader.Load,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		isReader.Store(true)
		require.NoError(t, current.Delete(context.Background(), prefix+"e1", written.Version))
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Empty(t, recorded.usable())
		cancel()
		<-done
	})
}

// TestChangeWaitsForRetryAfterSilentWatch guards against a VM that learns of a change seconds late since its watch was on a connection
// that went silent. The calls after an outage stay rare.
func TestChangeWaitsForRetryAfterSilentWatch(t *testing.T) {
	const silence = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: objecttest.NewStore(), listener: &listener{}, versions: make(map[string]uint64)}
		f.put("e1", roster.Target{StartedAt: 1})
		f.store.SilenceWatches(silence)
		follower := roster.NewFollower(roster.Options{
			Store: f.store, Prefix: prefix, Decode: decode, Listener: f.listener, Logger: log.New(io.Discard), IsZoneLeader: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = follower.Run(ctx) }()
		f.settle(time.Second)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(silence - time.Second)
		require.Equal(t, 2, f.store.Count(objecttest.OpWatch), "the watch is repeated at once")
		f.settle(silence + 500*time.Millisecond)
		require.Equal(t, 2, f.store.Count(objecttest.OpWatch), "the second failure is followed by a wait")
		f.store.SetFaults(nil)
		f.settle(2 * time.Second)
		require.Empty(t, f.listener.usable())
		cancel()
		<-done
	})
}

// TestRemovalsAreDeferredAfterOutage checks that targets stay usable during an outage of the platform, that those
// whose entries expired meanwhile stay for as long as live targets need to register again, and that those still
// missing after that are removed.
func TestRemovalsAreDeferredAfterOutage(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.store.SetOutage(true)
		f.settle(10 * time.Second)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.store.SetOutage(false)
		f.remove("e1")
		f.remove("e2")
		f.settle(time.Second)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		require.True(t, f.listener.isMissing("e1"))
		f.put("e1", roster.Target{StartedAt: 1})
		f.settle(time.Second)
		require.False(t, f.listener.isMissing("e1"))
		require.True(t, f.listener.isMissing("e2"))
		f.settle(2 * time.Second)
		require.Equal(t, []string{"e1"}, f.listener.usable())
	})
}

// TestPeerChanges checks that a VM that is not a reader applies peers' changes at once and ignores outdated ones.
func TestPeerChanges(t *testing.T) {
	run(t, func() bool { return false }, func(f *fixture) {
		f.put("e3", roster.Target{StartedAt: 1})
		f.settle(100 * time.Millisecond)
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1, Leaving: true})
		f.follower.QueuePeerChange(roster.Target{ID: "e4", StartedAt: 1})
		f.follower.QueuePeerChange(roster.Target{ID: "e5", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2", "e3", "e4"}, f.listener.usable())
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2", "e3", "e4"}, f.listener.usable(), "an outdated change of a peer makes a target usable again")
	})
}

// TestColdTargets checks that a known incarnation which becomes cold again is noticed and announced by the reader, and that
// what was said before does not make a target cold a second time, however late it is heard.
func TestColdTargets(t *testing.T) {
	cold := roster.Target{StartedAt: 1, WarmupRemaining: time.Second}
	run(t, nil, func(f *fixture) {
		f.put("e1", cold)
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.colds)
		require.Equal(t, []string{"e1"}, f.announced)
		f.store.SetOutage(true)
		f.settle(300 * time.Millisecond)
		f.store.SetOutage(false)
		f.put("e2", roster.Target{StartedAt: 1, Leaving: true})
		f.store.Compact()
		f.settle(time.Second)
		require.Equal(t, []string{"e1"}, f.listener.usable(), "the list was not read again")
		require.Equal(t, []string{"e1"}, f.colds)
		f.put("e1", cold)
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1", "e1"}, f.colds)
	})
	run(t, func() bool { return false }, func(f *fixture) {
		heard := cold
		heard.ID, heard.Revision = "e1", 100
		f.follower.QueuePeerChange(heard)
		f.follower.QueuePeerChange(heard)
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.colds, "a repeated word counts twice")
		f.put("e1", cold)
		f.settle(10 * time.Second)
		require.Equal(t, []string{"e1"}, f.colds, "the entry itself, read late, counts as new")
		heard.Revision = 0
		f.follower.QueuePeerChange(heard)
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.colds, "a word without a date counts as new")
		heard.Revision = 101
		f.follower.QueuePeerChange(heard)
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1", "e1"}, f.colds)
		require.Empty(t, f.announced)
	})
}

// TestIncarnationKeepsItsVersion guards against a digest that names the version of the next incarnation, or none, for a
// target that streams are about to leave.
func TestIncarnationKeepsItsVersion(t *testing.T) {
	run(t, func() bool { return false }, func(f *fixture) {
		f.put("e1", roster.Target{StartedAt: 2, Version: "v1"})
		f.settle(100 * time.Millisecond)
		for _, version := range []string{"v2", ""} {
			f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 2, Version: version, Leaving: true})
			f.settle(10 * time.Millisecond)
			require.Equal(t, "v1", f.listener.targets["e1"].Version)
		}
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 3, Version: "v2"})
		f.settle(10 * time.Millisecond)
		require.Equal(t, "v2", f.listener.targets["e1"].Version)
	})
}

// TestPeerChangesDuringPlatformOutage checks that changes of peers are applied while a watch is blocked, and while
// only this VM cannot reach the platform.
func TestPeerChangesDuringPlatformOutage(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.settle(500 * time.Millisecond)
		f.follower.QueuePeerChange(roster.Target{ID: "e2", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.listener.usable())
		f.store.SetOutage(true)
		f.settle(3 * time.Second)
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Empty(t, f.listener.usable())
		require.Equal(t, []string{"e2", "e1"}, f.listener.leaving)
	})
}

// TestAnnouncesChangesAfterFirstList checks that a VM announces only changes since its first list. Its peers read that
// list themselves.
func TestAnnouncesChangesAfterFirstList(t *testing.T) {
	run(t, nil, func(f *fixture) {
		require.Empty(t, f.announced)
		f.put("e3", roster.Target{StartedAt: 1})
		f.settle(200 * time.Millisecond)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e3", "e1"}, f.announced)
	})
}
