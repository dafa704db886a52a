package evacuation_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/evacuation"
	"godwitcart/internal/object/objecttest"
)

const (
	prefix = "zones/"
	// bound is the time until a zone in evacuation gets nothing more, where it is tight.
	bound = 5 * time.Second
)

// recorder records the changes of a Registry.
type recorder struct {
	mu      sync.Mutex
	changes [][]string
}

func (r *recorder) add(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, zones)
}

func (r *recorder) current() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == 0 {
		return nil
	}
	return r.changes[len(r.changes)-1]
}

func newRegistry() (*evacuation.Registry, *recorder) {
	changes := &recorder{}
	return evacuation.NewRegistry(evacuation.Options{Logger: log.New(io.Discard), Changed: changes.add}), changes
}

func TestNewestRevisionWins(t *testing.T) {
	now := time.Now()
	told := func(revision uint64, zones ...string) evacuation.State {
		return evacuation.State{Revision: revision, Zones: zones}
	}
	cases := map[string]struct {
		told []evacuation.State
		want []string
	}{
		"nothing":                     {nil, nil},
		"one":                         {[]evacuation.State{told(5, "a")}, []string{"a"}},
		"second zone":                 {[]evacuation.State{told(5, "a"), told(7, "a", "b")}, []string{"a", "b"}},
		"taken back":                  {[]evacuation.State{told(5, "a"), told(7)}, nil},
		"old word after it":           {[]evacuation.State{told(5, "a"), told(7), told(5, "a")}, nil},
		"old word without the zone":   {[]evacuation.State{told(5, "a"), told(4)}, []string{"a"}},
		"same revision says none":     {[]evacuation.State{told(5, "a"), told(5)}, []string{"a"}},
		"evacuated again":             {[]evacuation.State{told(5, "a"), told(7), told(9, "a")}, []string{"a"}},
		"other zone in its place":     {[]evacuation.State{told(5, "a"), told(7, "b")}, []string{"b"}},
		"one that knows of none ever": {[]evacuation.State{told(5, "a"), {}}, []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			registry, _ := newRegistry()
			for _, state := range c.told {
				registry.Hear("vm-2", state, now)
			}
			known, ever := registry.Known(now)
			require.Equal(t, c.want, known.Zones)
			require.Equal(t, len(c.told) > 0, ever)
			require.Len(t, registry.Status(now), len(c.want))
		})
	}
}

// fixture is a Follower that reads from a store in memory.
type fixture struct {
	t        *testing.T
	store    *objecttest.Store
	registry *evacuation.Registry
	changes  *recorder
	versions map[string]uint64
	isReader atomic.Bool
	isLeader atomic.Bool
	relaxed  *objecttest.Store
}

func run(t *testing.T, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: objecttest.NewStore(), relaxed: objecttest.NewStore(), versions: make(map[string]uint64)}
		f.isReader.Store(true)
		f.isLeader.Store(true)
		f.registry, f.changes = newRegistry()
		follower := evacuation.NewFollower(evacuation.FollowerOptions{
			Registry: f.registry, Store: f.store, Relaxed: f.relaxed, Prefix: prefix, Logger: log.New(io.Discard), Announce: func() {},
			ZoneOf: func(key string) (string, error) {
				if key == prefix+"bad" {
					return "", errors.New("no zone")
				}
				return key[len(prefix):], nil
			},
			IsReader: f.isReader.Load, IsZoneLeader: f.isLeader.Load,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follower.Run(ctx)
		}()
		synctest.Wait()
		require.True(t, follower.HasSynced())
		test(f)
		cancel()
		<-done
	})
}

func (f *fixture) put(zone string) {
	f.t.Helper()
	written, err := f.store.Put(context.Background(), prefix+zone, []byte("{}"), f.versions[zone])
	require.NoError(f.t, err)
	f.versions[zone] = written.Version
}

func (f *fixture) remove(zone string) {
	f.t.Helper()
	require.NoError(f.t, f.store.Delete(context.Background(), prefix+zone, f.versions[zone]))
	delete(f.versions, zone)
}

