package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
)

// TestTargetIsListedAgain guards against a target that gets no work any more after its entry lapsed and was written again, and
// against one that is taken for idle then though it still has the work of this VM.
func TestTargetIsListedAgain(t *testing.T) {
	returning := engine("e1", zoneA)
	for name, whileGone := range map[string]func(table *Table){
		"listed without it meanwhile": func(table *Table) { table.ReplaceTargets(nil, startTime.Add(time.Second)) },
		"gone and listed in one read": func(*Table) {},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, returning)
			running, err := table.Pick(engineQuery(15000), startTime)
			require.NoError(t, err)
			table.Withdraw(returning)
			require.True(t, table.IsLeaving(returning))
			_, err = table.Pick(engineQuery(100), startTime)
			require.Error(t, err)
			whileGone(table)
			listedAt := startTime.Add(2 * time.Second)
			table.ReplaceTargets(map[string]roster.Target{"e1": returning}, listedAt)
			require.False(t, table.IsLeaving(returning))
			_, err = table.Pick(engineQuery(15000), listedAt)
			require.Error(t, err, "the memory is in use")
			running.Done(Answered, listedAt)
			_, err = table.Pick(engineQuery(15000), listedAt)
			require.NoError(t, err)
		})
	}
}

// TestTargetThatSaidItLeavesIsListedAgain checks that what a target has said itself holds also if it is listed as serving.
func TestTargetThatSaidItLeavesIsListedAgain(t *testing.T) {
	leaving := engine("e1", zoneA)
	table := newTestTable("vm-1", 1, leaving)
	table.MarkLeaving(leaving)
	table.ReplaceTargets(map[string]roster.Target{"e1": leaving}, startTime.Add(time.Second))
	_, err := table.Pick(engineQuery(100), startTime.Add(time.Second))
	require.Error(t, err)
}
