package membership

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

// FreshFor is how long a confirmation lasts. A target without a fresh one gets no new work until it
// has been probed, so a leaving target gets none for longer than this after the first sign.
const FreshFor = 3 * time.Second

// shardCount is the number of shards of a Directory.
const shardCount = 16

// Options configures a Directory.
type Options struct {
	// Self is this VM's name in the platform's list.
	Self string
	// Zone is this VM's availability zone.
	Zone string
	// OnLoad, if set, receives each newer load report. It must not block.
	OnLoad func(target string, report enginewire.LoadReport, at time.Time)
}

// Directory knows all VMs. It is safe for concurrent use.
type Directory struct {
	options Options
	shards  [shardCount]shard
	layout  atomic.Pointer[layout]
	list    listState

	subscribersMu sync.Mutex
	subscribers   map[chan struct{}]bool
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New returns a Directory that knows nothing yet.
func New(options Options) *Directory {
	d := &Directory{options: options, subscribers: make(map[chan struct{}]bool)}
	for i := range d.shards {
		d.shards[i].entries = make(map[string]*entry)
	}
	d.list.told = make(map[string]time.Time)
	d.layout.Store(newLayout(nil))
	return d
}

func (d *Directory) shard(name string) *shard {
	return &d.shards[xxhash.Sum64String(name)%shardCount]
}

// Observe takes a sign of a VM that the list has named; others are ignored. It reports whether the
// VM's state changed by it.
func (d *Directory) Observe(sign Sign) bool {
	changed, load := d.observe(sign)
	if load && d.options.OnLoad != nil {
		d.options.OnLoad(sign.VM, *sign.Load, sign.At)
	}
	if changed {
		d.notify()
	}
	return changed
}

func (d *Directory) observe(sign Sign) (changed, load bool) {
	s := d.shard(sign.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[sign.VM]
	if e == nil {
		return false, false
	}
	loadAt := e.loadAt
	changed = e.observe(sign, time.Now())
	return changed, e.loadAt.After(loadAt)
}

// Targets returns the targets of the service that may get new work: live, and confirmed within
// FreshFor. They are ordered by name.
func (d *Directory) Targets(service string, now time.Time) []VM {
	var targets []VM
	for _, name := range d.layout.Load().services[service] {
		if vm, eligible := d.eligible(name, now); eligible {
			targets = append(targets, vm)
		}
	}
	return targets
}

// Eligible returns Targets of every service that has any.
func (d *Directory) Eligible(now time.Time) map[string][]VM {
	services := make(map[string][]VM)
	for service := range d.layout.Load().services {
		if targets := d.Targets(service, now); len(targets) > 0 {
			services[service] = targets
		}
	}
	return services
}

func (d *Directory) eligible(name string, now time.Time) (VM, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || !isEligible(e, now) {
		return VM{}, false
	}
	return e.describe(), true
}

func isEligible(e *entry, now time.Time) bool {
	confirmed := e.confirmedAt()
	return !confirmed.IsZero() && now.Sub(confirmed) <= FreshFor
}

// MayDispatch reports whether the target may get new work at the given time. A caller that is about
// to send checks it last.
func (d *Directory) MayDispatch(target string, now time.Time) bool {
	_, eligible := d.eligible(target, now)
	return eligible
}

// Entries returns the entry VMs that the list names, or has named within ten minutes, by name.
// Those that may still be serving have a state below StateGone.
func (d *Directory) Entries(_ time.Time) []VM { return d.collect(RoleEntry) }

// AllTargets returns every target with its state, by name.
func (d *Directory) AllTargets(_ time.Time) []VM { return d.collect(RoleTarget) }

// collect returns the VMs of the role by name. Those that the list no longer names are few.
func (d *Directory) collect(role Role) []VM {
	names := d.layout.Load().roles[role]
	vms := make([]VM, 0, len(names))
	for _, name := range names {
		if vm, known := d.Get(name); known {
			vms = append(vms, vm)
		}
	}
	listed := len(vms)
	d.each(func(e *entry) {
		if e.vm.Role == role && !e.list.present {
			vms = append(vms, e.describe())
		}
	})
	if len(vms) > listed {
		slices.SortFunc(vms, compareNames)
		vms = slices.CompactFunc(vms, func(a, b VM) bool { return a.Name == b.Name })
	}
	return vms
}

// Peers returns the other entry VMs that can be dialled: listed and not gone.
func (d *Directory) Peers() []VM {
	peers := d.collect(RoleEntry)
	return slices.DeleteFunc(peers, func(vm VM) bool {
		return vm.Name == d.options.Self || vm.State == StateGone || vm.PeerAddress == ""
	})
}

// Get returns one VM.
func (d *Directory) Get(name string) (VM, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil {
		return VM{}, false
	}
	return e.describe(), true
}

// Load returns the last load report of the target and when it was true by this VM's clock.
func (d *Directory) Load(target string) (enginewire.LoadReport, time.Time) {
	s := d.shard(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[target]
	if e == nil {
		return enginewire.LoadReport{}, time.Time{}
	}
	return e.load, e.loadAt
}

// each visits every entry under the lock of its shard.
func (d *Directory) each(visit func(*entry)) {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			visit(e)
		}
		s.mu.Unlock()
	}
}

func compareNames(a, b VM) int { return cmp.Compare(a.Name, b.Name) }

// Subscribe returns a channel that receives after states have changed; changes in quick succession
// count as one. The expiry of a confirmation is no change of state. Call cancel when done.
func (d *Directory) Subscribe() (changes <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	d.subscribersMu.Lock()
	defer d.subscribersMu.Unlock()
	d.subscribers[ch] = true
	return ch, func() {
		d.subscribersMu.Lock()
		defer d.subscribersMu.Unlock()
		delete(d.subscribers, ch)
	}
}

func (d *Directory) notify() {
	d.subscribersMu.Lock()
	defer d.subscribersMu.Unlock()
	for ch := range d.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
