package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerTarget is how many entry VMs probe one target.
const WatchersPerTarget = 2

// watchers returns the names of the entry VMs that probe the target, the first choice first, by
// rendezvous hashing over the entry VMs of the target's zone. Zones with too few entry VMs are
// helped out by others.
func watchers(target VM, entries []VM) []string {
	type ranked struct {
		name    string
		foreign bool
		weight  uint64
	}
	ranks := make([]ranked, 0, len(entries))
	for _, entry := range entries {
		weight := xxhash.Sum64String(target.Name + "\x00" + entry.Name)
		ranks = append(ranks, ranked{name: entry.Name, foreign: entry.Zone != target.Zone, weight: weight})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.foreign != b.foreign {
			return cmp.Compare(boolToInt(a.foreign), boolToInt(b.foreign))
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, WatchersPerTarget)
	for _, r := range ranks[:min(len(ranks), WatchersPerTarget)] {
		names = append(names, r.name)
	}
	return names
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// duties returns the targets that self probes, by the rank that self has for each of them.
func duties(self string, targets, entries []VM) map[string]int {
	serving := slices.DeleteFunc(slices.Clone(entries), func(vm VM) bool {
		return vm.State >= StateLeaving && vm.Name != self
	})
	watched := make(map[string]int)
	for _, target := range targets {
		if target.State == StateGone {
			continue
		}
		if rank := slices.Index(watchers(target, serving), self); rank >= 0 {
			watched[target.Name] = rank
		}
	}
	return watched
}
