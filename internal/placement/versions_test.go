package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

func versioned(id, version string) roster.Target {
	target := engine(id, zoneA)
	target.Version = version
	return target
}

// TestFixedVersionLimitsEveryChoice checks that no way of choosing a target leaves the software version of a stream.
func TestFixedVersionLimitsEveryChoice(t *testing.T) {
	table := newTestTable("vm-1", 1, versioned("e1", "v1"), versioned("e2", "v2"), versioned("e3", "v2"), versioned("e4", "v2"))
	query := engineQuery(100)
	query.FixVersion("v1")
	for name, change := range map[string]func(*Query){
		"request": func(*Query) {}, "copy": func(q *Query) { q.Copy = true }, "move": func(q *Query) { q.Move = true },
	} {
		t.Run(name, func(t *testing.T) {
			chosen := query
			change(&chosen)
			for range 10 {
				lease, err := table.Pick(chosen, startTime)
				require.NoError(t, err)
				require.Equal(t, "e1", lease.Target.ID)
				lease.Done(Canceled, startTime)
			}
			_, usable := table.PickTarget(versioned("e2", "v2"), chosen, startTime)
			require.False(t, usable)
		})
	}
	require.True(t, table.HasUsableTarget(query, startTime))
	table.MarkLeaving(versioned("e1", "v1"))
	require.False(t, table.HasUsableTarget(query, startTime))
	_, err := table.Pick(query, startTime)
	require.True(t, apierror.Is(err, apierror.KindNotRun), "a stream whose version is gone is refused at once")
	_, err = table.Acquire(t.Context(), query, time.Minute)
	require.True(t, apierror.Is(err, apierror.KindNotRun))
}

// TestNewStreamsPreferVersionThatStays checks that new streams avoid the only engine of a version, and a version whose
// engines are leaving.
func TestNewStreamsPreferVersionThatStays(t *testing.T) {
	cases := map[string]struct {
		targets []roster.Target
		leaving []string
		want    string
	}{
		"first engine of a new version": {[]roster.Target{versioned("e1", "v1"), versioned("e2", "v1"), versioned("e3", "v2")}, nil, "v1"},
		"version that is replaced": {
			[]roster.Target{versioned("e1", "v1"), versioned("e2", "v1"), versioned("e3", "v1"), versioned("e4", "v2"), versioned("e5", "v2")}, []string{"e1"}, "v2",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, c.targets...)
			for _, id := range c.leaving {
				table.MarkLeaving(versioned(id, "v1"))
			}
			for range 10 {
				lease, err := table.Pick(engineQuery(100), startTime)
				require.NoError(t, err)
				require.Equal(t, c.want, lease.Target.Version)
				lease.Done(Canceled, startTime)
			}
		})
	}
}

// TestSoleVersion checks when a service counts as one that has had a single version.
func TestSoleVersion(t *testing.T) {
	table := newTestTable("vm-1", 1, versioned("e1", "v1"), versioned("e2", "v1"))
	version, found := table.SoleVersion(testService, startTime)
	require.True(t, found)
	require.Equal(t, "v1", version)
	table.ReplaceTargets(map[string]roster.Target{"e3": versioned("e3", "v2")}, startTime.Add(time.Minute))
	_, found = table.SoleVersion(testService, startTime.Add(2*time.Minute))
	require.False(t, found, "a stream may have begun at the version that is gone")
	version, found = table.SoleVersion(testService, startTime.Add(11*time.Minute))
	require.True(t, found)
	require.Equal(t, "v2", version)
	_, found = table.SoleVersion("other", startTime)
	require.False(t, found)
}

// TestContinuedStreamsGetTheLastCapacity guards against streams that are refused at the few engines of their version,
// which new streams have filled, while new streams begin at other versions.
func TestContinuedStreamsGetTheLastCapacity(t *testing.T) {
	table := newTestTable("vm-1", 1, versioned("e1", "v1"), versioned("e2", "v2"))
	fill := engineQuery(8000)
	fill.FixVersion("v1")
	_, err := table.Pick(fill, startTime)
	require.NoError(t, err)
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 2, PrefillTokens: 6000, MemoryTokens: 8800}}, startTime)
	query := engineQuery(2000)
	query.Excluded = []string{"e2"}
	_, err = table.Pick(query, startTime)
	require.True(t, apierror.Is(err, apierror.KindOverloaded))
	query.FixVersion("v1")
	_, err = table.Pick(query, startTime)
	require.NoError(t, err)
	_, err = table.Pick(query, startTime)
	require.True(t, apierror.Is(err, apierror.KindOverloaded), "memory that is not there is given out")
}

// TestStreamWaitingForItsVersionBlocksNobody guards against new streams that wait behind one whose version is full.
func TestStreamWaitingForItsVersionBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, versioned("e1", "v1"), versioned("e2", "v2"))
		bound := engineQuery(9000)
		bound.FixVersion("v1")
		holder, err := table.Acquire(t.Context(), bound, time.Second)
		require.NoError(t, err)
		waited := make(chan *Lease)
		go func() {
			lease, err := table.Acquire(t.Context(), engineQueryOfVersion(15000, "v1"), time.Minute)
			require.NoError(t, err)
			waited <- lease
		}()
		synctest.Wait()
		require.True(t, table.HasWaiting())
		started := time.Now()
		lease, err := table.Acquire(t.Context(), engineQuery(9000), time.Second)
		require.NoError(t, err)
		require.Equal(t, "v2", lease.Target.Version)
		require.Equal(t, started, time.Now())
		holder.Done(Answered, time.Now())
		require.Equal(t, "e1", (<-waited).Target.ID)
		require.False(t, table.HasWaiting())
	})
}

func engineQueryOfVersion(prompt int, version string) Query {
	query := engineQuery(prompt)
	query.FixVersion(version)
	return query
}