// requireAfter requires the zones to be in evacuation after the wait.
func (f *fixture) requireAfter(wait time.Duration, zones ...string) {
	f.t.Helper()
	time.Sleep(wait)
	synctest.Wait()
	known, _ := f.registry.Known(time.Now())
	require.Equal(f.t, zones, known.Zones)
	require.True(f.t, slices.Equal(zones, f.changes.current()))
}

func TestReaderFollowsStore(t *testing.T) {
	run(t, func(f *fixture) {
		_, ever := f.registry.Known(time.Now())
		require.False(t, ever)
		f.put("bad")
		f.put("a")
		f.requireAfter(0, "a")
		f.put("b")
		f.requireAfter(0, "a", "b")
		f.remove("a")
		f.requireAfter(0, "b")
	})
}

// TestStoreAway checks that what was known holds while the store is away, that a change then made comes with its return,
// and that a change heard from a peer is not taken back by the older reads of this VM.
func TestStoreAway(t *testing.T) {
	run(t, func(f *fixture) {
		f.put("a")
		f.requireAfter(0, "a")
		f.store.SetOutage(true)
		f.requireAfter(time.Minute, "a")
		known, _ := f.registry.Known(time.Now())
		f.registry.Hear("vm-2", evacuation.State{Revision: known.Revision + 1, Zones: []string{"a", "b"}}, time.Now())
		f.requireAfter(time.Minute, "a", "b")
		f.store.SetOutage(false)
		f.put("b")
		f.requireAfter(bound/2, "a", "b")
		f.remove("a")
		f.store.Compact()
		f.requireAfter(bound/2, "b")
	})
}

// TestEvacuationWaitsForRetryAfterSilentWatch guards against a VM that learns of an evacuation seconds late since its watch was on a
// connection that went silent. The calls after an outage stay rare.
func TestEvacuationWaitsForRetryAfterSilentWatch(t *testing.T) {
	const silence = 3 * time.Second
	run(t, func(f *fixture) {
		f.isLeader.Store(false)
		f.store.SilenceWatches(silence)
		f.put("a") // ends the first watch
		f.requireAfter(0, "a")
		watches := f.store.Count(objecttest.OpWatch)
		f.requireAfter(silence, "a")
		require.Equal(t, watches+1, f.store.Count(objecttest.OpWatch), "the watch is repeated at once")
		f.requireAfter(silence+3*time.Second, "a")
		require.Equal(t, watches+1, f.store.Count(objecttest.OpWatch), "the second failure is followed by a wait")
	})
}

// TestVMBecomesReader checks that a VM whose reader has fallen silent reads the store in time, though its relaxed watch has
// brought nothing.
func TestVMBecomesReader(t *testing.T) {
	run(t, func(f *fixture) {
		f.isReader.Store(false)
		f.put("other") // ends the watch of a reader
		f.requireAfter(0, "other")
		f.put("a")
		f.requireAfter(time.Second, "other")
		f.isReader.Store(true)
		f.requireAfter(bound/2, "a", "other")
	})
}

// TestOtherVMsCallSeldom bounds the calls of a VM on which no other relies, and checks that it reads in time once it has
// become the leader of its zone.
func TestOtherVMsCallSeldom(t *testing.T) {
	const away = time.Minute
	run(t, func(f *fixture) {
		calls := func() int { return f.store.Count(objecttest.OpWatch) + f.store.Count(objecttest.OpList) }
		f.isLeader.Store(false) // and all read, since none hears a reader
		f.store.SetOutage(true)
		before := calls()
		time.Sleep(away)
		require.LessOrEqual(t, calls()-before, int(away/(4*time.Second))+1)
		f.store.SetOutage(false)
		f.put("a")
		f.isLeader.Store(true)
		f.requireAfter(bound/2, "a")
	})
	run(t, func(f *fixture) {
		f.isReader.Store(false)
		f.put("other") // ends the watch of a reader
		f.requireAfter(0, "other")
		time.Sleep(10 * away)
		require.LessOrEqual(t, f.relaxed.Count(objecttest.OpWatch), int(10*away/(40*time.Second))+1)
	})
}
