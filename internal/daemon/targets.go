package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/routing"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// tableInterval is how often the routing table takes over the targets whose confirmation has expired;
// changes of state are taken over at once.
const tableInterval = 250 * time.Millisecond

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }

// buildMembership makes the directory and the poller that keeps it fresh.
func (d *Daemon) buildMembership() {
	vm := d.settings.VM
	d.directory = membership.New(membership.Options{Self: vm.Name, Zone: vm.Zone, OnLoad: d.applyLoad})
	d.prober = &prober{daemon: d}
	d.drains = newDrains(d.store, func() { d.takeOverTargets(time.Now()) })
	d.poller = membership.NewPoller(membership.PollerOptions{
		Directory: d.directory, Prober: d.prober, Lister: d.lister,
		ListInterval: d.settings.Platform.ListInterval, ListTimeout: d.settings.Platform.Timeout,
	})
}

// applyLoad hands a load report to the decisions. Plain services report no memory.
func (d *Daemon) applyLoad(name string, report enginewire.LoadReport, _ time.Time) {
	if report.MemoryTokens == 0 {
		return
	}
	d.table.ApplyReport(name, report, time.Now())
	if vm, known := d.directory.Get(name); known {
		d.controller.NotifyCapacity(vm.Service)
	}
}

// followMembership keeps the routing table and the limits up to date with the directory.
func (d *Daemon) followMembership(ctx context.Context) error {
	changes, cancel := d.directory.Subscribe()
	defer cancel()
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for {
		d.takeOverTargets(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-ticker.C:
		}
	}
}

func (d *Daemon) takeOverTargets(now time.Time) {
	eligible := d.directory.EligibleTargetsByService(now)
	targets := d.directory.AllTargets(now)
	if len(targets)+len(d.directory.EntryVMs(now)) > 0 {
		d.firstList.CompareAndSwap(0, now.UnixNano())
	}
	for _, vm := range targets {
		if _, listed := eligible[vm.Service]; !listed {
			eligible[vm.Service] = nil
		}
	}
	for service, targets := range eligible {
		targets = slices.DeleteFunc(targets, func(vm membership.VM) bool { return d.drains.Drained(vm.Name) })
		d.table.SetTargets(service, targets, now)
		d.controller.NotifyCapacity(service)
	}
	others := d.otherEntries(now)
	d.table.SetEntryVMCount(len(others) + 1)
	d.controller.SetPeerVMs(namesOf(others))
	d.controller.SetUnreachablePeers(namesOf(unreachableEntries(others, d.settings.VM.Zone, now)))
	d.claims.SetFleet(append(namesOf(others), d.settings.VM.Name))
	if current := d.configuration.Current(); current != nil {
		d.table.SetPriorities(priorities(current))
	}
}

// otherEntries returns the other entry VMs that may be serving.
func (d *Daemon) otherEntries(now time.Time) []membership.VM {
	return slices.DeleteFunc(d.directory.EntryVMs(now), func(vm membership.VM) bool {
		return vm.Name == d.settings.VM.Name || vm.State >= membership.StateLeaving
	})
}

// unreachableAfter is how long no entry VM of another zone has been heard of when the zone counts as
// cut off. It is above the time between two asks of a zone whose targets are too many to be kept
// fresh, and below the time for which the use told by peers counts.
const unreachableAfter = 2 * membership.ConfirmationTTL

// unreachableEntries returns the entry VMs of the other zones of which none was heard of lately. Single
// VMs do not count as unreachable: not each of a large zone is heard of regularly.
func unreachableEntries(others []membership.VM, own string, now time.Time) []membership.VM {
	heard := map[string]bool{own: true}
	for _, vm := range others {
		if now.Sub(vm.ConfirmedAt) <= unreachableAfter {
			heard[vm.Zone] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(others), func(vm membership.VM) bool { return heard[vm.Zone] })
}

func namesOf(vms []membership.VM) []string {
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	return names
}

func priorities(configuration *policy.Configuration) []int {
	var list []int
	for _, class := range configuration.Classes {
		list = append(list, class.Priority)
	}
	return list
}

// Locate implements dispatch.Locator.
func (d *Daemon) Locate(name string) (target.Address, bool) {
	vm, known := d.directory.Get(name)
	return addressOf(vm), known && vm.Address != ""
}

func addressOf(vm membership.VM) target.Address {
	return target.Address{Name: vm.Name, HostPort: vm.Address}
}

// observeAttempt tells the directory what the end of an attempt says of its target.
func (d *Daemon) observeAttempt(name string, sent time.Time, err error) {
	var notSent *target.NotSentError
	switch {
	case err == nil:
		return
	case target.IsLeaving(err):
		d.directory.Observe(membership.Leaving(name, "", sent))
	case errors.As(err, &notSent):
		d.directory.Observe(membership.Unreachable(name, sent))
	}
}

// prober asks targets for their own word, by the kind of their service.
type prober struct{ daemon *Daemon }

// Probe implements membership.Prober.
func (p *prober) Probe(ctx context.Context, vm membership.VM) (enginewire.LoadReport, error) {
	current := p.daemon.configuration.Current()
	if current == nil {
		return enginewire.LoadReport{}, apierror.New(apierror.KindUnavailable, "no configuration is known yet", "wait")
	}
	service, known := current.Services[vm.Service]
	if !known {
		return enginewire.LoadReport{}, apierror.Newf(apierror.KindNotFound,
			"declare the service or correct the platform's list", "target %s belongs to the unknown service %s", vm.Name, vm.Service)
	}
	if service.Kind == policy.KindPlain {
		return p.probePlain(ctx, vm)
	}
	return p.daemon.engines.Load(ctx, addressOf(vm))
}

func (p *prober) probePlain(ctx context.Context, vm membership.VM) (enginewire.LoadReport, error) {
	err := p.daemon.plain.Probe(ctx, addressOf(vm))
	if target.IsLeaving(err) {
		return enginewire.LoadReport{Leaving: true}, nil
	}
	return enginewire.LoadReport{}, err
}

// targetRows returns every listed target: those that get work as routing sees them, the others with the
// state that keeps work from them.
func (d *Daemon) targetRows(now time.Time) []routing.TargetRow {
	rows := d.table.Rows(now)
	routed := make(map[string]bool, len(rows))
	for _, row := range rows {
		routed[row.Name] = true
	}
	for _, vm := range d.directory.AllTargets(now) {
		if !routed[vm.Name] {
			rows = append(rows, d.unroutedRow(vm, now))
		}
	}
	return rows
}

// unconfirmed is the state shown of a live target that was not confirmed lately.
const unconfirmed = "unconfirmed"

func (d *Daemon) unroutedRow(vm membership.VM, now time.Time) routing.TargetRow {
	load, readAt := d.directory.Load(vm.Name)
	row := routing.TargetRow{
		Name: vm.Name, Service: vm.Service, Zone: vm.Zone, Address: vm.Address, Incarnation: vm.Incarnation,
		State: vm.State, StateName: vm.State.String(), Circuit: "-", ReportAgeSeconds: -1,
		Running: load.Running, Waiting: load.Waiting, MemoryTokens: load.MemoryTokens, UsedTokens: load.UsedTokens,
		Preemptions: load.Preemptions,
	}
	if vm.State == membership.StateLive && !d.directory.IsEligible(vm.Name, now) {
		row.StateName = unconfirmed
	}
	if !readAt.IsZero() {
		row.ReportAgeSeconds = now.Sub(readAt).Seconds()
	}
	for _, loaded := range load.Loaded {
		row.Loaded = append(row.Loaded, policy.Variant(loaded))
	}
	return row
}
