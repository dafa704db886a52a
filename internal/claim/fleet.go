package claim

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxDirectVMs is the largest number of live entry VMs at which every VM writes claims
	// directly.
	DefaultMaxDirectVMs = 16
	// PlatformWritesPerSecond is the claim write rate to the platform that all entry VMs share.
	PlatformWritesPerSecond = 300.0
	// maxVMWritesPerSecond limits the claim writes of one VM. It is below the limit of the store
	// client.
	maxVMWritesPerSecond = DefaultWritesPerSecond
)

// shardAssignment assigns each shard to its batcher, the VM that usually writes it for all others. VMs
// may temporarily use different assignments: correctness depends only on the conditional updates.
type shardAssignment struct {
	self string
	// entryVMs holds the names of the live entry VMs.
	entryVMs []string
	// batchers holds the name of each shard's batcher. It is empty if every VM writes directly.
	batchers []string
}

// newShardAssignment selects each shard's batcher by rendezvous hashing over the live entry VMs, which
// include self. It assigns no batchers if there are at most maxDirect VMs.
func newShardAssignment(self string, entryVMs []string, shards, maxDirect int) *shardAssignment {
	a := &shardAssignment{self: self, entryVMs: slices.Clone(entryVMs)}
	if len(entryVMs) <= maxDirect {
		return a
	}
	for shard := range shards {
		a.batchers = append(a.batchers, selectBatcher(shardPrefix(shard), entryVMs))
	}
	return a
}

// selectBatcher returns the VM with the highest rendezvous hash for a shard.
func selectBatcher(prefix string, entryVMs []string) string {
	best, bestWeight := "", uint64(0)
	for _, vm := range entryVMs {
		weight := xxhash.Sum64String(prefix + vm)
		if best == "" || weight > bestWeight || (weight == bestWeight && vm > best) {
			best, bestWeight = vm, weight
		}
	}
	return best
}

// remoteBatcher returns the VM to which this VM forwards the shard's operations. It returns false if
// this VM writes the shard itself.
func (a *shardAssignment) remoteBatcher(shard int) (vm string, ok bool) {
	if len(a.batchers) == 0 || a.batchers[shard] == a.self {
		return "", false
	}
	return a.batchers[shard], true
}

// writesPerSecond returns this VM's share of the platform's write rate, at most maxVMWritesPerSecond. If
// there are batchers, they divide the rate among themselves. The other VMs write only if a batcher does
// not answer; each gets the share that it would have if every VM wrote.
func (a *shardAssignment) writesPerSecond() float64 {
	writers := max(1, len(a.entryVMs))
	if slices.Contains(a.batchers, a.self) {
		distinct := slices.Clone(a.batchers)
		slices.Sort(distinct)
		writers = len(slices.Compact(distinct))
	}
	return min(PlatformWritesPerSecond/float64(writers), maxVMWritesPerSecond)
}
