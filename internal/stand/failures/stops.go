package failures

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
)

// stopTimeout bounds a planned stop; it exceeds the drain timeout of the programs.
const stopTimeout = drainTimeout + 10*time.Second

// drainSpacing is the time between the return of a target and the drain of the next one. It lets the entry VMs detect
// the return.
const drainSpacing = 3 * time.Second

// The times between a target's leaving notice and its stop. longNotice exceeds leavingGracePeriod, so that work
// arriving too late reaches the journal before the target stops.
const (
	shortNotice = time.Second
	longNotice  = leavingGracePeriod + 2*time.Second
)

// runPlannedStops restarts every entry VM and drains every target, one at a time, until ctx ends. Each round
// replaces the VM of one target at its end; every third round, as chosen by the seed, also does so before the drains.
// After a replacement, the next stop waits for vmLag, the delay of the platform's VM list.
func (i *injector) runPlannedStops(ctx context.Context) {
	for round := uint64(0); ctx.Err() == nil; round++ {
		for _, m := range i.fleet.entries {
			i.runPlannedStop(ctx, StopEntry, m, i.restartEntry)
		}
		targets := i.generator.shuffled(i.fleet.targets())
		if (i.fleet.seed+round)%3 == 0 {
			i.runPlannedStop(ctx, DrainTarget, targets[0], i.replaceTarget)
			pause.For(ctx, vmLag+drainSpacing)
			targets = targets[1:]
		}
		for n, m := range targets {
			notice := longNotice
			if n%2 == 1 {
				notice = shortNotice
			}
			i.runPlannedStop(ctx, DrainTarget, m, func(ctx context.Context, m *member) error {
				return i.drainTarget(ctx, m, notice)
			})
			pause.For(ctx, drainSpacing)
		}
		replaced := i.fleet.targets()[i.fleet.seed%uint64(engineCount+serviceCount)]
		i.runPlannedStop(ctx, DrainTarget, replaced, i.replaceTarget)
		pause.For(ctx, vmLag+drainSpacing)
	}
}

// runPlannedStop executes one planned stop and records it. It doesn't start a stop after ctx has ended, but completes
// one that has begun.
func (i *injector) runPlannedStop(ctx context.Context, kind FaultKind, m *member, stop func(context.Context, *member) error) {
	if ctx.Err() != nil {
		return
	}
	m.FaultMu.Lock()
	defer m.FaultMu.Unlock()
	fault := Fault{Kind: kind, Subject: m.Name, From: time.Now()}
	if kind == StopEntry {
		fault.Entry = "http://" + m.vm.Address
	}
	err := stop(context.WithoutCancel(ctx), m)
	fault.To = time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, fault)
	i.err = errors.CombineErrors(i.err, errors.Wrap(err, fault.String()))
}

// restartEntry stops an entry VM with SIGTERM and restarts it.
func (i *injector) restartEntry(ctx context.Context, m *member) error {
	if err := i.stopAndCutLinks(m); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// drainTarget tells a target to leave, stops it with SIGTERM and restarts it on the same VM, whose entry in the
// platform's list doesn't change.
func (i *injector) drainTarget(ctx context.Context, m *member, notice time.Duration) error {
	if err := postControl(m.control, "/leave", ""); err != nil {
		return err
	}
	pause.For(ctx, notice)
	if err := i.stopAndCutLinks(m); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// replaceTarget drains and stops a target's VM and replaces it with a new one.
func (i *injector) replaceTarget(ctx context.Context, m *member) error {
	if err := i.announceLeaving(m); err != nil {
		return err
	}
	pause.For(ctx, longNotice)
	if err := i.stopAndCutLinks(m); err != nil {
		return err
	}
	return i.replace(ctx, m)
}

// announceLeaving marks the VM as leaving in the platform's list and tells the target to leave.
func (i *injector) announceLeaving(m *member) error {
	if err := postControl(i.fleet.platformControl, "/vms/"+m.vm.Name+"/leaving", ""); err != nil {
		return err
	}
	return postControl(m.control, "/leave", "")
}

// replace removes a stopped VM from the platform's list and starts its replacement, which has the same addresses and a
// new name.
func (i *injector) replace(ctx context.Context, m *member) error {
	if err := sendControl(http.MethodDelete, i.fleet.platformControl, "/vms/"+m.vm.Name, nil); err != nil {
		return err
	}
	m.useReplacementName()
	body, err := json.Marshal(m.vm)
	if err != nil {
		return errors.Wrap(err, "encode a VM")
	}
	if err := sendControl(http.MethodPut, i.fleet.platformControl, "/vms/"+m.vm.Name, body); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// stopAndCutLinks sends SIGTERM, waits for the process to exit, and cuts the links to it so that connections are
// refused. It kills the process after stopTimeout and returns an error.
func (i *injector) stopAndCutLinks(m *member) error {
	m.Signal(syscall.SIGTERM)
	if !m.WaitExit(stopTimeout) {
		m.Kill()
		cutAll(i.fleet.linksTo(m.Name))
		return errors.Newf("%s did not exit within %v after SIGTERM; killed it", m.Name, stopTimeout)
	}
	cutAll(i.fleet.linksTo(m.Name))
	return nil
}
