package placement

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

// TestZoneInEvacuationGetsNothing checks each way on which a target gets work.
func TestZoneInEvacuationGetsNothing(t *testing.T) {
	plain := func() Query { return Query{Service: testService, Zone: zoneA} }
	with := func(change func(*Query)) Query {
		q := engineQuery(100)
		change(&q)
		return q
	}
	ways := map[string]Query{
		"generation":   engineQuery(100),
		"plain":        plain(),
		"urgent":       with(func(q *Query) { q.Priority = 0 }),
		"copy":         with(func(q *Query) { q.Copy = true }),
		"move":         with(func(q *Query) { q.Move = true }),
		"continuation": with(func(q *Query) { q.FixVersion("") }),
	}
	inA, inB := engine("e1", zoneA), engine("e2", zoneB)
	for name, query := range ways {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, inA, inB)
			emptied := table.SetEvacuations([]string{zoneA}, startTime).Emptied
			require.Equal(t, []roster.Target{inA}, emptied)
			for range 30 {
				lease, err := table.Pick(query, startTime)
				require.NoError(t, err)
				require.Equal(t, zoneB, lease.Target.Zone)
				lease.Done(Answered, startTime)
			}
			_, usable := table.PickTarget(inA, query, startTime)
			require.False(t, usable)
			_, usable = table.PickTarget(inB, query, startTime)
			require.True(t, usable)
			joined := engine("e3", zoneA) // listed after the zone was evacuated
			table.ReplaceTargets(map[string]roster.Target{joined.ID: joined}, startTime)
			require.False(t, table.HasUsableTarget(query, startTime))
			_, err := table.Pick(query, startTime)
			require.Error(t, err)
		})
	}
}

// TestReservedRequestIsNotSentIntoZoneInEvacuation checks that a request placed before is held back, also one that would
// lose its generation unless it was placed just before.
func TestReservedRequestIsNotSentIntoZoneInEvacuation(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	lease, err := table.Pick(engineQuery(100), startTime)
	require.NoError(t, err)
	require.NoError(t, lease.CheckLapsed(startTime))
	table.SetEvacuations([]string{zoneA}, startTime)
	require.Error(t, lease.CheckLapsed(startTime))
	require.NoError(t, lease.CheckEvacuated(startTime.Add(100*time.Millisecond)))
	require.Error(t, lease.CheckEvacuated(startTime.Add(maxSendDelay+time.Millisecond)))
	_, evacuated := table.EvacuatedSince(lease.Target)
	require.True(t, evacuated)
	require.True(t, table.IsEvacuated("e1:1"))
}

// TestNoZoneLeftRefusesAtOnce checks that a request neither waits in the queue nor joins it when only targets of zones in
// evacuation could take it, and that its refusal says that it did not run.
func TestNoZoneLeftRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneB))
		for _, id := range []string{"e1", "e2"} {
			table.SetPeerLoads(Sender{VM: id, Zone: zoneA}, map[string]Load{id: {Requests: 24, MemoryTokens: 20000}}, time.Now())
		}
		refused := make(chan error)
		go func() {
			_, err := table.Acquire(context.Background(), engineQuery(3000), time.Second)
			refused <- err
		}()
		synctest.Wait()
		startedAt := time.Now()
		table.SetEvacuations([]string{zoneA, zoneB}, time.Now())
		waiting := <-refused
		_, joining := table.Acquire(context.Background(), engineQuery(3000), time.Second)
		for _, err := range []error{waiting, joining} {
			require.True(t, apierror.Is(err, apierror.KindNotRun), err)
			require.Positive(t, apierror.FromError(err).RetryAfter)
			require.ErrorContains(t, err, "evacuation")
		}
		require.Less(t, time.Since(startedAt), 50*time.Millisecond)
	})
}

// TestZoneTakenBackIsNotOverrun answers the load of a zone that is taken back: all VMs have requests and see the same
// empty engines. They must return spread out, each once its own wait is over, and none before the entry is removed.
func TestZoneTakenBackIsNotOverrun(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, count := range []int{9, 83, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			first := make(map[time.Duration]int)
			for i := range count {
				table := newTestTable(fmt.Sprint("vm-", i), uint64(i), engine("e1", zoneA))
				table.SetEvacuations([]string{zoneA}, startTime)
				table.SetEvacuations([]string{zoneA}, startTime.Add(time.Hour)) // silence and time end nothing
				require.False(t, table.HasUsableTarget(engineQuery(100), startTime.Add(time.Hour)))
				backAt := startTime.Add(time.Hour)
				change := table.SetEvacuations(nil, backAt)
				require.Empty(t, change.Emptied)
				require.Equal(t, []string{zoneA}, change.TakenBack)
				returnsIn := change.ReturnsIn
				require.LessOrEqual(t, returnsIn, returnSpread)
				require.True(t, table.HasUsableTarget(engineQuery(100), backAt.Add(returnsIn)))
				first[returnsIn.Truncate(step)]++
			}
			for at, n := range first {
				require.LessOrEqual(t, n, max(4, count/8), "VMs that return %v after the zone was taken back", at)
			}
		})
	}
}
