package roster_test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
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

// listener keeps what it was told last.
type listener struct {
	targets map[string]roster.Target
	left    []string
}

// Listed implements roster.Listener.
func (l *listener) Listed(targets map[string]roster.Target) { l.targets = targets }

// Left implements roster.Listener.
func (l *listener) Left(target roster.Target) { l.left = append(l.left, target.ID) }

func (l *listener) usable() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		if !l.targets[id].Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

func decode(stored object.Object) (roster.Target, error) {
	var target roster.Target
	if err := json.Unmarshal(stored.Value, &target); err != nil {
		return target, errors.Wrap(err, "malformed")
	}
	target.ID = strings.TrimPrefix(stored.Key, prefix)
	return target, nil
}

// fixture is a follower on a store.
type fixture struct {
	t        *testing.T
	store    *objecttest.Store
	listener *listener
	follower *roster.Follower
	versions map[string]uint64
	// learnt are the targets that this VM would tell its peers of.
	learnt []string
}

func run(t *testing.T, closely func() bool, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: objecttest.NewStore(), listener: &listener{}, versions: make(map[string]uint64)}
		f.put("e1", roster.Target{StartedAt: 1})
		f.put("e2", roster.Target{StartedAt: 1})
		f.follower = roster.NewFollower(roster.Options{
			Store: f.store, Prefix: prefix, Decode: decode, Listener: f.listener, Logger: log.New(io.Discard), Close: closely,
			Learnt: func(target roster.Target) { f.learnt = append(f.learnt, target.ID) },
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

// settle lets time pass, and waits until nothing more happens at the end of it.
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

// TestChanges follows targets that come, leave, end and start again.
func TestChanges(t *testing.T) {
	run(t, nil, func(f *fixture) {
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		require.Equal(t, []string{"e1"}, f.listener.left)
		f.put("e1", roster.Target{StartedAt: 1})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable(), "a target that leaves is used again within its incarnation")
		f.put("e1", roster.Target{StartedAt: 2})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.remove("e2")
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.listener.usable())
	})
}

// TestMalformedEntry checks that an entry that cannot be read names no target, and that the others hold.
func TestMalformedEntry(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.write("e3", []byte("\x00\xff"))
		f.write("e1", []byte(`{"Zone": 7}`))
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
	})
}

// TestForgottenHistory has a target leave while the platform drops its history: the list is read again.
func TestForgottenHistory(t *testing.T) {
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

// TestOutage checks that the list holds while the platform is away, that entries which lapsed meanwhile are
// kept for the time in which live targets return, and that one still missing then is gone.
func TestOutage(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.store.SetOutage(true)
		f.settle(10 * time.Second)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.store.SetOutage(false)
		f.remove("e1")
		f.remove("e2")
		f.settle(time.Second)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		f.put("e1", roster.Target{StartedAt: 1})
		f.settle(3 * time.Second)
		require.Equal(t, []string{"e1"}, f.listener.usable())
	})
}

// TestHints checks that a VM that learns from peers takes their changes at once, and keeps to what it knows.
func TestHints(t *testing.T) {
	run(t, func() bool { return false }, func(f *fixture) {
		f.put("e3", roster.Target{StartedAt: 1})
		f.settle(100 * time.Millisecond)
		f.follower.Hint(roster.Target{ID: "e1", StartedAt: 1, Leaving: true})
		f.follower.Hint(roster.Target{ID: "e4", StartedAt: 1})
		f.follower.Hint(roster.Target{ID: "e5", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2", "e3", "e4"}, f.listener.usable())
		f.follower.Hint(roster.Target{ID: "e1", StartedAt: 1})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2", "e3", "e4"}, f.listener.usable(), "older word of a peer brings a target back")
	})
}

// TestHintsWhileThePlatformIsAway has peers tell of a target that leaves while this VM alone has lost the platform, and
// while its watch waits.
func TestHintsWhileThePlatformIsAway(t *testing.T) {
	run(t, nil, func(f *fixture) {
		f.settle(500 * time.Millisecond)
		f.follower.Hint(roster.Target{ID: "e2", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1"}, f.listener.usable())
		f.store.SetOutage(true)
		f.settle(3 * time.Second)
		f.follower.Hint(roster.Target{ID: "e1", StartedAt: 1, Leaving: true})
		f.settle(10 * time.Millisecond)
		require.Empty(t, f.listener.usable())
		require.Equal(t, []string{"e2", "e1"}, f.listener.left)
	})
}

// TestTellsChanges checks what a VM tells its peers: what has changed since its first list, which all have read.
func TestTellsChanges(t *testing.T) {
	run(t, nil, func(f *fixture) {
		require.Empty(t, f.learnt)
		f.put("e3", roster.Target{StartedAt: 1})
		f.settle(200 * time.Millisecond)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(200 * time.Millisecond)
		require.Equal(t, []string{"e3", "e1"}, f.learnt)
	})
}
