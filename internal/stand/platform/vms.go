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

// laggedVMList is the VM list as it was a fixed lag ago.
// Invariant: snapshots is never empty and sorted by time.
type laggedVMList struct {
	lag       time.Duration
	mu        sync.Mutex
	snapshots []vmSnapshot
}

type vmSnapshot struct {
	since  time.Time
	byName map[string]platformwire.VM
}

func newLaggedVMList(vms []platformwire.VM, lag time.Duration) *laggedVMList {
	byName := make(map[string]platformwire.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	return &laggedVMList{lag: lag, snapshots: []vmSnapshot{{byName: byName}}}
}

// change applies edit to a copy of the newest snapshot. Readers see the result after the lag.
func (l *laggedVMList) change(now time.Time, edit func(map[string]platformwire.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.snapshots[len(l.snapshots)-1].byName)
	edit(next)
	l.snapshots = append(l.snapshots, vmSnapshot{since: now, byName: next})
}

// list returns the VMs as of now minus the lag, sorted by name.
func (l *laggedVMList) list(now time.Time) platformwire.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].since.After(asOf) {
		l.snapshots = l.snapshots[1:]
	}
	vms := slices.Collect(maps.Values(l.snapshots[0].byName))
	sort.Slice(vms, func(i, j int) bool { return strings.Compare(vms[i].Name, vms[j].Name) < 0 })
	return platformwire.VMList{VMs: vms}
}
