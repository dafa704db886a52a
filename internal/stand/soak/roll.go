package soak

import (
	"context"
	"path/filepath"
	"time"

	"godwitcart/internal/pause"
)

const (
	// rollPause is the time between the replacement of one VM and the next in an upgrade.
	rollPause = 700 * time.Millisecond
	// rollStart is how long a run goes on with the build in production alone.
	rollStart = 3 * time.Second
)

// upgradePlan is how far an upgrade goes.
type upgradePlan int

const (
	// upgradeAll replaces all VMs, upgradeHalf stops half way for the rest of the run, and upgradeAndBack returns to the build
	// in production afterwards.
	upgradeAll upgradePlan = iota
	upgradeHalf
	upgradeAndBack
	upgradePlans
)

// buildPeriod is the time from which a VM runs the build in production or the one under test.
type buildPeriod struct {
	from         time.Time
	isProduction bool
}

// useBuild makes the VM run the build from its next start on.
func (h *harness) useBuild(v *vm, isProduction bool) {
	directory := h.options.Binaries
	if isProduction {
		directory = h.options.ProductionBinaries
	}
	v.Path = filepath.Join(directory, "godwitcartd")
	v.Args = []string{"--deployment", "--settings", h.settingsFile(v.Name, isProduction)}
	h.mu.Lock()
	defer h.mu.Unlock()
	v.builds = append(v.builds, buildPeriod{from: time.Now(), isProduction: isProduction})
}

// settingsFile returns the path of the VM's settings for a build.
func (h *harness) settingsFile(vm string, isProduction bool) string {
	if isProduction {
		vm += "-production"
	}
	return filepath.Join(h.options.Directory, vm+".yaml")
}

// runUpgrade replaces the VMs one after the other by the build under test, beside all other faults, as far as the plan and the
// time go.
func (h *harness) runUpgrade(ctx context.Context, plan upgradePlan) {
	if h.options.ProductionBinaries == "" {
		return
	}
	pause.For(ctx, rollStart)
	vms := h.vms
	if plan == upgradeHalf {
		vms = vms[:len(vms)/2]
	}
	h.roll(ctx, vms, false)
	if plan == upgradeAndBack {
		h.roll(ctx, vms, true)
	}
}

func (h *harness) roll(ctx context.Context, vms []*vm, toProduction bool) {
	for _, v := range vms {
		if ctx.Err() != nil {
			return
		}
		h.runVMFault("vm_stop", v, minFaultDuration, func() { h.useBuild(v, toProduction) })
		pause.For(ctx, rollPause)
	}
}

// runsProduction reports whether the VM ran the build in production at that time. Such a VM need not know the rules that came
// after it.
func (h *harness) runsProduction(name string, at time.Time) bool {
	for _, v := range h.vms {
		if v.Name != name {
			continue
		}
		isProduction := false
		for _, period := range v.builds {
			if !period.from.After(at) {
				isProduction = period.isProduction
			}
		}
		return isProduction
	}
	return false
}
