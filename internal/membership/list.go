package membership

import (
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/wire/platformwire"
)

const (
	// forgetAfter is how long a VM that the list no longer names is remembered.
	forgetAfter = 10 * time.Minute
	// maxNews bounds what is told of one reading; after larger changes every VM waits for its own.
	maxNews = 256
)

// listState is the list in force: the last reading, and what peers have read since.
type listState struct {
	// mu serialises changes of the list.
	mu  sync.Mutex
	vms map[string]platformwire.VM
	// told is when a peer told of a VM.
	told map[string]time.Time
	// news waits to be told to peers.
	news *peerpb.ListNews
}

// ApplyList takes this VM's reading of the platform's list. The list lags, so it adds VMs, marks them
// as leaving and drops them, but it confirms none. An empty list is refused as a fault of the platform.
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
	d.list.keepTold(vms, now)
	if d.list.vms != nil {
		d.list.news = appendNews(d.list.news, d.list.vms, vms)
	}
	d.adopt(vms, now)
	return nil
}

// keepTold adds VMs that a peer told of a moment ago: the reading may have begun before the peer's.
func (l *listState) keepTold(vms map[string]platformwire.VM, now time.Time) {
	for name, at := range l.told {
		if now.Sub(at) >= listLag {
			delete(l.told, name)
			continue
		}
		if _, read := vms[name]; !read {
			vms[name] = l.vms[name]
		}
	}
}

// appendNews adds what changed from one list to the next.
func appendNews(news *peerpb.ListNews, before, after map[string]platformwire.VM) *peerpb.ListNews {
	if news == nil {
		news = &peerpb.ListNews{}
	}
	for name, vm := range after {
		if before[name] != vm {
			news.Listed = append(news.Listed, listedMessage(vm))
		}
	}
	for name := range before {
		if _, listed := after[name]; !listed {
			news.Removed = append(news.Removed, name)
		}
	}
	count := len(news.Listed) + len(news.Removed)
	if count == 0 || count > maxNews {
		return nil
	}
	return news
}

func listedMessage(vm platformwire.VM) *peerpb.ListedVM {
	return &peerpb.ListedVM{
		Name: vm.Name, Role: vm.Role, Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
		Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress, Leaving: vm.Leaving,
	}
}

// TakeNews returns what this VM has read in the list since the last call and should tell its peers,
// or nil.
func (d *Directory) TakeNews() *peerpb.ListNews {
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	news := d.list.news
	d.list.news = nil
	return news
}

// MergeNews takes what a peer has read in the list. Nothing counts before this VM's first reading.
func (d *Directory) MergeNews(news *peerpb.ListNews, now time.Time) {
	d.list.mu.Lock()
	defer d.list.mu.Unlock()
	if d.list.vms == nil || news == nil || len(news.Listed)+len(news.Removed) > maxNews {
		return
	}
	vms := make(map[string]platformwire.VM, len(d.list.vms))
	for name, vm := range d.list.vms {
		vms[name] = vm
	}
	for _, vm := range news.Listed {
		vms[vm.Name] = platformwire.VM{
			Name: vm.Name, Role: vm.Role, Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
			Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress, Leaving: vm.Leaving,
		}
		d.list.told[vm.Name] = now
	}
	for _, name := range news.Removed {
		delete(vms, name)
		delete(d.list.told, name)
	}
	d.adopt(vms, now)
}

// adopt puts the list in force. The caller holds the list's lock.
func (d *Directory) adopt(vms map[string]platformwire.VM, now time.Time) {
	d.list.vms = vms
	changed := d.list.news != nil
	for _, vm := range vms {
		changed = d.applyListed(vm, now) || changed
	}
	changed = d.unlistOthers(vms, now) || changed
	d.layout.Store(newLayout(vms))
	if changed {
		d.notify()
	}
}

func (d *Directory) applyListed(vm platformwire.VM, now time.Time) bool {
	s := d.shard(vm.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[vm.Name]
	if e == nil {
		e = &entry{}
		s.entries[vm.Name] = e
	}
	return e.applyList(fromList(vm), vm.Leaving, now)
}

func fromList(vm platformwire.VM) VM {
	return VM{
		Name: vm.Name, Role: Role(vm.Role), Region: vm.Region, Zone: vm.Zone, Service: vm.Service,
		Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: vm.AdminAddress,
	}
}

// unlistOthers takes it that VMs outside the list have left, and forgets those that left long ago.
func (d *Directory) unlistOthers(vms map[string]platformwire.VM, now time.Time) bool {
	changed := false
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			if _, listed := vms[name]; listed {
				continue
			}
			changed = e.unlist(now) || changed
			if now.Sub(e.changedAt) > forgetAfter {
				delete(s.entries, name)
			}
		}
		s.mu.Unlock()
	}
	return changed
}
