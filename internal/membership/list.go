package membership

import (
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/wire/platformwire"
)

const (
	// unlistedRetention is how long a VM is kept after it has disappeared from the list.
	unlistedRetention = 10 * time.Minute
	// maxListChanges bounds the list changes sent to peers at once. Larger changes are not propagated; every VM
	// learns them from its own reading of the list.
	maxListChanges = 256
)

// listState is the current list: this VM's last reading and the changes that peers have read since.
type listState struct {
	// mu serializes changes of the list.
	mu  sync.Mutex
	vms map[string]platformwire.VM
	// peerReportedAt is when a peer last reported a VM as added or changed, by name.
	peerReportedAt map[string]time.Time
	// pendingChanges are the changes that have not yet been sent to peers.
	pendingChanges *peerpb.ListNews
}

// ApplyList applies this VM's reading of the platform's list. It adds VMs, marks them as leaving and removes them, but
// confirms none, because the list lags behind. Changes since the last reading are kept for TakeListChanges. An empty
// list is rejected as a platform failure.
func (d *Directory) ApplyList(list platformwire.VMList, now time.Time) error {
	if len(list.VMs) == 0 {
		return apierror.New(apierror.KindUnavailable, "the platform's list of VMs is empty", "the last list stays in force; check the platform")
	}
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	vms := make(map[string]platformwire.VM, len(list.VMs))
	for _, vm := range list.VMs {
		vms[vm.Name] = vm
	}
	d.list.keepPeerReported(vms, now)
	if d.list.vms != nil {
		d.list.pendingChanges = appendListChanges(d.list.pendingChanges, d.list.vms, vms)
	}
	d.setList(vms, now)
	return nil
}

// keepPeerReported adds VMs that a peer reported within listLag, because this reading may be older than the peer's.
func (l *listState) keepPeerReported(vms map[string]platformwire.VM, now time.Time) {
	for name, at := range l.peerReportedAt {
		if now.Sub(at) >= listLag {
			delete(l.peerReportedAt, name)
			continue
		}
		if _, listed := vms[name]; !listed {
			vms[name] = l.vms[name]
		}
	}
}

// appendListChanges adds the differences between two lists to changes, which may be nil. It returns nil if there are
// none in total, or more than maxListChanges.
func appendListChanges(changes *peerpb.ListNews, before, after map[string]platformwire.VM) *peerpb.ListNews {
	if changes == nil {
		changes = &peerpb.ListNews{}
	}
	for name, vm := range after {
		if before[name] != vm {
			changes.Listed = append(changes.Listed, listedVMMessage(vm))
		}
	}
	for name := range before {
		if _, listed := after[name]; !listed {
			changes.Removed = append(changes.Removed, name)
		}
	}
	count := len(changes.Listed) + len(changes.Removed)
	if count == 0 || count > maxListChanges {
		return nil
	}
	return changes
}

func listedVMMessage(vm platformwire.VM) *peerpb.ListedVM {
	return &peerpb.ListedVM{
		Name: vm.Name, Role: vm.Role, Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
		Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress, Leaving: vm.Leaving,
	}
}

// TakeListChanges returns and clears the list changes that this VM has read since the last call and should send to
// its peers, or nil.
func (d *Directory) TakeListChanges() *peerpb.ListNews {
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	changes := d.list.pendingChanges
	d.list.pendingChanges = nil
	return changes
}

// MergeListChanges applies list changes read by a peer. They are ignored before this VM's first reading, or if there
// are more than maxListChanges.
func (d *Directory) MergeListChanges(changes *peerpb.ListNews, now time.Time) {
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	if d.list.vms == nil || changes == nil || len(changes.Listed)+len(changes.Removed) > maxListChanges {
		return
	}
	vms := make(map[string]platformwire.VM, len(d.list.vms))
	for name, vm := range d.list.vms {
		vms[name] = vm
	}
	for _, vm := range changes.Listed {
		vms[vm.Name] = platformwire.VM{
			Name: vm.Name, Role: vm.Role, Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
			Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress, Leaving: vm.Leaving,
		}
		d.list.peerReportedAt[vm.Name] = now
	}
	for _, name := range changes.Removed {
		delete(vms, name)
		delete(d.list.peerReportedAt, name)
	}
	d.setList(vms, now)
}

// setList makes vms the current list. The caller holds d.list.mu.
func (d *Directory) setList(vms map[string]platformwire.VM, now time.Time) {
	d.list.vms = vms
	// Subscribers are notified of pending changes too, because Gossip sends them to the peers when it is notified.
	changed := d.list.pendingChanges != nil
	for _, vm := range vms {
		changed = d.applyListedVM(vm, now) || changed
	}
	changed = d.unlistAbsent(vms, now) || changed
	d.index.Store(newListIndex(vms))
	if changed {
		d.notify()
	}
}

func (d *Directory) applyListedVM(vm platformwire.VM, now time.Time) bool {
	s := d.shard(vm.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[vm.Name]
	if e == nil {
		e = &entry{}
		s.entries[vm.Name] = e
	}
	return e.applyList(vmFromList(vm), vm.Leaving, now)
}

func vmFromList(vm platformwire.VM) VM {
	return VM{
		Name: vm.Name, Role: Role(vm.Role), Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
		Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress,
	}
}

// unlistAbsent marks VMs that are absent from the list as gone, and deletes those that have been gone for longer than
// unlistedRetention. It reports whether the state of a VM changed.
func (d *Directory) unlistAbsent(vms map[string]platformwire.VM, now time.Time) bool {
	changed := false
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			if _, listed := vms[name]; listed {
				continue
			}
			changed = e.unlist(now) || changed
			if now.Sub(e.changedAt) > unlistedRetention {
				delete(s.entries, name)
			}
		}
		s.mu.Unlock()
	}
	return changed
}
