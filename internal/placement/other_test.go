package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOtherTargetTakesWork guards against copies of stopped runs that are sent to a target which is leaving, or back to their source.
func TestOtherTargetTakesWork(t *testing.T) {
	source := engine("e1", zoneA)
	table := newTestTable("vm-1", 1, source, engine("e2", zoneA), engine("e3", zoneB))
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e2": {Requests: 1, MemoryTokens: 3000}}, startTime)
	other, found := table.OtherTarget(testService, source, startTime)
	require.True(t, found)
	require.Equal(t, "e3", other.ID, "it holds the fewest tokens")
	table.MarkLeaving(engine("e3", zoneB))
	other, found = table.OtherTarget(testService, source, startTime)
	require.True(t, found)
	require.Equal(t, "e2", other.ID)
	_, found = table.OtherTarget("unknown", source, startTime)
	require.False(t, found)
}
