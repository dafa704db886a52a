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

// ConfirmationTTL is how long a confirmation is valid. A target without a valid one gets no new work until a
// probe confirms it, so a leaving target gets no new work later than this after the first observation of its
// leaving.
const ConfirmationTTL = 3 * time.Second

// shardCount is the number of shards of a Directory.
const shardCount = 16

// Options configures a Directory.
type Options struct {
	// Self is this VM's name in the platform's list.
	Self string
	// Zone is this VM's availability zone.
	Zone string
	// OnLoad, if set, is called with each newer load report. It must not block.
	OnLoad func(target string, report enginewire.LoadReport, at time.Time)
}

// Directory holds the state of all VMs. It is safe for concurrent use.
type Directory struct {
	options Options
	shards  [shardCount]shard
	index   atomic.Pointer[listIndex]
	list    listState

	subscribersMu sync.Mutex
	subscribers   map[chan struct{}]bool
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New returns an empty Directory.
func New(options Options) *Directory {
	d := &Directory{options: options, subscribers: make(map[chan struct{}]bool)}
	for i := range d.shards {
		d.shards[i].entries = make(map[string]*entry)
	}
	d.list.peerReportedAt = make(map[string]time.Time)
	d.index.Store(newListIndex(nil))
	return d
}

func (d *Directory) shard(name string) *shard {
	return &d.shards[xxhash.Sum64String(name)%shardCount]
}

// Observe records an observation of a listed VM and reports whether it changed the VM's state. Observations of
// unknown VMs are ignored.
func (d *Directory) Observe(observation Observation) bool {
	changed, newLoad := d.observe(observation)
	if newLoad && d.options.OnLoad != nil {
		d.options.OnLoad(observation.VM, *observation.Load, observation.At)
	}
	if changed {
		d.notify()
	}
	return changed
}

func (d *Directory) observe(observation Observation) (changed, newLoad bool) {
	s := d.shard(observation.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[observation.VM]
	if e == nil {
		return false, false
	}
	loadAt := e.loadAt
	changed = e.observe(observation, time.Now())
	return changed, e.loadAt.After(loadAt)
}

// EligibleTargets returns the targets of the service that may get new work: live, and confirmed within
// ConfirmationTTL. They are sorted by name.
func (d *Directory) EligibleTargets(service string, now time.Time) []VM {
	var targets []VM
	for _, name := range d.index.Load().services[service] {
		if vm, eligible := d.eligibleVM(name, now); eligible {
			targets = append(targets, vm)
		}
	}
	return targets
}

// EligibleTargetsByService returns the eligible targets of every service that has any.
func (d *Directory) EligibleTargetsByService(now time.Time) map[string][]VM {
	services := make(map[string][]VM)
	for service := range d.index.Load().services {
		if targets := d.EligibleTargets(service, now); len(targets) > 0 {
			services[service] = targets
		}
	}
	return services
}

func (d *Directory) eligibleVM(name string, now time.Time) (VM, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || !isEligible(e, now) {
		return VM{}, false
	}
	return e.snapshot(), true
}

func isEligible(e *entry, now time.Time) bool {
	confirmed := e.confirmedAt()
	return !confirmed.IsZero() && now.Sub(confirmed) <= ConfirmationTTL
}

// IsEligible reports whether the target may get new work at the given time. Callers check it last before they
// send, because eligibility can end at any time.
func (d *Directory) IsEligible(target string, now time.Time) bool {
	_, eligible := d.eligibleVM(target, now)
	return eligible
}

// EntryVMs returns the entry VMs that are listed or were within the last ten minutes, sorted by name.
// Those that may still be serving have a state below StateGone.
func (d *Directory) EntryVMs(_ time.Time) []VM { return d.vmsByRole(RoleEntry) }

// AllTargets returns every target with its state, sorted by name.
func (d *Directory) AllTargets(_ time.Time) []VM { return d.vmsByRole(RoleTarget) }

// vmsByRole returns the VMs of the role, sorted by name. The index holds the names of listed VMs in order, so
// it sorts only if there are unlisted ones, which are few.
func (d *Directory) vmsByRole(role Role) []VM {
	names := d.index.Load().roles[role]
	vms := make([]VM, 0, len(names))
	for _, name := range names {
		if vm, known := d.Get(name); known {
			vms = append(vms, vm)
		}
	}
	listed := len(vms)
	d.forEachEntry(func(e *entry) {
		if e.vm.Role == role && !e.list.present {
			vms = append(vms, e.snapshot())
		}
	})
	if len(vms) > listed {
		slices.SortFunc(vms, compareNames)
		vms = slices.CompactFunc(vms, func(a, b VM) bool { return a.Name == b.Name })
	}
	return vms
}

// Peers returns the other entry VMs that can be dialed: those with a peer address that are not gone.
func (d *Directory) Peers() []VM {
	peers := d.vmsByRole(RoleEntry)
	return slices.DeleteFunc(peers, func(vm VM) bool {
		return vm.Name == d.options.Self || vm.State == StateGone || vm.PeerAddress == ""
	})
}

func (d *Directory) Get(name string) (VM, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil {
		return VM{}, false
	}
	return e.snapshot(), true
}

// Load returns the last load report of the target and the time on this VM's clock at which it was valid.
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

// forEachEntry calls visit for every entry, holding the lock of the entry's shard.
func (d *Directory) forEachEntry(visit func(*entry)) {
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

// Subscribe returns a channel that receives a value after VM states have changed; changes in quick succession
// are coalesced. The expiry of a confirmation is not a state change. The caller must call cancel when done.
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
