package admission

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// usageTTL is how long the usage reported by a reachable VM counts.
const usageTTL = 10 * time.Second

// peers holds the last usage report of each other entry VM. An unreachable VM counts with its last report, but at
// least with an even part of each limit, so that both sides of a network partition together stay within the limits.
type peers struct {
	mu               sync.Mutex
	reports          map[string]*usageReport
	entryVMCount     atomic.Int64
	unreachableCount atomic.Int64
	unreachableVMs   []string
}

// usageReport is the last report of one VM.
type usageReport struct {
	usages      []Usage
	receivedAt  time.Time
	unreachable bool
}

// vmCount returns the number of entry VMs, including this one and the unreachable ones.
func (p *peers) vmCount() int { return int(max(p.entryVMCount.Load(), 1)) }

// unreachableShare returns the part of a limit that falls to all unreachable VMs together if it is divided evenly
// among the entry VMs.
func (p *peers) unreachableShare(limit float64) float64 {
	return limit * float64(p.unreachableCount.Load()) / float64(p.vmCount())
}

// ObserveUsage replaces the usage last reported by another entry VM.
func (c *Controller) ObserveUsage(vm string, usages []Usage, receivedAt time.Time) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[string]*usageReport)
	}
	c.dropReport(vm)
	report := &usageReport{usages: slices.Clone(usages), receivedAt: receivedAt, unreachable: slices.Contains(p.unreachableVMs, vm)}
	p.reports[vm] = report
	c.applyReport(report, 1)
}

// dropReport drops the report of the VM. The caller holds the lock of the peers.
func (c *Controller) dropReport(vm string) {
	p := &c.accounts.peers
	if report := p.reports[vm]; report != nil {
		c.applyReport(report, -1)
		delete(p.reports, vm)
	}
}

// applyReport adds a report to the accounts' usage (sign 1) or subtracts it (sign -1).
func (c *Controller) applyReport(report *usageReport, sign int) {
	for _, usage := range report.usages {
		c.accounts.adjustPeerUsage(usage, report.unreachable, sign)
	}
}

// SetPeerVMs sets the other entry VMs that are not known to have stopped. Unreachable VMs are included, since they
// may still be serving. It drops the reports of all other VMs, and those of reachable VMs that are older than usageTTL.
func (c *Controller) SetPeerVMs(others []string) {
	p := &c.accounts.peers
	now := c.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryVMCount.Store(int64(len(others) + 1))
	for vm, report := range p.reports {
		expired := !report.unreachable && now.Sub(report.receivedAt) > usageTTL
		if expired || !slices.Contains(others, vm) {
			c.dropReport(vm)
		}
	}
}

// SetUnreachablePeers sets which of the other entry VMs cannot be reached and may still be serving, for example
// behind a network partition.
func (c *Controller) SetUnreachablePeers(vms []string) {
	p := &c.accounts.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableVMs = slices.Clone(vms)
	p.unreachableCount.Store(int64(len(vms)))
	for vm, report := range p.reports {
		unreachable := slices.Contains(vms, vm)
		if unreachable == report.unreachable {
			continue
		}
		c.applyReport(report, -1)
		report.unreachable = unreachable
		c.applyReport(report, 1)
	}
}

// Usages returns the usage of each account on this VM, to be sent to the other VMs.
func (c *Controller) Usages() []Usage { return c.accounts.reportUsages(c.options.Now()) }
