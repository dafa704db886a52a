package platform

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"godwitcart/internal/wire/platformwire"
)

// vmTable is the list of VMs as it was a fixed lag ago.
// Invariant: versions are in the order of their times and never empty.
type vmTable struct {
	lag      time.Duration
	mu       sync.Mutex
	versions []vmVersion
}

type vmVersion struct {
	since time.Time
	byVM  map[string]platformwire.VM
}

func newVMTable(vms []platformwire.VM, lag time.Duration) *vmTable {
	byVM := make(map[string]platformwire.VM, len(vms))
	for _, vm := range vms {
		byVM[vm.Name] = vm
	}
	return &vmTable{lag: lag, versions: []vmVersion{{byVM: byVM}}}
}

// change applies edit to a copy of the newest version; readers see it after the lag.
func (t *vmTable) change(now time.Time, edit func(map[string]platformwire.VM)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(t.versions[len(t.versions)-1].byVM)
	edit(next)
	t.versions = append(t.versions, vmVersion{since: now, byVM: next})
}

// list returns the VMs as they were at now less the lag, sorted by name.
func (t *vmTable) list(now time.Time) platformwire.VMList {
	t.mu.Lock()
	defer t.mu.Unlock()
	visible := now.Add(-t.lag)
	for len(t.versions) > 1 && !t.versions[1].since.After(visible) {
		t.versions = t.versions[1:]
	}
	vms := slices.Collect(maps.Values(t.versions[0].byVM))
	sort.Slice(vms, func(i, j int) bool { return strings.Compare(vms[i].Name, vms[j].Name) < 0 })
	return platformwire.VMList{VMs: vms}
}
