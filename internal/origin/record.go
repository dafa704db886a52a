// Package origin remembers, on several entry VMs, at which service and software version each resumable stream began, so
// that a caller can resume it at any VM.
//
// Invariants: a record never changes once it is made, so that any copy of it is right; a record that is lost costs a
// stream and never continues one at another version; the VMs that hold a record follow from the directory alone.
package origin

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// holderCount is the number of VMs that hold a record beside the one that serves the stream.
const holderCount = 3

// Record is where a stream began.
type Record struct {
	// Attempt is the id of the caller's attempt that brought the first event.
	Attempt string
	Service string
	Version string
	Account string
	// TTL is how long the record is kept.
	TTL time.Duration
}

// VM is an entry VM of the directory.
type VM struct{ Name, Zone string }

// Holders returns the names of the VMs that hold the attempt's record: the highest of each zone by a hash of the attempt
// and the VM, then the next ones, holderCount in all or fewer in a small fleet.
func Holders(attempt string, vms []VM) []string {
	ranked := make([]rankedVM, len(vms))
	for i, vm := range vms {
		ranked[i] = rankedVM{VM: vm, rank: rank(attempt, vm.Name)}
	}
	slices.SortFunc(ranked, func(a, b rankedVM) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name))
	})
	var holders, others []string
	zones := make(map[string]bool)
	for _, vm := range ranked {
		if zones[vm.Zone] {
			others = append(others, vm.Name)
			continue
		}
		zones[vm.Zone] = true
		holders = append(holders, vm.Name)
	}
	holders = append(holders, others...)
	return holders[:min(holderCount, len(holders))]
}

type rankedVM struct {
	VM
	rank uint64
}

func rank(attempt, vm string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(attempt)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(vm))
	// FNV barely mixes the last bytes into the upper bits, which order the VMs.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}
