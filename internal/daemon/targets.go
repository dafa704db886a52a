package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/membership"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// probeInterval is how often a target's load is read.
const probeInterval = 500 * time.Millisecond

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }

// watchTargets keeps the routing table up to date with the platform's list and the targets' reports.
func (d *Daemon) watchTargets(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		d.refreshTargets(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) refreshTargets(ctx context.Context) {
	list, err := d.readVMs(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	services := make(map[string][]membership.VM)
	for _, vm := range list.VMs {
		if vm.Role == string(membership.RoleTarget) && !vm.Leaving {
			services[vm.Service] = append(services[vm.Service], membership.VM{
				Name: vm.Name, Role: membership.RoleTarget, Zone: vm.Zone, Service: vm.Service, Address: vm.Address,
				State: membership.StateLive, ConfirmedAt: now,
			})
		}
	}
	for service, targets := range services {
		d.table.SetTargets(service, targets, now)
		for _, vm := range targets {
			d.probe(ctx, vm)
		}
		d.controller.Notify(service)
	}
}

func (d *Daemon) probe(ctx context.Context, vm membership.VM) {
	report, err := d.engines.Load(ctx, target.Address{Name: vm.Name, HostPort: vm.Address})
	if err == nil {
		d.table.ApplyReport(vm.Name, report, time.Now())
	}
}

func (d *Daemon) readVMs(ctx context.Context) (platformwire.VMList, error) {
	var list platformwire.VMList
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, d.settings.Platform.URL+platformwire.PathVMs, nil)
	if err != nil {
		return list, err
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	return list, json.NewDecoder(response.Body).Decode(&list)
}

var _ enginewire.LoadReport
