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

// refreshInterval is how often the routing table drops targets whose confirmation has expired;
// state changes are applied at once.
const refreshInterval = 250 * time.Millisecond

func hashSeed(name string) uint64 { return xxhash.Sum64String(name) }

// buildMembership makes the directory and the poller that keeps it up to date.
func (d *Daemon) buildMembership() {
	vm := d.settings.VM
	d.directory = membership.New(membership.Options{Self: vm.Name, Zone: vm.Zone, OnLoad: d.applyLoad})
	d.prober = &prober{daemon: d}
	d.drains = newDrainFollower(d.store, func() { d.refreshRouting(time.Now()) })
	d.poller = membership.NewPoller(membership.PollerOptions{
		Directory: d.directory, Prober: d.prober, Lister: d.lister,
		ListInterval: d.settings.Platform.ListInterval, ListTimeout: d.settings.Platform.Timeout,
	})
}

// applyLoad passes a load report to routing and admission. Reports without memory come from plain services
// and are ignored.
func (d *Daemon) applyLoad(name string, report enginewire.LoadReport, _ time.Time) {
	if report.MemoryTokens == 0 {
		return
	}
	d.table.ApplyReport(name, report, time.Now())
	if vm, known := d.directory.Get(name); known {
		d.controller.NotifyCapacity(vm.Service)
	}
}

// followMembership keeps the routing table and the account limits up to date with the directory.
func (d *Daemon) followMembership(ctx context.Context) error {
	changes, cancel := d.directory.Subscribe()
	defer cancel()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.refreshRouting(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-ticker.C:
		}
	}
}

// refreshRouting passes the known targets, entry VMs and priorities to routing, admission and claims. Drained
// targets are left out; services without an eligible target get an empty list.
func (d *Daemon) refreshRouting(now time.Time) {
	eligible := d.directory.EligibleTargetsByService(now)
	targets := d.directory.AllTargets(now)
	if len(targets)+len(d.directory.EntryVMs(now)) > 0 {
		d.firstListAt.CompareAndSwap(0, now.UnixNano())
	}
	for _, vm := range targets {
		if _, hasEligible := eligible[vm.Service]; !hasEligible {
			eligible[vm.Service] = nil
		}
	}
	for service, targets := range eligible {
		targets = slices.DeleteFunc(targets, func(vm membership.VM) bool { return d.drains.Drained(vm.Name) })
		d.table.SetTargets(service, targets, now)
		d.controller.NotifyCapacity(service)
	}
	peers := d.otherEntryVMs(now)
	d.table.SetEntryVMCount(len(peers) + 1)
	d.controller.SetPeerVMs(vmNames(peers))
	d.controller.SetUnreachablePeers(vmNames(vmsInUnreachableZones(peers, d.settings.VM.Zone, now)))
	d.claimForwarder.SetFleet(append(vmNames(peers), d.settings.VM.Name))
	if current := d.configuration.Current(); current != nil {
		d.table.SetPriorities(priorities(current))
	}
}

// otherEntryVMs returns the other entry VMs that may be serving: those not known to be leaving or gone.
func (d *Daemon) otherEntryVMs(now time.Time) []membership.VM {
	return slices.DeleteFunc(d.directory.EntryVMs(now), func(vm membership.VM) bool {
		return vm.Name == d.settings.VM.Name || vm.State >= membership.StateLeaving
	})
}

// zoneUnreachableAfter is the time without a confirmation of any entry VM of another zone after which the zone
// counts as unreachable. It is longer than the poll interval of a zone with too many targets for continuous
// confirmation, and shorter than the lifetime of the usage that peers report.
const zoneUnreachableAfter = 2 * membership.ConfirmationTTL

// vmsInUnreachableZones returns the entry VMs of the other zones in which no entry VM was confirmed within
// zoneUnreachableAfter. Single VMs never count as unreachable, because in a large zone not every VM is
// confirmed regularly.
func vmsInUnreachableZones(peers []membership.VM, ownZone string, now time.Time) []membership.VM {
	reachableZones := map[string]bool{ownZone: true}
	for _, vm := range peers {
		if now.Sub(vm.ConfirmedAt) <= zoneUnreachableAfter {
			reachableZones[vm.Zone] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(peers), func(vm membership.VM) bool { return reachableZones[vm.Zone] })
}

func vmNames(vms []membership.VM) []string {
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

// observeAttempt records in the directory that a target is leaving or unreachable when the error of an attempt
// shows it.
func (d *Daemon) observeAttempt(name string, sentAt time.Time, err error) {
	var notSent *target.NotSentError
	switch {
	case err == nil:
		return
	case target.IsLeaving(err):
		d.directory.Observe(membership.Leaving(name, "", sentAt))
	case errors.As(err, &notSent):
		d.directory.Observe(membership.Unreachable(name, sentAt))
	}
}

// prober reads the load and the readiness of targets by the protocol of their service's kind.
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
	return p.daemon.engines.LoadReport(ctx, addressOf(vm))
}

func (p *prober) probePlain(ctx context.Context, vm membership.VM) (enginewire.LoadReport, error) {
	err := p.daemon.plain.CheckHealth(ctx, addressOf(vm))
	if target.IsLeaving(err) {
		return enginewire.LoadReport{Leaving: true}, nil
	}
	return enginewire.LoadReport{}, err
}

// targetRows returns every listed target: routed targets as the routing table sees them, the others with the
// state that keeps them from receiving requests.
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

// unconfirmedStateName is the state shown for a live target without a recent confirmation.
const unconfirmedStateName = "unconfirmed"

func (d *Daemon) unroutedRow(vm membership.VM, now time.Time) routing.TargetRow {
	load, readAt := d.directory.Load(vm.Name)
	row := routing.TargetRow{
		Name: vm.Name, Service: vm.Service, Zone: vm.Zone, Address: vm.Address, Incarnation: vm.Incarnation,
		State: vm.State, StateName: vm.State.String(), Circuit: "-", ReportAgeSeconds: -1,
		Running: load.Running, Waiting: load.Waiting, MemoryTokens: load.MemoryTokens, UsedTokens: load.UsedTokens,
		Preemptions: load.Preemptions,
	}
	if vm.State == membership.StateLive && !d.directory.IsEligible(vm.Name, now) {
		row.StateName = unconfirmedStateName
	}
	if !readAt.IsZero() {
		row.ReportAgeSeconds = now.Sub(readAt).Seconds()
	}
	for _, loaded := range load.Loaded {
		row.Loaded = append(row.Loaded, policy.Variant(loaded))
	}
	return row
}
