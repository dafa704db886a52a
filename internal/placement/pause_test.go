package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
)

// TestVMsReturnTogetherAfterPause guards against a target that is overrun at the end of the pause it asked for: VMs that
// were turned away at the same moment, each with requests all the time, must come back spread out, one request at a time.
func TestVMsReturnTogetherAfterPause(t *testing.T) {
	const (
		pause = 2 * time.Second
		step  = 10 * time.Millisecond
	)
	for _, count := range []int{9, 70, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			only := engine("e1", zoneA)
			tables := make([]*Table, count)
			for i := range tables {
				tables[i] = newTestTable(fmt.Sprint("vm-", i), uint64(i), only)
				tables[i].Pause(only, pause, startTime)
			}
			arrivals := make(map[time.Duration]int)
			for at := time.Duration(0); at < pause+probeInterval; at += step {
				for _, table := range tables {
					if lease, err := table.Pick(engineQuery(100), startTime.Add(at)); err == nil {
						lease.Done(Refused, startTime.Add(at))
						arrivals[at]++
					}
				}
			}
			total, most := 0, 0
			for at, n := range arrivals {
				require.GreaterOrEqual(t, at, pause, "a request before the end")
				total += n
				most = max(most, n)
			}
			require.LessOrEqual(t, total, 2*count, "requests that were not answered")
			require.GreaterOrEqual(t, total, count)
			require.LessOrEqual(t, most, max(3, count/10), "requests in one step of %v", step)
		})
	}
}

// TestShorterPauseAndLateAnswerKeepThePause checks that a pause is ended neither by a shorter one nor by the answer to an
// earlier request, and that a target which disappears from the list for a moment keeps it.
func TestShorterPauseAndLateAnswerKeepThePause(t *testing.T) {
	busy := engine("e1", zoneA)
	table := newTestTable("vm-1", 1, busy)
	earlier, err := table.Pick(engineQuery(100), startTime)
	require.NoError(t, err)
	table.Pause(busy, 3*time.Second, startTime)
	table.Pause(busy, time.Second, startTime)
	earlier.FirstEvent(startTime.Add(time.Second))
	earlier.Done(Answered, startTime.Add(time.Second))
	table.ReplaceTargets(nil, startTime.Add(time.Second))
	table.ReplaceTargets(map[string]roster.Target{"e1": busy}, startTime.Add(1500*time.Millisecond))
	_, err = table.Pick(engineQuery(100), startTime.Add(2900*time.Millisecond))
	require.Error(t, err)
	_, err = table.Pick(engineQuery(100), startTime.Add(4*time.Second))
	require.NoError(t, err)
}

// TestCopiesKeepRequestsFromPausedTarget guards against a target that stays unused after its pause: reservations for copies,
// which bring no answer, took the place of the one request a second that would end it.
func TestCopiesKeepRequestsFromPausedTarget(t *testing.T) {
	busy := engine("e1", zoneA)
	table := newTestTable("vm-1", 1, busy)
	table.Pause(busy, time.Second, startTime)
	ended := startTime.Add(1500 * time.Millisecond)
	backup := engineQuery(100)
	backup.Copy = true
	_, err := table.Pick(backup, ended)
	require.Error(t, err)
	lease, err := table.Pick(engineQuery(100), ended)
	require.NoError(t, err)
	lease.FirstEvent(ended)
	_, err = table.Pick(backup, ended)
	require.NoError(t, err)
}
