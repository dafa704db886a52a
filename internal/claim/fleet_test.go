package claim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func entryNames(count int) []string {
	var entries []string
	for i := range count {
		entries = append(entries, fmt.Sprintf("vm-%02d", i))
	}
	return entries
}

func TestOnlyALargeFleetHasBatchers(t *testing.T) {
	_, other := newFleet("vm-00", entryNames(DefaultDirectFleet), DefaultShards, DefaultDirectFleet).batcher(0)
	require.False(t, other)
	large := newFleet("outside", entryNames(DefaultDirectFleet+1), DefaultShards, DefaultDirectFleet)
	for shard := range DefaultShards {
		_, other = large.batcher(shard)
		require.True(t, other)
	}
}

func TestADepartedVMMovesItsShardsOnly(t *testing.T) {
	entries := entryNames(40)
	before := newFleet("outside", entries, DefaultShards, DefaultDirectFleet)
	gone := before.batchers[0]
	var left []string
	for _, vm := range entries {
		if vm != gone {
			left = append(left, vm)
		}
	}
	after := newFleet("outside", left, DefaultShards, DefaultDirectFleet)
	for shard, vm := range before.batchers {
		if vm == gone {
			require.NotEqual(t, gone, after.batchers[shard])
		} else {
			require.Equal(t, vm, after.batchers[shard])
		}
	}
}

// The writes of all batchers stay within the platform's, and no VM has more than its store's client takes.
func TestWritesAreShared(t *testing.T) {
	for _, count := range []int{1, 9, 17, 48, 410} {
		entries := entryNames(count)
		batchers, total := 0, 0.0
		for _, vm := range entries {
			f := newFleet(vm, entries, DefaultShards, DefaultDirectFleet)
			share := f.writesPerSecond()
			require.LessOrEqual(t, share, float64(maxVMWrites))
			if count <= DefaultDirectFleet || share > PlatformWrites/float64(count) {
				batchers++
				total += share
			}
		}
		require.Positive(t, batchers, "%d VMs", count)
		require.LessOrEqual(t, total, PlatformWrites+1e-6)
	}
	require.Equal(t, float64(maxVMWrites), newFleet("vm-00", entryNames(1), DefaultShards, DefaultDirectFleet).writesPerSecond())
}
