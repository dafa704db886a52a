package claim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func entryVMNames(count int) []string {
	var entries []string
	for i := range count {
		entries = append(entries, fmt.Sprintf("vm-%02d", i))
	}
	return entries
}

func TestBatchersExistOnlyAboveDirectLimit(t *testing.T) {
	_, remote := newShardAssignment("vm-00", entryVMNames(DefaultMaxDirectVMs), DefaultShards, DefaultMaxDirectVMs).remoteBatcher(0)
	require.False(t, remote)
	large := newShardAssignment("outside", entryVMNames(DefaultMaxDirectVMs+1), DefaultShards, DefaultMaxDirectVMs)
	for shard := range DefaultShards {
		_, remote = large.remoteBatcher(shard)
		require.True(t, remote)
	}
}

func TestRemovedVMOnlyReassignsItsOwnShards(t *testing.T) {
	entries := entryVMNames(40)
	before := newShardAssignment("outside", entries, DefaultShards, DefaultMaxDirectVMs)
	departed := before.batchers[0]
	var remaining []string
	for _, vm := range entries {
		if vm != departed {
			remaining = append(remaining, vm)
		}
	}
	after := newShardAssignment("outside", remaining, DefaultShards, DefaultMaxDirectVMs)
	for shard, vm := range before.batchers {
		if vm == departed {
			require.NotEqual(t, departed, after.batchers[shard])
		} else {
			require.Equal(t, vm, after.batchers[shard])
		}
	}
}

// TestWriteSharesStayWithinLimits checks that the write rates of the batchers stay within the platform's
// limit in total, and each VM's rate within its own limit.
func TestWriteSharesStayWithinLimits(t *testing.T) {
	for _, count := range []int{1, 9, 17, 48, 410} {
		entries := entryVMNames(count)
		batchers, total := 0, 0.0
		for _, vm := range entries {
			assignment := newShardAssignment(vm, entries, DefaultShards, DefaultMaxDirectVMs)
			share := assignment.writesPerSecond()
			require.LessOrEqual(t, share, float64(maxVMWritesPerSecond))
			if count <= DefaultMaxDirectVMs || share > PlatformWritesPerSecond/float64(count) {
				batchers++
				total += share
			}
		}
		require.Positive(t, batchers, "%d VMs", count)
		require.LessOrEqual(t, total, PlatformWritesPerSecond+1e-6)
	}
	require.Equal(t, float64(maxVMWritesPerSecond), newShardAssignment("vm-00", entryVMNames(1), DefaultShards, DefaultMaxDirectVMs).writesPerSecond())
}
