package admission

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// usageValidFor is the age at which the use that a VM within reach told no longer counts.
const usageValidFor = 10 * time.Second

// peers remembers the use that each other entry VM told last. A VM that cannot be reached counts
// with what it told last, and with no less than an even part of each limit, so the two sides of a
// network partition together keep within the limits.
type peers struct {
	mu     sync.Mutex
	told   map[string]*peerUsage
	count  atomic.Int64
	cutOff atomic.Int64
	cutVMs []string
}

// peerUsage is what one VM told.
type peerUsage struct {
	usages []Usage
	at     time.Time
	cutOff bool
}

// live returns the number of entry VMs, with this one and those out of reach.
func (p *peers) live() int { return int(max(p.count.Load(), 1)) }

// evenPart returns the even part of the limit of all VMs out of reach.
func (p *peers) evenPart(limit float64) float64 {
	return limit * float64(p.cutOff.Load()) / float64(p.live())
}

// ObserveUsage takes the use that another entry VM told at a time; it replaces what the VM told before.
func (c *Controller) ObserveUsage(vm string, usages []Usage, at time.Time) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told == nil {
		p.told = make(map[string]*peerUsage)
	}
	c.forget(vm)
	told := &peerUsage{usages: slices.Clone(usages), at: at, cutOff: slices.Contains(p.cutVMs, vm)}
	p.told[vm] = told
	c.count(told, 1)
}

// forget drops what the VM told. The caller holds the lock of the peers.
func (c *Controller) forget(vm string) {
	p := &c.accounts.peers
	if told := p.told[vm]; told != nil {
		c.count(told, -1)
		delete(p.told, vm)
	}
}

// count adds what a VM told to the accounts, or takes it off.
func (c *Controller) count(told *peerUsage, sign int) {
	for _, usage := range told.usages {
		c.accounts.adjust(usage, told.cutOff, sign)
	}
}

// SetEntries tells which other entry VMs are not known to be gone. VMs out of reach belong to
// them: they may still be serving.
func (c *Controller) SetEntries(others []string) {
	p := &c.accounts.peers
	now := c.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count.Store(int64(len(others) + 1))
	for vm, told := range p.told {
		expired := !told.cutOff && now.Sub(told.at) > usageValidFor
		if expired || !slices.Contains(others, vm) {
			c.forget(vm)
		}
	}
}

// SetUnreachable tells which of the other entry VMs cannot be reached and may still be serving,
// as behind a network partition.
func (c *Controller) SetUnreachable(vms []string) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutVMs = slices.Clone(vms)
	p.cutOff.Store(int64(len(vms)))
	for vm, told := range p.told {
		cutOff := slices.Contains(vms, vm)
		if cutOff == told.cutOff {
			continue
		}
		c.count(told, -1)
		told.cutOff = cutOff
		c.count(told, 1)
	}
}

// Usages returns what each account uses on this VM, for the exchange with other VMs.
func (c *Controller) Usages() []Usage { return c.accounts.usages(c.options.Now()) }
