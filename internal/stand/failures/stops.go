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

// stopTimeout bounds a planned stop; it exceeds the time that the programs give themselves.
const stopTimeout = drainTimeout + 10*time.Second

// drainSpacing is how long after a target is back the next one is drained, so that the entry VMs
// have learnt of it.
const drainSpacing = 3 * time.Second

// The times for which a target says that it is leaving before it is stopped: the long one exceeds
// leavingGrace, so that work which comes too late is seen.
const (
	shortNotice = time.Second
	longNotice  = leavingGrace + 2*time.Second
)

// plannedStops restarts every entry VM and drains every target, one at a time, until ctx ends. A
// third of the seeds replaces the first target, which takes as long as the list lags.
func (i *injector) plannedStops(ctx context.Context) {
	for round := uint64(0); ctx.Err() == nil; round++ {
		for _, m := range i.fleet.entries {
			i.plan(ctx, StopEntry, m, i.restartEntry)
		}
		targets := i.random.shuffled(i.fleet.targets())
		if (i.fleet.seed+round)%3 == 0 {
			i.plan(ctx, DrainTarget, targets[0], i.replaceTarget)
			pause.For(ctx, vmLag+drainSpacing)
			targets = targets[1:]
		}
		for n, m := range targets {
			notice := longNotice
			if n%2 == 1 {
				notice = shortNotice
			}
			i.plan(ctx, DrainTarget, m, func(ctx context.Context, m *member) error {
				return i.drainTarget(ctx, m, notice)
			})
			pause.For(ctx, drainSpacing)
		}
		replaced := i.fleet.targets()[i.fleet.seed%uint64(engineCount+serviceCount)]
		i.plan(ctx, DrainTarget, replaced, i.replaceTarget)
		pause.For(ctx, vmLag+drainSpacing)
	}
}

func (i *injector) plan(ctx context.Context, kind FaultKind, m *member, stop func(context.Context, *member) error) {
	if ctx.Err() != nil {
		return
	}
	m.Busy.Lock()
	defer m.Busy.Unlock()
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

// restartEntry stops an entry VM by SIGTERM and starts it again.
func (i *injector) restartEntry(ctx context.Context, m *member) error {
	if err := i.stopAndRefuse(m); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// drainTarget makes a target leave, stops it by SIGTERM and starts it again on its VM, which stays
// in the platform's list as it is.
func (i *injector) drainTarget(ctx context.Context, m *member, notice time.Duration) error {
	if err := control(m.control, "/leave", ""); err != nil {
		return err
	}
	pause.For(ctx, notice)
	if err := i.stopAndRefuse(m); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// replaceTarget takes a VM away in order and puts another one in its place.
func (i *injector) replaceTarget(ctx context.Context, m *member) error {
	if err := i.announceLeaving(m); err != nil {
		return err
	}
	pause.For(ctx, longNotice)
	if err := i.stopAndRefuse(m); err != nil {
		return err
	}
	return i.replace(ctx, m)
}

// announceLeaving marks the VM in the platform's list and tells the target.
func (i *injector) announceLeaving(m *member) error {
	if err := control(i.fleet.platformControl, "/vms/"+m.vm.Name+"/leaving", ""); err != nil {
		return err
	}
	return control(m.control, "/leave", "")
}

// replace takes a VM that has ended off the platform's list and starts another one in its place,
// under a name of its own.
func (i *injector) replace(ctx context.Context, m *member) error {
	if err := controlMethod(http.MethodDelete, i.fleet.platformControl, "/vms/"+m.vm.Name, nil); err != nil {
		return err
	}
	m.rename()
	body, err := json.Marshal(m.vm)
	if err != nil {
		return errors.Wrap(err, "encode a VM")
	}
	if err := controlMethod(http.MethodPut, i.fleet.platformControl, "/vms/"+m.vm.Name, body); err != nil {
		return err
	}
	if err := m.Start(ctx); err != nil {
		return err
	}
	return restoreAll(i.fleet.linksTo(m.Name))
}

// stopAndRefuse sends SIGTERM, waits for the end and closes the links of a program that has ended.
func (i *injector) stopAndRefuse(m *member) error {
	m.Signal(syscall.SIGTERM)
	if !m.WaitEnd(stopTimeout) {
		m.Kill()
		cutAll(i.fleet.linksTo(m.Name))
		return errors.Newf("%s did not end %v after SIGTERM", m.Name, stopTimeout)
	}
	cutAll(i.fleet.linksTo(m.Name))
	return nil
}
