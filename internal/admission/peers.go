package admission

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// peers remembers the use that each other entry VM told last. The last word of a VM that cannot
// be reached stays in force until the VM is known to be gone, so the two sides of a network
// partition together keep within the limits.
type peers struct {
	mu     sync.Mutex
	usages map[string][]Usage
	count  atomic.Int64
}

// live returns the number of entry VMs, with this one.
func (p *peers) live() int { return int(max(p.count.Load(), 1)) }

// ObserveUsage takes the use that another entry VM told; it replaces what the VM told before.
func (c *Controller) ObserveUsage(vm string, usages []Usage, _ time.Time) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.usages[vm] {
		c.accounts.adjust(old, -1)
	}
	if p.usages == nil {
		p.usages = make(map[string][]Usage)
	}
	p.usages[vm] = slices.Clone(usages)
	for _, usage := range usages {
		c.accounts.adjust(usage, 1)
	}
}

// SetEntries tells which other entry VMs are not known to be gone. VMs out of reach belong to
// them: they may still be serving.
func (c *Controller) SetEntries(others []string) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count.Store(int64(len(others) + 1))
	for vm, usages := range p.usages {
		if slices.Contains(others, vm) {
			continue
		}
		for _, old := range usages {
			c.accounts.adjust(old, -1)
		}
		delete(p.usages, vm)
	}
}

// Usages returns what each account uses on this VM, for the exchange with other VMs.
func (c *Controller) Usages() []Usage { return c.accounts.usages(c.options.Now()) }
