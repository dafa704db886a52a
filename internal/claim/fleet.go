package claim

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultDirectFleet is the largest number of live entry VMs that all write claims themselves.
	DefaultDirectFleet = 16
	// PlatformWrites is what the claims of all entry VMs may write to the platform, per second.
	PlatformWrites = 300.0
	// maxVMWrites bounds the writes of one VM per second; it is below the limit of the store's client.
	maxVMWrites = DefaultWritesPerSec
)

// fleet says which VM usually writes each shard. VMs may see different fleets at the same time: the
// conditional update alone keeps the claims right.
type fleet struct {
	self string
	// entries holds the names of the live entry VMs.
	entries []string
	// batchers holds the name of each shard's batcher; it is empty when every VM writes for itself.
	batchers []string
}

// newFleet names the batcher of each shard by rendezvous hashing over the live entry VMs, of which
// self is one, unless they are at most direct.
func newFleet(self string, entries []string, shards, direct int) *fleet {
	f := &fleet{self: self, entries: slices.Clone(entries)}
	if len(entries) <= direct {
		return f
	}
	for shard := range shards {
		f.batchers = append(f.batchers, highest(shardPrefix(shard), entries))
	}
	return f
}

// highest returns the VM with the highest weight for a shard.
func highest(prefix string, entries []string) string {
	best, bestWeight := "", uint64(0)
	for _, vm := range entries {
		weight := xxhash.Sum64String(prefix + vm)
		if best == "" || weight > bestWeight || (weight == bestWeight && vm > best) {
			best, bestWeight = vm, weight
		}
	}
	return best
}

// batcher returns the other VM to which the shard's operations are handed over.
func (f *fleet) batcher(shard int) (vm string, other bool) {
	if len(f.batchers) == 0 || f.batchers[shard] == f.self {
		return "", false
	}
	return f.batchers[shard], true
}

// writesPerSecond returns the share of this VM in the platform's writes. A VM that is no batcher
// writes only when its batcher does not answer.
func (f *fleet) writesPerSecond() float64 {
	writers := max(1, len(f.entries))
	if slices.Contains(f.batchers, f.self) {
		names := slices.Clone(f.batchers)
		slices.Sort(names)
		writers = len(slices.Compact(names))
	}
	return min(PlatformWrites/float64(writers), maxVMWrites)
}
